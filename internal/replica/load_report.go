package replica

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/sloelift/sloelift/internal/clock"
)

// loadFields is the number of required fields in a load header; some replicas append the work time.
const loadFields = 3

// parseLoad parses "running,waiting,slots" or "running,waiting,slots,work time", the latter in hundredths of the usual time. It returns
// false for any other text.
func parseLoad(text string) (Load, bool) {
	parts := strings.Split(text, ",")
	if len(parts) != loadFields && len(parts) != loadFields+1 {
		return Load{}, false
	}
	numbers := make([]int, loadFields+1)
	for index, part := range parts {
		number, err := strconv.Atoi(strings.TrimSpace(part))
		if err != nil {
			return Load{}, false
		}
		numbers[index] = number
	}
	load := Load{Running: numbers[0], Waiting: numbers[1], Slots: numbers[2], WorkTime: numbers[3]}
	if load.check() != nil {
		return Load{}, false
	}
	return load, true
}

// maxReported bounds each number of a load report. Sums of reports stay far below the largest integer.
const maxReported = 1 << 20

// check returns an error if a number is negative or beyond its bound.
func (l Load) check() error {
	for _, number := range []int{l.Running, l.Waiting, l.Slots, l.WorkTime} {
		if number < 0 || number > maxReported {
			return fmt.Errorf("load report with the number %d", number)
		}
	}
	return nil
}

// LoadReport describes the request for a replica's load.
type LoadReport struct {
	// Path is the target of the GET; Parse decodes the response body.
	Path  string
	Parse func(body []byte) (Load, error)
}

// maxReportBytes bounds a load report.
const maxReportBytes = 256 << 10

// PollLoad requests a replica's load and records it in handle. A report of another incarnation is an error and is not recorded.
func (c *Client) PollLoad(ctx context.Context, handle *Handle, report LoadReport) error {
	_, err := c.pollLoad(ctx, handle, report)
	return err
}

// pollLoad is PollLoad, and returns the report.
func (c *Client) pollLoad(ctx context.Context, handle *Handle, report LoadReport) (Load, error) {
	answer, err := c.Do(ctx, handle, Call{
		Method: http.MethodGet,
		Target: report.Path,
		Host:   handle.Info().Address.String(),
		Header: http.Header{},
		Probe:  true,
	})
	if err != nil {
		return Load{}, err
	}
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxReportBytes))
	answer.Close(err == nil)
	if err != nil {
		return Load{}, err
	}
	if answer.Status != http.StatusOK {
		return Load{}, fmt.Errorf("load report: status %d", answer.Status)
	}
	load, err := report.Parse(body)
	if err != nil {
		return Load{}, err
	}
	if err := load.check(); err != nil {
		return Load{}, err
	}
	if born := handle.Info().Born; born > 0 && load.Born > 0 && load.Born != born {
		if load.Born > born {
			// The incarnation behind handle has ended, though its entry still exists.
			handle.Ended(clock.Now())
		}
		return Load{}, fmt.Errorf("load report is of the incarnation started at %d ms, want %d ms", load.Born, born)
	}
	load.Slots = handle.Info().Slots
	handle.NoteLoad(load, clock.Now())
	return load, nil
}

// checkTimeout bounds CheckIncarnation.
const checkTimeout = 250 * time.Millisecond

// CheckIncarnation returns an error unless the incarnation of the replica's entry answers, which may lag behind a restart. A run that goes on
// with an answer is preceded by it. Replicas whose entries do not tell their start have a new ID at each start and are not asked.
func (c *Client) CheckIncarnation(ctx context.Context, handle *Handle, report LoadReport) error {
	born := handle.Info().Born
	if born == 0 || report.Path == "" {
		return nil
	}
	bounded, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	load, err := c.pollLoad(bounded, handle, report)
	if err == nil && load.Born != born {
		err = fmt.Errorf("load report tells no start, want %d ms", born)
	}
	return err
}

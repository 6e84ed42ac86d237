package replica

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/sloelift/sloelift/internal/clock"
)

// loadFigures is how many figures a load always has; some replicas add the time that work takes.
const loadFigures = 3

// parseLoad reads "running,waiting,slots" or "running,waiting,slots,time of work in hundredths of the usual one".
func parseLoad(text string) (Load, bool) {
	parts := strings.Split(text, ",")
	if len(parts) != loadFigures && len(parts) != loadFigures+1 {
		return Load{}, false
	}
	numbers := make([]int, loadFigures+1)
	for index, part := range parts {
		number, err := strconv.Atoi(strings.TrimSpace(part))
		if err != nil || number < 0 {
			return Load{}, false
		}
		numbers[index] = number
	}
	return Load{Running: numbers[0], Waiting: numbers[1], Slots: numbers[2], WorkTime: numbers[3]}, true
}

// LoadReport is how a replica is asked for its load.
type LoadReport struct {
	// Path is the target of the GET; Parse reads the answer's body.
	Path  string
	Parse func(body []byte) (Load, error)
}

// maxReportBytes bounds a load report.
const maxReportBytes = 256 << 10

// Ask asks a replica for its load and notes it.
func (c *Client) Ask(ctx context.Context, handle *Handle, report LoadReport) error {
	answer, err := c.Do(ctx, handle, Call{Method: http.MethodGet, Target: report.Path, Host: handle.Info().Address.String(), Header: http.Header{}})
	if err != nil {
		return err
	}
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxReportBytes))
	answer.Close(err == nil)
	if err != nil {
		return err
	}
	if answer.Status != http.StatusOK {
		return fmt.Errorf("load report: status %d", answer.Status)
	}
	load, err := report.Parse(body)
	if err != nil {
		return err
	}
	if born := handle.Info().Born; born > 0 && load.Born > 0 && load.Born != born {
		if load.Born > born {
			// The life that was asked has ended, though its entry still stands.
			handle.Ended(clock.Now())
		}
		return fmt.Errorf("load report of a life that started at %d, not at %d", load.Born, born)
	}
	load.Slots = handle.Info().Slots
	handle.NoteLoad(load, clock.Now())
	return nil
}

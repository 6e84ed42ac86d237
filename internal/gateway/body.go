package gateway

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"golang.org/x/sync/semaphore"

	"github.com/sloelift/sloelift/internal/outcome"
)

const (
	// bodyMemoryBytes bounds the JSON bodies that one node holds in memory at a time.
	bodyMemoryBytes = 128 << 20
	// uploadProgressBytes is the number of bytes that an upload must deliver within each BodyTimeout.
	uploadProgressBytes = 64 << 10
	// unknownLengthBufferBytes is the initial read buffer of a body without a Content-Length.
	unknownLengthBufferBytes = 16 << 10
)

var errBodyTooLarge = outcome.New(outcome.NotRun, outcome.ReasonTooLarge, "the body is larger than this system accepts")

// bodyReader reads JSON bodies within limits of size, time and the node's memory.
type bodyReader struct {
	limit   int64
	timeout time.Duration
	memory  *semaphore.Weighted
}

func newBodyReader(limit int64, timeout time.Duration) *bodyReader {
	return &bodyReader{limit: limit, timeout: timeout, memory: semaphore.NewWeighted(max(bodyMemoryBytes, limit))}
}

// read returns the whole body, and a function that releases the memory reserved for it.
func (b *bodyReader) read(w http.ResponseWriter, r *http.Request) (body []byte, release func(), err error) {
	if r.ContentLength > b.limit {
		return nil, nil, errBodyTooLarge
	}
	reserved := r.ContentLength
	if reserved < 0 {
		reserved = b.limit
	}
	if !b.memory.TryAcquire(reserved) {
		return nil, nil, outcome.New(outcome.NotRun, outcome.ReasonOverloaded, "too many bodies are being read").After(defaultRetryAfter)
	}
	release = func() { b.memory.Release(reserved) }
	body, err = b.readAll(w, r)
	if err != nil {
		release()
		return nil, nil, bodyError(err)
	}
	return body, release, nil
}

func (b *bodyReader) readAll(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	controller := http.NewResponseController(w)
	if err := controller.SetReadDeadline(time.Now().Add(b.timeout)); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return nil, err
	}
	var body []byte
	var err error
	if r.ContentLength >= 0 {
		body = make([]byte, r.ContentLength)
		_, err = io.ReadFull(r.Body, body)
	} else {
		body, err = readUnknownLength(r.Body, b.limit)
	}
	if err != nil {
		return nil, err
	}
	if err := controller.SetReadDeadline(time.Time{}); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return nil, err
	}
	return body, nil
}

func readUnknownLength(body io.Reader, limit int64) ([]byte, error) {
	read := make([]byte, 0, unknownLengthBufferBytes)
	for {
		if len(read) == cap(read) {
			read = append(read, 0)[:len(read)]
		}
		count, err := body.Read(read[len(read):cap(read)])
		read = read[:len(read)+count]
		if int64(len(read)) > limit {
			return nil, errBodyTooLarge
		}
		if errors.Is(err, io.EOF) {
			return read, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// bodyError returns the error for the caller after reading the body failed with err.
func bodyError(err error) error {
	var failure *outcome.Error
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &failure):
		return failure
	case errors.As(err, &tooLarge):
		return errBodyTooLarge
	case errors.Is(err, os.ErrDeadlineExceeded):
		return outcome.New(outcome.NotRun, reasonSlowBody, "the body came too slowly")
	case errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, io.EOF):
		return outcome.New(outcome.NotRun, reasonTruncated, "the body ended early")
	default:
		return outcome.Wrap(err, outcome.NotRun, outcome.ReasonInvalid, "the body could not be read")
	}
}

// bodyMessage returns a message for the caller which names the invalid field of a JSON body.
func bodyMessage(err error) string {
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		return wrongType.Field + ": must not be a JSON " + wrongType.Value
	}
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		return fmt.Sprintf("the body is not JSON: %s at byte %d", syntax.Error(), syntax.Offset)
	}
	return err.Error()
}

// uploadBody reads a body that may be long. Its sender must deliver uploadProgressBytes, or the
// remainder, within each timeout.
type uploadBody struct {
	body           io.Reader
	controller     *http.ResponseController
	timeout        time.Duration
	sinceExtension int
}

func newUploadBody(w http.ResponseWriter, r *http.Request, limit int64, timeout time.Duration) *uploadBody {
	upload := &uploadBody{
		body:       http.MaxBytesReader(w, r.Body, limit),
		controller: http.NewResponseController(w),
		timeout:    timeout,
	}
	upload.extendDeadline()
	return upload
}

// extendDeadline sets the read deadline for the next uploadProgressBytes.
func (u *uploadBody) extendDeadline() {
	u.sinceExtension = 0
	_ = u.controller.SetReadDeadline(time.Now().Add(u.timeout))
}

// Read implements io.Reader. It extends the read deadline after each uploadProgressBytes.
func (u *uploadBody) Read(into []byte) (int, error) {
	count, err := u.body.Read(into)
	u.sinceExtension += count
	if u.sinceExtension >= uploadProgressBytes {
		u.extendDeadline()
	}
	return count, err
}

// clearDeadline clears the read deadline.
func (u *uploadBody) clearDeadline() { _ = u.controller.SetReadDeadline(time.Time{}) }

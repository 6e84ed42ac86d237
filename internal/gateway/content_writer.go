package gateway

import (
	"net/http"
	"time"
)

// contentWriter writes a file's content to a caller. The status is sent with the first byte; a
// later failure aborts the connection, so that a truncated file does not look complete.
type contentWriter struct {
	response   http.ResponseWriter
	controller *http.ResponseController
	// timeout is how long each write to the caller may take.
	timeout    time.Duration
	headerSent bool
}

func newContentWriter(w http.ResponseWriter, timeout time.Duration) *contentWriter {
	return &contentWriter{response: w, controller: http.NewResponseController(w), timeout: timeout}
}

func (c *contentWriter) sendHeader() {
	if !c.headerSent {
		c.headerSent = true
		c.response.Header().Set("Content-Type", contentJSONL)
		c.response.WriteHeader(http.StatusOK)
	}
}

// Write implements io.Writer.
func (c *contentWriter) Write(content []byte) (int, error) {
	c.sendHeader()
	_ = c.controller.SetWriteDeadline(time.Now().Add(c.timeout))
	return c.response.Write(content)
}

// fail returns err for the error answer if nothing was written yet, and aborts the connection
// otherwise.
func (c *contentWriter) fail(err error) error {
	if !c.headerSent {
		return err
	}
	panic(http.ErrAbortHandler)
}

func (c *contentWriter) end() error {
	c.sendHeader()
	_ = c.controller.SetWriteDeadline(time.Time{})
	return nil
}

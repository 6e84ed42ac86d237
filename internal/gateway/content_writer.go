package gateway

import (
	"net/http"
	"time"
)

// contentWriter writes a file's content. The status is sent with the first byte; a
// failure behind it aborts the connection, so that a cut file never looks whole.
type contentWriter struct {
	response   http.ResponseWriter
	controller *http.ResponseController
	// timeout is how long the caller may take for each write.
	timeout time.Duration
	begun   bool
}

func newContentWriter(w http.ResponseWriter, timeout time.Duration) *contentWriter {
	return &contentWriter{response: w, controller: http.NewResponseController(w), timeout: timeout}
}

func (c *contentWriter) begin() {
	if !c.begun {
		c.begun = true
		c.response.Header().Set("Content-Type", contentJSONL)
		c.response.WriteHeader(http.StatusOK)
	}
}

// Write sends content on.
func (c *contentWriter) Write(content []byte) (int, error) {
	c.begin()
	_ = c.controller.SetWriteDeadline(time.Now().Add(c.timeout))
	return c.response.Write(content)
}

// fail reports an error while that is still possible.
func (c *contentWriter) fail(err error) error {
	if !c.begun {
		return err
	}
	panic(http.ErrAbortHandler)
}

func (c *contentWriter) end() error {
	c.begin()
	_ = c.controller.SetWriteDeadline(time.Time{})
	return nil
}

package replica

import (
	"bytes"
	"errors"
	"fmt"
	"time"
)

const (
	// inlineBodyBytes is the size up to which a body is written before the response is awaited.
	inlineBodyBytes = 16 << 10
	// writeAfterEndTimeout bounds the wait for the rest of a request after its response has ended.
	writeAfterEndTimeout = time.Second
)

// pendingWrite is a request whose body may still be being written.
type pendingWrite struct {
	// finished is closed when the write has ended, after err has been set.
	finished chan struct{}
	err      error
}

// done reports whether the request was written completely and without an error.
func (w *pendingWrite) done() bool {
	select {
	case <-w.finished:
		return w.err == nil
	default:
		return false
	}
}

// errStillWriting means that a request had not been written completely writeAfterEndTimeout after its response had ended.
var errStillWriting = errors.New("request is still being written")

// wait waits until the request was written, for writeAfterEndTimeout at most. It returns an error if it was not.
func (w *pendingWrite) wait() error {
	timer := time.NewTimer(writeAfterEndTimeout)
	defer timer.Stop()
	select {
	case <-w.finished:
		return w.err
	case <-timer.C:
		return errStillWriting
	}
}

// send writes call. A body longer than inlineBodyBytes is written in the background, since the replica may respond before it has read
// the whole body.
func send(used *connection, call Call) (*pendingWrite, error) {
	var buffer bytes.Buffer
	if err := writeHead(&buffer, call); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	pending := &pendingWrite{finished: make(chan struct{})}
	inline := len(call.Body) <= inlineBodyBytes
	if inline {
		buffer.Write(call.Body)
	}
	if _, err := used.net.Write(buffer.Bytes()); err != nil {
		return nil, err
	}
	if inline {
		close(pending.finished)
		return pending, nil
	}
	go func() {
		_, pending.err = used.net.Write(call.Body)
		close(pending.finished)
	}()
	return pending, nil
}

package replica

import (
	"bytes"
	"fmt"
)

// inlineBodyBytes is the size up to which a body is written before the response is awaited.
const inlineBodyBytes = 16 << 10

// pendingWrite is a request whose body may still be being written.
type pendingWrite struct{ finished chan error }

// done reports whether the request was written completely and without an error.
func (s *pendingWrite) done() bool {
	select {
	case err := <-s.finished:
		s.finished <- err
		return err == nil
	default:
		return false
	}
}

// send writes call. A body longer than inlineBodyBytes is written in the background, since the replica may respond before it has read
// the whole body.
func send(used *connection, call Call) (*pendingWrite, error) {
	var buffer bytes.Buffer
	if err := writeHead(&buffer, call); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	result := &pendingWrite{finished: make(chan error, 1)}
	if len(call.Body) <= inlineBodyBytes {
		buffer.Write(call.Body)
		_, err := used.net.Write(buffer.Bytes())
		result.finished <- err
		return result, err
	}
	if _, err := used.net.Write(buffer.Bytes()); err != nil {
		return nil, err
	}
	go func() {
		_, err := used.net.Write(call.Body)
		result.finished <- err
	}()
	return result, nil
}

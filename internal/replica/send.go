package replica

import (
	"bytes"
	"net/http"
	"strconv"
)

// inlineBodyBytes is the size up to which a body is written before the answer is read.
const inlineBodyBytes = 16 << 10

// sending is a request whose body may still be on its way.
type sending struct{ finished chan error }

func (s *sending) done() bool {
	select {
	case err := <-s.finished:
		s.finished <- err
		return err == nil
	default:
		return false
	}
}

// send writes call. A long body is written while the answer is awaited, since the answer may come before it is read.
func send(used *connection, call Call) (*sending, error) {
	var buffer bytes.Buffer
	writeHead(&buffer, call)
	result := &sending{finished: make(chan error, 1)}
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

func writeHead(buffer *bytes.Buffer, call Call) {
	buffer.WriteString(call.Method)
	buffer.WriteByte(' ')
	buffer.WriteString(call.Target)
	buffer.WriteString(" HTTP/1.1\r\nHost: ")
	buffer.WriteString(call.Host)
	buffer.WriteString("\r\n")
	// A buffer in memory takes all that is written.
	_ = call.Header.Write(buffer)
	if len(call.Body) > 0 || (call.Method != http.MethodGet && call.Method != http.MethodHead) {
		buffer.WriteString("Content-Length: ")
		buffer.WriteString(strconv.Itoa(len(call.Body)))
		buffer.WriteString("\r\n")
	}
	buffer.WriteString("\r\n")
}

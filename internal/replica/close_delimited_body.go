package replica

import (
	"errors"
	"fmt"
	"io"
)

// closeDelimitedBody is the body of a response that declares neither a length nor chunks and ends with its connection. Its end is that of the
// response only if the request was written completely: a connection that breaks off meanwhile may report its error to the writer, and
// then the reader sees the same end as after an orderly close.
type closeDelimitedBody struct {
	io.Reader
	request *pendingWrite
}

// Read implements io.Reader. The error at the end is io.EOF only if the request was written completely.
func (b *closeDelimitedBody) Read(target []byte) (int, error) {
	count, err := b.Reader.Read(target)
	if !errors.Is(err, io.EOF) {
		return count, err
	}
	if writeErr := b.request.wait(); writeErr != nil {
		return count, fmt.Errorf("connection ended before the request was written: %w", writeErr)
	}
	return count, io.EOF
}

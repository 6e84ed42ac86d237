package session

import (
	"context"
	"strings"

	"github.com/sloelift/sloelift/internal/engine"
)

// priorReadAhead is the number of tokens read past the caller's offset to find a chunk
// boundary that both streams share.
const priorReadAhead = 256

// boundary is the end of a chunk: the token offset and the bytes of text before it.
type boundary struct {
	offset int
	bytes  int
}

// priorReader reads the beginning of a run's answer again, for a caller that reconnected
// without sending the text received so far: another replica needs that text to resume the
// run. Chunks of two streams need not end at the same tokens, so the text before the caller's
// offset is determined at a chunk boundary that both streams share.
type priorReader struct {
	cancel context.CancelFunc
	// done is closed when the reading goroutine has ended; text and ends must not be read
	// before.
	done      chan struct{}
	text      strings.Builder
	chunkEnds []boundary
}

// readPrior starts reading the run from its first token until priorReadAhead tokens past the
// request's offset.
func readPrior(ctx context.Context, client engine.Client, to engine.Endpoint, request engine.Request) *priorReader {
	offset := request.Offset
	request.Offset, request.AttachOnly = 0, true
	ctx, cancel := context.WithCancel(ctx)
	reader := &priorReader{cancel: cancel, done: make(chan struct{})}
	go func() {
		defer close(reader.done)
		stream, err := client.Generate(ctx, to, request)
		if err != nil {
			return
		}
		defer stream.Close()
		reader.read(stream, offset+priorReadAhead)
	}()
	return reader
}

func (r *priorReader) read(stream engine.Stream, end int) {
	for next := 0; next < end && r.text.Len() < maxAnswerBytes; {
		chunk, err := stream.Next()
		if err != nil || chunk.Offset != next {
			return
		}
		next += chunk.Tokens
		r.text.WriteString(chunk.Text)
		r.chunkEnds = append(r.chunkEnds, boundary{offset: next, bytes: r.text.Len()})
	}
}

// stop ends the reading; text and ends do not change after it.
func (r *priorReader) stop() {
	r.cancel()
	<-r.done
}

// textBefore returns the text that precedes received, which is the text that the caller got since
// it reconnected, in chunks with the boundaries ends. It must be called after stop.
func (r *priorReader) textBefore(received string, ends []boundary) (prior string, found bool) {
	bytesAt := make(map[int]int, len(r.chunkEnds))
	for _, end := range r.chunkEnds {
		bytesAt[end.offset] = end.bytes
	}
	text := r.text.String()
	for _, end := range ends {
		length, shared := bytesAt[end.offset]
		if shared && length >= end.bytes && text[length-end.bytes:length] == received[:end.bytes] {
			return text[:length-end.bytes], true
		}
	}
	return "", false
}

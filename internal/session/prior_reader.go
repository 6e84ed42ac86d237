package session

import (
	"context"
	"strings"

	"github.com/sloelift/sloelift/internal/engine"
)

// priorReadAhead is how many tokens behind the caller's offset are read to find a place
// where both streams end a chunk.
const priorReadAhead = 256

// boundary is the end of a chunk: the offset behind it, and the bytes of text up to it.
type boundary struct {
	offset int
	bytes  int
}

// priorReader reads the beginning of a run's answer again, for a caller that reconnected
// with its offset only: without the text so far another replica could not go on. Chunks of two
// streams need not end at the same tokens, so the text up to the caller's offset is
// found where both end one.
type priorReader struct {
	cancel context.CancelFunc
	// done is closed when the goroutine has ended; text and ends are its own until then.
	done chan struct{}
	text strings.Builder
	ends []boundary
}

// readPrior starts to read the run from its first token, until some tokens behind offset.
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

func (r *priorReader) read(stream engine.Stream, until int) {
	for next := 0; next < until && r.text.Len() < maxAnswerBytes; {
		chunk, err := stream.Next()
		if err != nil || chunk.Offset != next {
			return
		}
		next += chunk.Tokens
		r.text.WriteString(chunk.Text)
		r.ends = append(r.ends, boundary{offset: next, bytes: r.text.Len()})
	}
}

// stop ends the reading; text and ends stand then.
func (r *priorReader) stop() {
	r.cancel()
	<-r.done
}

// before returns the text in front of what the caller got since it reconnected, whose chunks
// end at ends. It is called after stop.
func (r *priorReader) before(received string, ends []boundary) (prior string, found bool) {
	at := make(map[int]int, len(r.ends))
	for _, end := range r.ends {
		at[end.offset] = end.bytes
	}
	whole := r.text.String()
	for _, end := range ends {
		bytes, common := at[end.offset]
		if common && bytes >= end.bytes && whole[bytes-end.bytes:bytes] == received[:end.bytes] {
			return whole[:bytes-end.bytes], true
		}
	}
	return "", false
}

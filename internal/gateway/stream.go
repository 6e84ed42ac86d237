package gateway

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/sloelift/sloelift/internal/engine"
	"github.com/sloelift/sloelift/internal/outcome"
	"github.com/sloelift/sloelift/internal/session"
)

// writeGrace is how long after a request's deadline its answer may still be written, and the
// timeout for writing a JSON answer.
const writeGrace = 30 * time.Second

// stream runs the request and answers with server-sent events. The status is sent with the first
// chunk, so that a request that did not run gets an error status.
func (s *Server) stream(w http.ResponseWriter, r *http.Request, request *generationRequest) error {
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	queue := newChunkQueue()
	go func() {
		queue.end(s.runner.Run(ctx, request.Request, func(chunk session.Chunk) error {
			return queue.push(ctx, chunk)
		}))
	}()
	writer := newEventWriter(w, request)
	defer writer.release()
	var chunks []session.Chunk
	for {
		<-queue.readable
		var ended bool
		var err error
		chunks, ended, err = queue.take(chunks)
		if writer.write(chunks, ended && err == nil) != nil {
			cancel()
		}
		if ended && err != nil && !writer.headerSent {
			return err
		}
		if ended {
			writer.fail(err)
			return nil
		}
	}
}

// eventWriter writes the server-sent events of one answer.
type eventWriter struct {
	response   http.ResponseWriter
	controller *http.ResponseController
	request    *generationRequest
	// chunkPrefix is the constant part of every event between its id and its choice.
	chunkPrefix []byte
	// headerSent is true once the status and headers were sent.
	headerSent bool
	// writeFailure is the first error of a write to the caller.
	writeFailure error
	usage        engine.Usage
	// buffer comes from eventBuffers.
	buffer *[]byte
}

const (
	// eventBufferBytes is the initial size of a buffer, maxPooledBytes the largest that is returned
	// to the pool.
	eventBufferBytes = 4 << 10
	maxPooledBytes   = 64 << 10
)

var eventBuffers = sync.Pool{New: func() any {
	buffer := make([]byte, 0, eventBufferBytes)
	return &buffer
}}

func (w *eventWriter) release() {
	if cap(*w.buffer) <= maxPooledBytes {
		eventBuffers.Put(w.buffer)
	}
}

func newEventWriter(w http.ResponseWriter, request *generationRequest) *eventWriter {
	writer := &eventWriter{response: w, controller: http.NewResponseController(w), request: request, buffer: eventBuffers.Get().(*[]byte)}
	object := objectCompletion
	if request.Operation == engine.OperationChat {
		object = objectChatChunk
	}
	prefix := append([]byte("\ndata: {\"id\":\""), request.answerID...)
	prefix = append(prefix, `","object":"`+object+`","created":`...)
	prefix = strconv.AppendInt(prefix, request.created, 10)
	prefix = append(prefix, `,"model":`...)
	prefix = appendQuoted(prefix, request.parsed.Model)
	writer.chunkPrefix = append(prefix, `,"choices":[`...)
	return writer
}

// appendQuoted appends text as a JSON string.
func appendQuoted(to []byte, text string) []byte {
	if isPlain(text) {
		to = append(to, '"')
		to = append(to, text...)
		return append(to, '"')
	}
	quoted, _ := json.Marshal(text)
	return append(to, quoted...)
}

// isPlain reports whether text needs no escaping in a JSON string, as is true of most tokens.
func isPlain(text string) bool {
	for index := range len(text) {
		if char := text[index]; char < ' ' || char > '~' || char == '"' || char == '\\' {
			return false
		}
	}
	return true
}

// sendHeader sends the status and headers with the first event.
func (w *eventWriter) sendHeader() {
	if w.headerSent {
		return
	}
	w.headerSent = true
	header := w.response.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-cache")
	_ = w.controller.SetWriteDeadline(w.request.Deadline.Add(writeGrace))
	w.response.WriteHeader(http.StatusOK)
}

// write sends the chunks in a single write, followed by the end of the answer if complete is set.
func (w *eventWriter) write(chunks []session.Chunk, complete bool) error {
	if w.writeFailure != nil || len(chunks) == 0 && !complete {
		return w.writeFailure
	}
	text := (*w.buffer)[:0]
	for index := range chunks {
		text = w.appendChunk(text, &chunks[index])
	}
	if complete {
		text = w.appendEnd(text)
	}
	*w.buffer = text
	w.sendHeader()
	return w.send()
}

func (w *eventWriter) send() error {
	if _, err := w.response.Write(*w.buffer); err != nil {
		w.writeFailure = err
		return err
	}
	w.writeFailure = w.controller.Flush()
	return w.writeFailure
}

func (w *eventWriter) appendChunk(text []byte, chunk *session.Chunk) []byte {
	if chunk.Usage != nil {
		w.usage = *chunk.Usage
	}
	first := !w.headerSent && len(text) == 0
	text = append(text, "id: "...)
	text = eventID{request: w.request.ID, replica: chunk.Replica, offset: chunk.Offset + chunk.Tokens}.appendTo(text)
	text = append(text, w.chunkPrefix...)
	if w.request.Operation == engine.OperationChat {
		text = append(text, `{"index":0,"delta":{`...)
		if first {
			text = append(text, `"role":"assistant",`...)
		}
		text = append(text, `"content":`...)
		text = appendQuoted(text, chunk.Text)
		text = append(text, `},"finish_reason":`...)
	} else {
		text = append(text, `{"index":0,"text":`...)
		text = appendQuoted(text, chunk.Text)
		text = append(text, `,"finish_reason":`...)
	}
	if chunk.FinishReason == "" {
		return append(text, "null}]}\n\n"...)
	}
	text = appendQuoted(text, chunk.FinishReason)
	return append(text, "}]}\n\n"...)
}

func (w *eventWriter) appendEnd(text []byte) []byte {
	if w.request.parsed.IncludeUsage {
		usage, _ := json.Marshal(newUsageBody(w.usage))
		// chunkPrefix starts with the line end of an id line, which this event does not have.
		text = append(text, w.chunkPrefix[1:]...)
		text = append(text, `],"usage":`...)
		text = append(text, usage...)
		text = append(text, "}\n\n"...)
	}
	return append(text, "data: [DONE]\n\n"...)
}

// fail sends err as an event of a stream that has begun.
func (w *eventWriter) fail(err error) {
	if err == nil || w.writeFailure != nil {
		return
	}
	body, _ := json.Marshal(newErrorBody(outcome.As(err)))
	*w.buffer = append(append(append((*w.buffer)[:0], "data: "...), body...), "\n\n"...)
	_ = w.send()
}

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

// writeGrace is how long after its deadline a request may still be written.
const writeGrace = 30 * time.Second

// stream runs the request and answers with server-sent events. The status is sent with
// the first chunk, so that a request that did not run gets an error status.
func (s *Server) stream(w http.ResponseWriter, r *http.Request, request *generation) error {
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
		if ended && err != nil && !writer.begun {
			return err
		}
		if ended {
			writer.fail(err)
			return nil
		}
	}
}

// eventWriter writes one answer's events.
type eventWriter struct {
	response   http.ResponseWriter
	controller *http.ResponseController
	request    *generation
	// opening and closing are the constant parts of every chunk around its choice.
	opening []byte
	begun   bool
	broken  error
	usage   engine.Usage
	// buffer is pooled.
	buffer *[]byte
}

const (
	// eventBufferBytes is the first size of a buffer, maxPooledBytes the largest that is kept.
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

func newEventWriter(w http.ResponseWriter, request *generation) *eventWriter {
	writer := &eventWriter{response: w, controller: http.NewResponseController(w), request: request, buffer: eventBuffers.Get().(*[]byte)}
	object := objectCompletion
	if request.Operation == engine.OperationChat {
		object = objectChatChunk
	}
	opening := append([]byte("\ndata: {\"id\":\""), request.answerID...)
	opening = append(opening, `","object":"`+object+`","created":`...)
	opening = strconv.AppendInt(opening, request.created, 10)
	opening = append(opening, `,"model":`...)
	opening = appendQuoted(opening, request.parsed.Model)
	writer.opening = append(opening, `,"choices":[`...)
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

// isPlain says that text is the same inside a JSON string; most tokens are.
func isPlain(text string) bool {
	for index := range len(text) {
		if char := text[index]; char < ' ' || char > '~' || char == '"' || char == '\\' {
			return false
		}
	}
	return true
}

func (w *eventWriter) begin() {
	if w.begun {
		return
	}
	w.begun = true
	header := w.response.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-cache")
	_ = w.controller.SetWriteDeadline(w.request.Deadline.Add(writeGrace))
	w.response.WriteHeader(http.StatusOK)
}

// write sends chunks at once, and the end of the answer where whole is set.
func (w *eventWriter) write(chunks []session.Chunk, whole bool) error {
	if w.broken != nil || len(chunks) == 0 && !whole {
		return w.broken
	}
	text := (*w.buffer)[:0]
	for index := range chunks {
		text = w.appendChunk(text, &chunks[index])
	}
	if whole {
		text = w.appendEnd(text)
	}
	*w.buffer = text
	w.begin()
	return w.send()
}

func (w *eventWriter) send() error {
	if _, err := w.response.Write(*w.buffer); err != nil {
		w.broken = err
		return err
	}
	w.broken = w.controller.Flush()
	return w.broken
}

func (w *eventWriter) appendChunk(text []byte, chunk *session.Chunk) []byte {
	if chunk.Usage != nil {
		w.usage = *chunk.Usage
	}
	first := !w.begun && len(text) == 0
	text = append(text, "id: "...)
	text = eventID{request: w.request.ID, replica: chunk.Replica, offset: chunk.Offset + chunk.Tokens}.appendTo(text)
	text = append(text, w.opening...)
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
		usage, _ := json.Marshal(usageOf(w.usage))
		// The opening starts with the end of an id line, which this event has not.
		text = append(text, w.opening[1:]...)
		text = append(text, `],"usage":`...)
		text = append(text, usage...)
		text = append(text, "}\n\n"...)
	}
	return append(text, "data: [DONE]\n\n"...)
}

// fail tells an error in a stream that has begun.
func (w *eventWriter) fail(err error) {
	if err == nil || w.broken != nil {
		return
	}
	body, _ := json.Marshal(errorBodyOf(outcome.As(err)))
	*w.buffer = append(append(append((*w.buffer)[:0], "data: "...), body...), "\n\n"...)
	_ = w.send()
}

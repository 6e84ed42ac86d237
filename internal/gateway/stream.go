package gateway

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
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
	buffer  []byte
}

func newEventWriter(w http.ResponseWriter, request *generation) *eventWriter {
	writer := &eventWriter{response: w, controller: http.NewResponseController(w), request: request}
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

func appendQuoted(to []byte, text string) []byte {
	quoted, _ := json.Marshal(text)
	return append(to, quoted...)
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
	w.buffer = w.buffer[:0]
	for index := range chunks {
		w.appendChunk(&chunks[index])
	}
	if whole {
		w.appendEnd()
	}
	w.begin()
	return w.send()
}

func (w *eventWriter) send() error {
	if _, err := w.response.Write(w.buffer); err != nil {
		w.broken = err
		return err
	}
	w.broken = w.controller.Flush()
	return w.broken
}

func (w *eventWriter) appendChunk(chunk *session.Chunk) {
	if chunk.Usage != nil {
		w.usage = *chunk.Usage
	}
	first := !w.begun && len(w.buffer) == 0
	text := append(w.buffer, "id: "...)
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
		text = append(text, "null}]}\n\n"...)
	} else {
		text = appendQuoted(text, chunk.FinishReason)
		text = append(text, "}]}\n\n"...)
	}
	w.buffer = text
}

func (w *eventWriter) appendEnd() {
	if w.request.parsed.IncludeUsage {
		usage, _ := json.Marshal(usageOf(w.usage))
		// The opening starts with the end of an id line, which this event has not.
		w.buffer = append(w.buffer, w.opening[1:]...)
		w.buffer = append(w.buffer, `],"usage":`...)
		w.buffer = append(w.buffer, usage...)
		w.buffer = append(w.buffer, "}\n\n"...)
	}
	w.buffer = append(w.buffer, "data: [DONE]\n\n"...)
}

// fail tells an error in a stream that has begun.
func (w *eventWriter) fail(err error) {
	if err == nil || w.broken != nil {
		return
	}
	body, _ := json.Marshal(errorBodyOf(outcome.As(err)))
	w.buffer = append(append(append(w.buffer[:0], "data: "...), body...), "\n\n"...)
	_ = w.send()
}

package engine

import (
	"encoding/json"
	"fmt"
	"net/http"

	modelengine "github.com/sloelift/sloelift/internal/engine"
)

const finishCancelled = "cancelled"

// streamChunk is an OpenAI stream chunk, for chats and for completions.
type streamChunk struct {
	ID      string         `json:"id"`
	Object  string         `json:"object"`
	Model   string         `json:"model"`
	Choices []streamChoice `json:"choices"`
	Usage   *streamUsage   `json:"usage,omitempty"`
}

type streamChoice struct {
	Index        int          `json:"index"`
	Delta        *streamDelta `json:"delta,omitempty"`
	Text         *string      `json:"text,omitempty"`
	FinishReason *string      `json:"finish_reason"`
}

type streamDelta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type streamUsage struct {
	PromptTokens        int           `json:"prompt_tokens"`
	CompletionTokens    int           `json:"completion_tokens"`
	TotalTokens         int           `json:"total_tokens"`
	PromptTokensDetails cachedDetails `json:"prompt_tokens_details"`
}

type cachedDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

func (e *Engine) serveGeneration(writer http.ResponseWriter, request *http.Request, operation modelengine.Operation) {
	parsed, err := parseGeneration(request, operation)
	if err != nil {
		writeRefusal(writer, &refusal{status: http.StatusBadRequest, message: err.Error()})
		return
	}
	entry, follower, refused := e.attach(parsed)
	if refused != nil {
		writeRefusal(writer, refused)
		return
	}
	defer e.detach(entry, follower)
	writer.Header().Set("Content-Type", "text/event-stream")
	writer.Header().Set("Cache-Control", "no-store")
	writer.WriteHeader(http.StatusOK)
	stream := streamWriter{
		writer:    writer,
		flusher:   http.NewResponseController(writer),
		operation: operation,
		chunk:     streamChunk{ID: parsed.id, Model: parsed.body.Model, Object: objectOf(operation)},
		sent:      max(parsed.offset, resumeOffset(parsed)),
	}
	if stream.flusher.Flush() != nil {
		return
	}
	e.follow(request, entry, follower, &stream)
}

func resumeOffset(request generationRequest) int {
	if request.body.Resume == nil {
		return 0
	}
	return request.body.Resume.Offset
}

func objectOf(operation modelengine.Operation) string {
	if operation == modelengine.OperationChat {
		return "chat.completion.chunk"
	}
	return "text_completion"
}

// follow writes a run's tokens as they are produced, until the run ends or the reader disconnects.
func (e *Engine) follow(request *http.Request, entry *run, follower *reader, stream *streamWriter) {
	done := request.Context().Done()
	for {
		if !e.gate.wait(done) {
			return
		}
		now := e.progressOf(entry)
		if now.produced > stream.sent {
			if stream.tokens(entry.answer, now.produced) != nil {
				return
			}
		}
		if now.state == stateFinished || now.state == stateCancelled {
			stream.end(entry.answer, now)
			return
		}
		select {
		case <-done:
			return
		case <-follower.wake:
		}
	}
}

// streamWriter writes the events of one connection. sent is the offset after the last
// token written.
type streamWriter struct {
	writer    http.ResponseWriter
	flusher   *http.ResponseController
	operation modelengine.Operation
	chunk     streamChunk
	sent      int
}

func (s *streamWriter) tokens(answer Answer, upTo int) error {
	text := answer.Text(s.sent, upTo)
	s.sent = upTo
	return s.event(s.choice(text, nil), nil)
}

func (s *streamWriter) choice(text string, finish *string) streamChoice {
	choice := streamChoice{FinishReason: finish}
	if s.operation == modelengine.OperationChat {
		choice.Delta = &streamDelta{Content: text}
	} else {
		choice.Text = &text
	}
	return choice
}

func (s *streamWriter) end(answer Answer, last progress) {
	finish := answer.FinishReason
	if last.state == stateCancelled {
		finish = finishCancelled
	}
	usage := &streamUsage{
		PromptTokens:        last.usage.PromptTokens,
		CompletionTokens:    last.usage.CompletionTokens,
		TotalTokens:         last.usage.PromptTokens + last.usage.CompletionTokens,
		PromptTokensDetails: cachedDetails{CachedTokens: last.usage.CachedTokens},
	}
	if s.event(s.choice("", &finish), usage) != nil {
		return
	}
	_, _ = fmt.Fprint(s.writer, "data: [DONE]\n\n")
	_ = s.flusher.Flush()
}

func (s *streamWriter) event(choice streamChoice, usage *streamUsage) error {
	s.chunk.Choices, s.chunk.Usage = []streamChoice{choice}, usage
	data, err := json.Marshal(s.chunk)
	if err != nil {
		return err
	}
	if _, err := fmt.Fprintf(s.writer, "id: %d\ndata: %s\n\n", s.sent, data); err != nil {
		return err
	}
	return s.flusher.Flush()
}

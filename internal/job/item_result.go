package job

import (
	"encoding/json"
	"time"

	"github.com/sloelift/sloelift/internal/engine"
	"github.com/sloelift/sloelift/internal/outcome"
)

// HTTP statuses of item results.
const (
	statusCompleted     = 200
	statusInvalid       = 400
	statusTooLarge      = 413
	statusEngineFailed  = 502
	statusIndeterminate = 504
)

// completion is an OpenAI chat completion or text completion.
type completion struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Created int64              `json:"created"`
	Model   string             `json:"model"`
	Choices []completionChoice `json:"choices"`
	Usage   completionUsage    `json:"usage"`
}

type completionChoice struct {
	Index        int                `json:"index"`
	Message      *completionMessage `json:"message,omitempty"`
	Text         *string            `json:"text,omitempty"`
	FinishReason string             `json:"finish_reason"`
}

type completionMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type completionUsage struct {
	PromptTokens     int                    `json:"prompt_tokens"`
	CompletionTokens int                    `json:"completion_tokens"`
	TotalTokens      int                    `json:"total_tokens"`
	PromptDetails    completionPromptDetail `json:"prompt_tokens_details"`
}

type completionPromptDetail struct {
	CachedTokens int `json:"cached_tokens"`
}

// completionBody returns the body that a non-streaming call would have returned.
func completionBody(operation engine.Operation, id, model string, progress *itemProgress, finished *finishedError) []byte {
	body := completion{ID: id, Created: time.Now().Unix(), Model: model}
	text := string(progress.text)
	choice := completionChoice{FinishReason: finished.reason}
	if operation == engine.OperationCompletion {
		body.Object = "text_completion"
		choice.Text = &text
	} else {
		body.Object = "chat.completion"
		choice.Message = &completionMessage{Role: "assistant", Content: text}
	}
	body.Choices = []completionChoice{choice}
	body.Usage.CompletionTokens = progress.offset
	if finished.usage != nil {
		body.Usage.PromptTokens = finished.usage.PromptTokens
		body.Usage.PromptDetails.CachedTokens = finished.usage.CachedTokens
	}
	body.Usage.TotalTokens = body.Usage.PromptTokens + body.Usage.CompletionTokens
	return mustEncode(body)
}

// errorEnvelope is an error in the OpenAI format.
type errorEnvelope struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
}

func errorBody(reason outcome.Reason, cause error) []byte {
	message := string(reason)
	if cause != nil {
		message = cause.Error()
	}
	return mustEncode(errorEnvelope{errorDetail{Message: message, Type: string(reason), Code: string(reason)}})
}

// mustEncode encodes a value of one of this file's types as JSON, which cannot fail.
func mustEncode(value any) []byte {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic("job: encode result: " + err.Error())
	}
	return encoded
}

package gateway

import (
	"net/http"
	"strings"

	"github.com/sloelift/sloelift/internal/engine"
	"github.com/sloelift/sloelift/internal/session"
)

// Object types and the role in answers of the OpenAI API.
const (
	objectChat       = "chat.completion"
	objectChatChunk  = "chat.completion.chunk"
	objectCompletion = "text_completion"
	roleAssistant    = "assistant"
)

// completionBody is the JSON answer of chat and text completions.
type completionBody struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Created int64              `json:"created"`
	Model   string             `json:"model"`
	Choices []completionChoice `json:"choices"`
	Usage   usageBody          `json:"usage"`
}

type completionChoice struct {
	Index        int          `json:"index"`
	Message      *messageBody `json:"message,omitempty"`
	Text         *string      `json:"text,omitempty"`
	FinishReason string       `json:"finish_reason"`
	Logprobs     *struct{}    `json:"logprobs"`
}

type messageBody struct {
	Role    string  `json:"role"`
	Content string  `json:"content"`
	Refusal *string `json:"refusal"`
}

type usageBody struct {
	PromptTokens        int                `json:"prompt_tokens"`
	CompletionTokens    int                `json:"completion_tokens"`
	TotalTokens         int                `json:"total_tokens"`
	PromptTokensDetails promptTokenDetails `json:"prompt_tokens_details"`
}

type promptTokenDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

func newUsageBody(usage engine.Usage) usageBody {
	return usageBody{
		PromptTokens:        usage.PromptTokens,
		CompletionTokens:    usage.CompletionTokens,
		TotalTokens:         usage.PromptTokens + usage.CompletionTokens,
		PromptTokensDetails: promptTokenDetails{CachedTokens: usage.CachedTokens},
	}
}

// complete runs the request and answers with one JSON body.
func (s *Server) complete(w http.ResponseWriter, r *http.Request, request *generationRequest) error {
	var text strings.Builder
	var finish string
	var usage engine.Usage
	err := s.runner.Run(r.Context(), request.Request, func(chunk session.Chunk) error {
		text.WriteString(chunk.Text)
		if chunk.FinishReason != "" {
			finish = chunk.FinishReason
		}
		if chunk.Usage != nil {
			usage = *chunk.Usage
		}
		return nil
	})
	if err != nil {
		return err
	}
	writeJSON(w, http.StatusOK, request.completion(text.String(), finish, usage))
	return nil
}

func (g *generationRequest) completion(text, finish string, usage engine.Usage) completionBody {
	choice := completionChoice{FinishReason: finish}
	object := objectCompletion
	if g.Operation == engine.OperationChat {
		object = objectChat
		choice.Message = &messageBody{Role: roleAssistant, Content: text}
	} else {
		choice.Text = &text
	}
	return completionBody{
		ID:      g.answerID,
		Object:  object,
		Created: g.created,
		Model:   g.parsed.Model,
		Choices: []completionChoice{choice},
		Usage:   newUsageBody(usage),
	}
}

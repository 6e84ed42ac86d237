package engine

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"

	modelengine "github.com/sloelift/sloelift/internal/engine"
)

const (
	headerRequestID    = "X-Request-Id"
	headerPriority     = "X-Request-Priority"
	headerResumeOffset = "X-Resume-Offset"
	headerAttachOnly   = "X-Attach-Only"
	headerNotRun       = "X-Not-Run"

	// maxBodyBytes is the maximum size of a generation request's body.
	maxBodyBytes = 8 << 20
)

// generationRequest is a parsed generation request.
type generationRequest struct {
	id         string
	priority   int
	offset     int
	attachOnly bool
	operation  modelengine.Operation
	body       generationBody
	prompt     string
}

// generationBody holds the fields of an OpenAI request body that the emulator uses.
type generationBody struct {
	Model               string        `json:"model"`
	Prompt              string        `json:"prompt"`
	Messages            []chatMessage `json:"messages"`
	MaxTokens           int           `json:"max_tokens"`
	MaxCompletionTokens int           `json:"max_completion_tokens"`
	Stream              bool          `json:"stream"`
	Resume              *resumeBody   `json:"resume"`
}

type chatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

type resumeBody struct {
	Offset int    `json:"offset"`
	Text   string `json:"text"`
}

func (b generationBody) maxTokens() int { return max(b.MaxTokens, b.MaxCompletionTokens) }

// parseGeneration reads headers and body; an error means that the request is invalid.
func parseGeneration(request *http.Request, operation modelengine.Operation) (generationRequest, error) {
	parsed := generationRequest{
		id:         request.Header.Get(headerRequestID),
		attachOnly: request.Header.Get(headerAttachOnly) == "true",
		operation:  operation,
	}
	if parsed.id == "" {
		return parsed, errors.New(headerRequestID + " is missing")
	}
	var err error
	if parsed.priority, err = intHeader(request, headerPriority); err != nil {
		return parsed, err
	}
	if parsed.offset, err = intHeader(request, headerResumeOffset); err != nil {
		return parsed, err
	}
	content, err := io.ReadAll(io.LimitReader(request.Body, maxBodyBytes))
	if err != nil {
		return parsed, fmt.Errorf("read body: %w", err)
	}
	if parsed.attachOnly && len(content) == 0 {
		return parsed, nil
	}
	if err := json.Unmarshal(content, &parsed.body); err != nil {
		return parsed, fmt.Errorf("decode body: %w", err)
	}
	parsed.prompt, err = promptText(operation, parsed.body)
	return parsed, err
}

func intHeader(request *http.Request, name string) (int, error) {
	text := request.Header.Get(name)
	if text == "" {
		return 0, nil
	}
	value, err := strconv.Atoi(text)
	if err != nil {
		return 0, fmt.Errorf("%s is not an integer", name)
	}
	return value, nil
}

// promptText returns the prompt of a request body.
func promptText(operation modelengine.Operation, body generationBody) (string, error) {
	if operation == modelengine.OperationCompletion {
		if body.Prompt == "" {
			return "", errors.New("prompt is missing")
		}
		return body.Prompt, nil
	}
	if len(body.Messages) == 0 {
		return "", errors.New("messages are missing")
	}
	var text strings.Builder
	for _, message := range body.Messages {
		content, err := messageText(message.Content)
		if err != nil {
			return "", err
		}
		text.WriteString(message.Role + ": " + content + "\n")
	}
	return text.String(), nil
}

// messageText accepts a string or a list of text parts.
func messageText(content json.RawMessage) (string, error) {
	var text string
	if err := json.Unmarshal(content, &text); err == nil {
		return text, nil
	}
	var parts []struct {
		Text string `json:"text"`
	}
	if err := json.Unmarshal(content, &parts); err != nil {
		return "", errors.New("message content is neither text nor a list of parts")
	}
	for _, part := range parts {
		text += part.Text
	}
	return text, nil
}

// ChatPrompt returns the prompt of a chat with a single user message.
func ChatPrompt(content string) string { return "user: " + content + "\n" }

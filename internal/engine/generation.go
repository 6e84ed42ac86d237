package engine

import (
	"encoding/json"
	"errors"
	"strings"
)

// Generation is what the system reads of a generation's body; all else passes through.
type Generation struct {
	// Model is the name as the body has it.
	Model string
	// Prompt is the text that engines hash into prefix blocks: the prompt itself, or one
	// line "role: content" for each message.
	Prompt    string
	MaxTokens int
	Stream    bool
	// IncludeUsage asks for a last stream event with the usage.
	IncludeUsage bool
	// ServiceTier is OpenAI's name for a class of service.
	ServiceTier string
	// Resume is the answer so far that a reconnecting caller sends; HasResume says that the
	// body has the field at all.
	Resume    string
	HasResume bool
}

type generationFields struct {
	Model               string          `json:"model"`
	Prompt              json.RawMessage `json:"prompt"`
	Messages            []message       `json:"messages"`
	MaxTokens           int             `json:"max_tokens"`
	MaxCompletionTokens int             `json:"max_completion_tokens"`
	Choices             *int            `json:"n"`
	Stream              bool            `json:"stream"`
	StreamOptions       struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
	ServiceTier string          `json:"service_tier"`
	Tools       json.RawMessage `json:"tools"`
	Logprobs    json.RawMessage `json:"logprobs"`
	Resume      *struct {
		Text string `json:"text"`
	} `json:"resume"`
}

type message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

type contentPart struct {
	Type string `json:"type"`
	Text string `json:"text"`
}

// Errors of ParseGeneration that name a field.
var (
	errNoModel       = errors.New("model: is required")
	errNoMessages    = errors.New("messages: at least one message is required")
	errNoPrompt      = errors.New("prompt: a string, or a list with one string, is required")
	errChoices       = errors.New("n: only 1 is supported")
	errTools         = errors.New("tools: are not supported")
	errLogprobs      = errors.New("logprobs: are not supported")
	errContent       = errors.New("messages: content must be a string or a list of text parts")
	errMaxTokens     = errors.New("max_tokens: must not be negative")
	errOperationName = errors.New("endpoint: must be /v1/chat/completions or /v1/completions")
)

// ParseGeneration reads the body of an operation. Its error names the field that is wrong.
func ParseGeneration(operation Operation, body []byte) (Generation, error) {
	var fields generationFields
	if err := json.Unmarshal(body, &fields); err != nil {
		return Generation{}, err
	}
	if err := fields.check(); err != nil {
		return Generation{}, err
	}
	prompt, err := fields.promptText(operation)
	if err != nil {
		return Generation{}, err
	}
	generation := Generation{
		Model:        fields.Model,
		Prompt:       prompt,
		MaxTokens:    max(fields.MaxTokens, fields.MaxCompletionTokens),
		Stream:       fields.Stream,
		IncludeUsage: fields.StreamOptions.IncludeUsage,
		ServiceTier:  fields.ServiceTier,
		HasResume:    fields.Resume != nil,
	}
	if fields.Resume != nil {
		generation.Resume = fields.Resume.Text
	}
	return generation, nil
}

func (f *generationFields) check() error {
	switch {
	case f.Model == "":
		return errNoModel
	case f.Choices != nil && *f.Choices != 1:
		return errChoices
	case present(f.Tools):
		return errTools
	case present(f.Logprobs) && string(f.Logprobs) != "false":
		return errLogprobs
	case f.MaxTokens < 0 || f.MaxCompletionTokens < 0:
		return errMaxTokens
	default:
		return nil
	}
}

func present(value json.RawMessage) bool {
	return len(value) > 0 && string(value) != "null" && string(value) != "[]"
}

func (f *generationFields) promptText(operation Operation) (string, error) {
	switch operation {
	case OperationChat:
		return messagesText(f.Messages)
	case OperationCompletion:
		return promptText(f.Prompt)
	default:
		return "", errOperationName
	}
}

func messagesText(messages []message) (string, error) {
	if len(messages) == 0 {
		return "", errNoMessages
	}
	var text strings.Builder
	for _, message := range messages {
		content, err := contentText(message.Content)
		if err != nil {
			return "", err
		}
		text.WriteString(message.Role)
		text.WriteString(": ")
		text.WriteString(content)
		text.WriteByte('\n')
	}
	return text.String(), nil
}

func contentText(content json.RawMessage) (string, error) {
	if !present(content) {
		return "", nil
	}
	var text string
	if json.Unmarshal(content, &text) == nil {
		return text, nil
	}
	var parts []contentPart
	if json.Unmarshal(content, &parts) != nil {
		return "", errContent
	}
	for _, part := range parts {
		if part.Type != "text" {
			return "", errContent
		}
		text += part.Text
	}
	return text, nil
}

func promptText(prompt json.RawMessage) (string, error) {
	var text string
	if present(prompt) && json.Unmarshal(prompt, &text) == nil {
		return text, nil
	}
	var list []string
	if json.Unmarshal(prompt, &list) != nil || len(list) != 1 {
		return "", errNoPrompt
	}
	return list[0], nil
}

// SplitModel splits the model of a body, "name" or "name:adapter".
func SplitModel(model string) (name, adapter string) {
	name, adapter, _ = strings.Cut(model, ":")
	return name, adapter
}

// JoinModel is the inverse of SplitModel.
func JoinModel(name, adapter string) string {
	if adapter == "" {
		return name
	}
	return name + ":" + adapter
}

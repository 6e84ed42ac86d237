package engine

import (
	"encoding/json"
	"errors"
	"strings"
)

// Generation holds the fields of a generation's body that this system uses; the others are passed
// on unchanged.
type Generation struct {
	// Model is the name as given in the body.
	Model string
	// Prompt is the text that engines hash into prefix blocks: the prompt itself, or one
	// line "role: content" for each message.
	Prompt    string
	MaxTokens int
	Stream    bool
	// IncludeUsage requests a last stream event with the usage.
	IncludeUsage bool
	// ServiceTier is the service class, as in the OpenAI API.
	ServiceTier string
	// Resume is the answer so far, which a reconnecting caller may send. HasResume is true if the
	// body has the field.
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

// Errors of ParseGeneration that name the invalid field. Callers get their texts.
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

// ParseGeneration parses the body of an operation. Its error names the invalid field.
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
	case isSet(f.Tools):
		return errTools
	case isSet(f.Logprobs) && string(f.Logprobs) != "false":
		return errLogprobs
	case f.MaxTokens < 0 || f.MaxCompletionTokens < 0:
		return errMaxTokens
	default:
		return nil
	}
}

// isSet reports whether a field is set to something other than null or an empty list.
func isSet(value json.RawMessage) bool {
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
	if !isSet(content) {
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
	if isSet(prompt) && json.Unmarshal(prompt, &text) == nil {
		return text, nil
	}
	var list []string
	if json.Unmarshal(prompt, &list) != nil || len(list) != 1 {
		return "", errNoPrompt
	}
	return list[0], nil
}

// SplitModel splits a model as given in a body, "name" or "name:adapter".
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

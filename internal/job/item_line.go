package job

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/sloelift/sloelift/internal/config"
	"github.com/sloelift/sloelift/internal/engine"
)

// itemLine is one line of a job's JSONL input.
type itemLine struct {
	CustomID string          `json:"custom_id"`
	Method   string          `json:"method"`
	URL      string          `json:"url"`
	Body     json.RawMessage `json:"body"`

	// raw is Body, body what this slice reads of it.
	raw  json.RawMessage
	body itemBody
}

// itemBody is what this slice reads of a request body.
type itemBody struct {
	Model               string          `json:"model"`
	Messages            []itemMessage   `json:"messages"`
	Prompt              json.RawMessage `json:"prompt"`
	MaxTokens           int             `json:"max_tokens"`
	MaxCompletionTokens int             `json:"max_completion_tokens"`
}

// itemMessage is one message of a chat; content that isn't text is left out.
type itemMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// parseItemLine parses and checks a line; a URL, if any, must be the operation.
func parseItemLine(line []byte, operation engine.Operation) (*itemLine, error) {
	item := new(itemLine)
	if err := json.Unmarshal(line, item); err != nil {
		return nil, fmt.Errorf("not a JSON object: %w", err)
	}
	if item.CustomID == "" {
		return nil, fmt.Errorf("custom_id is missing")
	}
	if item.Method != "" && item.Method != "POST" {
		return nil, fmt.Errorf("method %q is not POST", item.Method)
	}
	if item.URL != "" && item.URL != string(operation) {
		return nil, fmt.Errorf("url %q is not the job's %q", item.URL, operation)
	}
	if trimmed := bytes.TrimSpace(item.Body); len(trimmed) == 0 || trimmed[0] != '{' {
		return nil, fmt.Errorf("body is not a JSON object")
	}
	item.raw = item.Body
	if err := json.Unmarshal(item.raw, &item.body); err != nil {
		return nil, fmt.Errorf("body: %w", err)
	}
	return item, nil
}

// readItem reads the line of an item from the log.
func (r *jobRun) readItem(index int) (*itemLine, error) {
	position, within, err := r.layout.locate(index)
	if err != nil {
		return nil, err
	}
	chunk, err := r.partition.reader.readChunk(context.WithoutCancel(r.ctx), position)
	if err != nil {
		return nil, err
	}
	line, found := nthLine(chunk.GetData(), within)
	if !found {
		return nil, fmt.Errorf("chunk at %d has no line %d", position, within)
	}
	return parseItemLine(line, r.operation)
}

// nthLine returns a line of data without its newline.
func nthLine(data []byte, number int) ([]byte, bool) {
	for range number {
		end := bytes.IndexByte(data, '\n')
		if end < 0 {
			return nil, false
		}
		data = data[end+1:]
	}
	line, _, _ := bytes.Cut(data, []byte{'\n'})
	return line, len(line) > 0
}

func (b *itemBody) maxTokens() int { return max(b.MaxTokens, b.MaxCompletionTokens) }

// prompt is the text whose prefix the engine's cache may hold.
func (b *itemBody) prompt() string {
	if len(b.Messages) == 0 {
		return textOf(b.Prompt)
	}
	var prompt strings.Builder
	for _, message := range b.Messages {
		prompt.WriteString(message.Role + ": " + textOf(message.Content) + "\n")
	}
	return prompt.String()
}

// textOf returns the text of a JSON string, or else the JSON itself.
func textOf(raw json.RawMessage) string {
	var text string
	if json.Unmarshal(raw, &text) == nil {
		return text
	}
	return string(raw)
}

// resolveModel finds the model and adapter that a body names; a name may be an
// adapter of one of the service's models, and none is the service's first model.
func resolveModel(snapshot *config.Snapshot, serviceName, name string) (model, adapter string) {
	service := snapshot.Services[serviceName]
	if service == nil || len(service.Models) == 0 {
		return name, ""
	}
	if name == "" {
		return service.Models[0], ""
	}
	for _, served := range service.Models {
		declared := snapshot.Models[served]
		if declared == nil || served == name {
			continue
		}
		for _, candidate := range declared.Adapters {
			if candidate == name {
				return served, name
			}
		}
	}
	return name, ""
}

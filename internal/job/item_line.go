package job

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
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

	// generation is the part of Body that the serving system interprets.
	generation engine.Generation
}

// parseItemLine parses and validates a line. A URL, if present, must equal the job's
// operation.
func parseItemLine(line []byte, operation engine.Operation) (*itemLine, error) {
	item := new(itemLine)
	if err := json.Unmarshal(line, item); err != nil {
		return nil, fmt.Errorf("not a JSON object: %w", err)
	}
	if item.CustomID == "" {
		return nil, errors.New("custom_id is missing")
	}
	if item.Method != "" && item.Method != http.MethodPost {
		return nil, fmt.Errorf("method %q is not POST", item.Method)
	}
	if item.URL != "" && item.URL != string(operation) {
		return nil, fmt.Errorf("url %q is not the job's %q", item.URL, operation)
	}
	if trimmed := bytes.TrimSpace(item.Body); len(trimmed) == 0 || trimmed[0] != '{' {
		return nil, errors.New("body is not a JSON object")
	}
	generation, err := engine.ParseGeneration(operation, item.Body)
	if err != nil {
		return nil, fmt.Errorf("body: %w", err)
	}
	item.generation = generation
	return item, nil
}

// readItem reads and parses the input line of an item from the log.
func (r *jobRun) readItem(index int) (*itemLine, error) {
	position, lineNumber, err := r.layout.locate(index)
	if err != nil {
		return nil, err
	}
	chunk, err := r.partition.reader.readChunk(context.WithoutCancel(r.ctx), position)
	if err != nil {
		return nil, err
	}
	line, found := nthLine(chunk.GetData(), lineNumber)
	if !found {
		return nil, fmt.Errorf("chunk at %d has no line %d", position, lineNumber)
	}
	return parseItemLine(line, r.operation)
}

// nthLine returns the line with the given zero-based number, without its newline. It
// returns false if the line is missing or empty.
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

// resolveModel resolves the "model" field of an item within the service of its job. As
// for online requests, the name is "service/model", "model" or "service" (its first
// model), each with an optional ":adapter". It returns false if the service does not
// serve the model or adapter.
func resolveModel(snapshot *config.Snapshot, serviceName, name string) (model, adapter string, served bool) {
	service := snapshot.Services[serviceName]
	if service == nil || len(service.Models) == 0 {
		return "", "", false
	}
	model, adapter = engine.SplitModel(name)
	model = strings.TrimPrefix(model, serviceName+"/")
	if model == serviceName {
		model = service.Models[0]
	}
	if !slices.Contains(service.Models, model) {
		return model, adapter, false
	}
	declared := snapshot.Models[model]
	return model, adapter, adapter == "" || declared != nil && slices.Contains(declared.Adapters, adapter)
}

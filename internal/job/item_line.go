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

	// generation is what the system reads of Body.
	generation engine.Generation
}

// parseItemLine parses and checks a line; a URL, if any, must be the operation.
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

// resolveModel finds what an item's "model" stands for within its job's service: as
// for online requests, "service/model", "model" or "service" (its first model), each
// with an optional ":adapter". False means that the service doesn't have it.
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

package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"mime/multipart"
	"net/http"
	"net/netip"

	"github.com/sloelift/sloelift/internal/engine"
)

// BatchStatus holds the fields of a batch that the load generator uses.
type BatchStatus struct {
	ID            string `json:"id"`
	Status        string `json:"status"`
	OutputFileID  string `json:"output_file_id"`
	ErrorFileID   string `json:"error_file_id"`
	RequestCounts struct {
		Total     int `json:"total"`
		Completed int `json:"completed"`
		Failed    int `json:"failed"`
	} `json:"request_counts"`
}

// Ended reports whether the batch is in a final state.
func (s BatchStatus) Ended() bool {
	switch s.Status {
	case "completed", "cancelled", "expired", "failed":
		return true
	}
	return false
}

// batchLine is one line of a batch's input file.
type batchLine struct {
	CustomID string           `json:"custom_id"`
	Method   string           `json:"method"`
	URL      engine.Operation `json:"url"`
	Body     chatBody         `json:"body"`
}

// resultLine is one line of a batch's output or error file.
type resultLine struct {
	CustomID string `json:"custom_id"`
	Response *struct {
		StatusCode int `json:"status_code"`
		Body       struct {
			Choices []struct {
				Message struct {
					Content string `json:"content"`
				} `json:"message"`
			} `json:"choices"`
		} `json:"body"`
	} `json:"response"`
	Error json.RawMessage `json:"error"`
}

// encodeItems returns a job's input file.
func encodeItems(model string, job JobArrival) ([]byte, error) {
	var content bytes.Buffer
	encoder := json.NewEncoder(&content)
	for _, item := range job.Items {
		line := batchLine{CustomID: item.CustomID, Method: http.MethodPost, URL: engine.OperationChat, Body: chatBody{
			Model:     model,
			Messages:  []chatMessage{{Role: "user", Content: item.Content}},
			MaxTokens: item.MaxTokens,
		}}
		if err := encoder.Encode(line); err != nil {
			return nil, err
		}
	}
	return content.Bytes(), nil
}

// Upload uploads a batch's input file and returns its id.
func (c *Caller) Upload(ctx context.Context, node netip.AddrPort, name string, content []byte) (string, error) {
	var form bytes.Buffer
	writer := multipart.NewWriter(&form)
	if err := writer.WriteField("purpose", "batch"); err != nil {
		return "", err
	}
	part, err := writer.CreateFormFile("file", name)
	if err != nil {
		return "", err
	}
	if _, err := part.Write(content); err != nil {
		return "", err
	}
	if err := writer.Close(); err != nil {
		return "", err
	}
	var file struct {
		ID string `json:"id"`
	}
	err = c.callJSON(ctx, http.MethodPost, node, "/v1/files", writer.FormDataContentType(), form.Bytes(), nil, &file)
	return file.ID, err
}

type createBatch struct {
	InputFileID      string            `json:"input_file_id"`
	Endpoint         engine.Operation  `json:"endpoint"`
	CompletionWindow string            `json:"completion_window"`
	Metadata         map[string]string `json:"metadata,omitempty"`
}

// CreateBatch submits a job with its key as the idempotency key.
func (c *Caller) CreateBatch(ctx context.Context, node netip.AddrPort, fileID string, job JobArrival) (BatchStatus, error) {
	body, err := json.Marshal(createBatch{
		InputFileID:      fileID,
		Endpoint:         engine.OperationChat,
		CompletionWindow: "24h",
		Metadata:         map[string]string{"key": job.Key},
	})
	if err != nil {
		return BatchStatus{}, err
	}
	headers := map[string]string{headerIdempotencyKey: job.Key, headerPriority: job.Priority}
	if job.NotRepeatable {
		headers[headerNotRepeatable] = "true"
	}
	var status BatchStatus
	err = c.callJSON(ctx, http.MethodPost, node, "/v1/batches", "application/json", body, headers, &status)
	return status, err
}

// Batch returns a batch's status.
func (c *Caller) Batch(ctx context.Context, node netip.AddrPort, id string) (BatchStatus, error) {
	var status BatchStatus
	err := c.callJSON(ctx, http.MethodGet, node, "/v1/batches/"+id, "", nil, nil, &status)
	return status, err
}

// CancelBatch cancels a batch; it returns once the cancel is durable.
func (c *Caller) CancelBatch(ctx context.Context, node netip.AddrPort, id string) (BatchStatus, error) {
	var status BatchStatus
	err := c.callJSON(ctx, http.MethodPost, node, "/v1/batches/"+id+"/cancel", "application/json", []byte("{}"), nil, &status)
	return status, err
}

// ResultLines reads a result file line by line.
func (c *Caller) ResultLines(ctx context.Context, node netip.AddrPort, fileID string, yield func(resultLine)) error {
	response, err := c.do(ctx, http.MethodGet, node, "/v1/files/"+fileID+"/content", "", nil, nil)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	decoder := json.NewDecoder(response.Body)
	for {
		var line resultLine
		if err := decoder.Decode(&line); err == io.EOF {
			return nil
		} else if err != nil {
			return fmt.Errorf("decode result line: %w", err)
		}
		yield(line)
	}
}

func (c *Caller) callJSON(
	ctx context.Context, method string, node netip.AddrPort, path, contentType string, body []byte, headers map[string]string, answer any,
) error {
	response, err := c.do(ctx, method, node, path, contentType, bytes.NewReader(body), headers)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	return json.NewDecoder(response.Body).Decode(answer)
}

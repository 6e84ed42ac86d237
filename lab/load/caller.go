package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"
)

// Headers of the callers' API that are not part of OpenAI's.
const (
	headerIdempotencyKey = "Idempotency-Key"
	headerNotRepeatable  = "X-Not-Repeatable"
	headerPriority       = "X-Priority"
	headerReconnect      = "X-Reconnect"
	headerLastEventID    = "Last-Event-ID"
	headerRetryAfterMs   = "Retry-After-Ms"
	headerShouldRetry    = "X-Should-Retry"
)

// idleTimeout is shorter than that of nodes, so that no request is sent on a connection
// that a node is closing because it is idle.
const idleTimeout = 2 * time.Second

// Caller is a client of the callers' API. It is safe for concurrent use.
type Caller struct {
	client *http.Client
	key    string
}

// NewCaller returns a client that sends the tenant's bearer key.
func NewCaller(key string) *Caller {
	transport := &http.Transport{MaxIdleConnsPerHost: 512, IdleConnTimeout: idleTimeout}
	return &Caller{client: &http.Client{Transport: transport}, key: key}
}

// Close closes idle connections.
func (c *Caller) Close() { c.client.CloseIdleConnections() }

// StatusError is an error response with the outcome that it reports.
type StatusError struct {
	Status     int
	Outcome    string
	Reason     string
	Message    string
	RetryAfter time.Duration
	// ShouldRetry is set if the response asks the caller to retry.
	ShouldRetry bool
}

// Error returns status, outcome and message.
func (e *StatusError) Error() string {
	return fmt.Sprintf("status %d, outcome %q, reason %q: %s", e.Status, e.Outcome, e.Reason, e.Message)
}

// errorAnswer is the error body of the callers' API.
type errorAnswer struct {
	Error struct {
		Message string `json:"message"`
		Code    string `json:"code"`
		Outcome string `json:"outcome"`
	} `json:"error"`
}

// errCut means that a stream ended before its [DONE] event.
var errCut = errors.New("stream was cut before its end")

type chatBody struct {
	Model     string         `json:"model"`
	Messages  []chatMessage  `json:"messages"`
	MaxTokens int            `json:"max_tokens"`
	Stream    bool           `json:"stream,omitempty"`
	Options   *streamOptions `json:"stream_options,omitempty"`
	Resume    *resumeBody    `json:"resume,omitempty"`
}

// resumeBody holds the part of the answer that a reconnecting caller has received.
type resumeBody struct {
	Text string `json:"text"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// chatEvent holds the fields of a stream chunk that the load generator uses.
type chatEvent struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		FinishReason string `json:"finish_reason"`
	} `json:"choices"`
	Usage *struct {
		PromptTokens        int `json:"prompt_tokens"`
		CompletionTokens    int `json:"completion_tokens"`
		PromptTokensDetails struct {
			CachedTokens int `json:"cached_tokens"`
		} `json:"prompt_tokens_details"`
	} `json:"usage"`
	Error *struct {
		Message string `json:"message"`
		Code    string `json:"code"`
		Outcome string `json:"outcome"`
	} `json:"error"`
}

// ChatRequest is one online request to one node.
type ChatRequest struct {
	Model          string
	Content        string
	MaxTokens      int
	Priority       string
	IdempotencyKey string
	NotRepeatable  bool
	// LastEventID and Prior, the text received so far, continue a stream that an earlier connection began.
	LastEventID string
	Prior       string
}

// ChatResult is what a stream delivered.
type ChatResult struct {
	Text         string
	FinishReason string
	PromptTokens int
	CachedTokens int
	// Accepted is set once the stream's headers were received.
	Accepted bool
	// LastEventID is the id of the last event received.
	LastEventID string
}

// Stream runs a chat and calls onTokens after each event that contains tokens.
func (c *Caller) Stream(ctx context.Context, node netip.AddrPort, request ChatRequest, onTokens func(text string)) (ChatResult, error) {
	body, err := json.Marshal(request.body())
	if err != nil {
		return ChatResult{}, err
	}
	headers := request.headers()
	response, err := c.do(ctx, http.MethodPost, node, "/v1/chat/completions", "application/json", bytes.NewReader(body), headers)
	if err != nil {
		return ChatResult{}, err
	}
	defer response.Body.Close()
	result, err := readStream(response.Body, onTokens)
	result.Accepted = true
	return result, err
}

func (r ChatRequest) body() chatBody {
	body := chatBody{
		Model:     r.Model,
		Messages:  []chatMessage{{Role: "user", Content: r.Content}},
		MaxTokens: r.MaxTokens,
		Stream:    true,
		Options:   &streamOptions{IncludeUsage: true},
	}
	if r.Prior != "" {
		body.Resume = &resumeBody{Text: r.Prior}
	}
	return body
}

func (r ChatRequest) headers() map[string]string {
	headers := map[string]string{
		headerPriority:       r.Priority,
		headerIdempotencyKey: r.IdempotencyKey,
		headerLastEventID:    r.LastEventID,
		headerReconnect:      "true",
	}
	if r.NotRepeatable {
		headers[headerNotRepeatable] = "true"
	}
	return headers
}

// readStream reads events until [DONE].
func readStream(stream io.Reader, onTokens func(text string)) (ChatResult, error) {
	var result ChatResult
	var text strings.Builder
	scanner := bufio.NewScanner(stream)
	scanner.Buffer(make([]byte, 0, 4096), 1<<20)
	for scanner.Scan() {
		if id, found := bytes.CutPrefix(scanner.Bytes(), []byte("id: ")); found {
			result.LastEventID = string(id)
			continue
		}
		data, found := bytes.CutPrefix(scanner.Bytes(), []byte("data: "))
		if !found {
			continue
		}
		if string(data) == "[DONE]" {
			result.Text = text.String()
			return result, nil
		}
		var event chatEvent
		if err := json.Unmarshal(data, &event); err != nil {
			return result, fmt.Errorf("decode event: %w", err)
		}
		if event.Error != nil {
			result.Text = text.String()
			return result, &StatusError{Status: http.StatusOK, Outcome: event.Error.Outcome, Reason: event.Error.Code, Message: event.Error.Message}
		}
		if content := result.take(event); content != "" {
			text.WriteString(content)
			onTokens(content)
		}
	}
	result.Text = text.String()
	return result, errors.Join(errCut, scanner.Err())
}

// take stores an event's usage and finish reason and returns its text.
func (r *ChatResult) take(event chatEvent) string {
	if event.Usage != nil {
		r.PromptTokens, r.CachedTokens = event.Usage.PromptTokens, event.Usage.PromptTokensDetails.CachedTokens
	}
	if len(event.Choices) == 0 {
		return ""
	}
	if reason := event.Choices[0].FinishReason; reason != "" {
		r.FinishReason = reason
	}
	return event.Choices[0].Delta.Content
}

// do sends a request and returns a *StatusError for a response other than 2xx.
func (c *Caller) do(
	ctx context.Context, method string, node netip.AddrPort, path, contentType string, body io.Reader, headers map[string]string,
) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+node.String()+path, body)
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer "+c.key)
	if contentType != "" {
		request.Header.Set("Content-Type", contentType)
	}
	for name, value := range headers {
		if value != "" {
			request.Header.Set(name, value)
		}
	}
	response, err := c.client.Do(request)
	if err != nil {
		return nil, err
	}
	if response.StatusCode < http.StatusOK || response.StatusCode >= http.StatusMultipleChoices {
		defer response.Body.Close()
		return nil, statusError(response)
	}
	return response, nil
}

func statusError(response *http.Response) *StatusError {
	failure := &StatusError{Status: response.StatusCode}
	content, err := io.ReadAll(io.LimitReader(response.Body, 64<<10))
	var answer errorAnswer
	if err == nil && json.Unmarshal(content, &answer) == nil {
		failure.Outcome, failure.Reason, failure.Message = answer.Error.Outcome, answer.Error.Code, answer.Error.Message
	} else {
		failure.Message = string(content)
	}
	if milliseconds, err := strconv.Atoi(response.Header.Get(headerRetryAfterMs)); err == nil {
		failure.RetryAfter = time.Duration(milliseconds) * time.Millisecond
	}
	failure.ShouldRetry = response.Header.Get(headerShouldRetry) == "true"
	return failure
}

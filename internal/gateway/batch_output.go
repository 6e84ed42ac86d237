package gateway

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/sloelift/sloelift/internal/job"
	"github.com/sloelift/sloelift/internal/outcome"
)

const (
	outputPrefix = "output-"
	errorsPrefix = "errors-"
)

// outputID identifies the results of a job as a file: either the results with an answer, or those
// without one.
type outputID struct {
	job    string
	errors bool
}

// String returns the file id.
func (o outputID) String() string {
	if o.errors {
		return errorsPrefix + o.job
	}
	return outputPrefix + o.job
}

// parseOutputID parses a file id; it returns false if the id is not that of a job's results.
func parseOutputID(id string) (outputID, bool) {
	if name, ok := strings.CutPrefix(id, outputPrefix); ok {
		return outputID{job: name}, true
	}
	name, ok := strings.CutPrefix(id, errorsPrefix)
	return outputID{job: name, errors: true}, ok
}

// resultLine is one line of a batch output file of the OpenAI API.
type resultLine struct {
	ID       string          `json:"id"`
	CustomID string          `json:"custom_id"`
	Response *resultResponse `json:"response"`
	Error    *resultError    `json:"error"`
}

type resultResponse struct {
	StatusCode int             `json:"status_code"`
	RequestID  string          `json:"request_id"`
	Body       json.RawMessage `json:"body"`
}

type resultError struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

func newResultLine(jobID string, result job.ItemResult) resultLine {
	id := fmt.Sprintf("%s-%d", jobID, result.Index)
	line := resultLine{ID: "batch_req_" + id, CustomID: result.CustomID}
	if result.Status > 0 && len(result.Body) > 0 {
		line.Response = &resultResponse{StatusCode: result.Status, RequestID: id, Body: result.Body}
	}
	if !hasAnswer(result) {
		line.Error = &resultError{Code: result.Outcome, Message: "the item has no answer: " + result.Outcome}
	}
	return line
}

func hasAnswer(result job.ItemResult) bool { return result.Outcome == string(outcome.Completed) }

// writeResults writes the job's results selected by output as JSONL, in item order.
func (s *Server) writeResults(r *http.Request, call authenticatedCall, output outputID, to io.Writer) error {
	encoder := json.NewEncoder(to)
	encoder.SetEscapeHTML(false)
	return s.jobs.Results(r.Context(), call.tenant.Name, output.job, 0, func(result job.ItemResult) error {
		if hasAnswer(result) == output.errors {
			return nil
		}
		return encoder.Encode(newResultLine(output.job, result))
	})
}

func (s *Server) writeOutput(w http.ResponseWriter, r *http.Request, call authenticatedCall, output outputID) error {
	if _, err := s.jobs.Status(r.Context(), call.tenant.Name, output.job); err != nil {
		return err
	}
	content := newContentWriter(w, s.limits.BodyTimeout)
	if err := s.writeResults(r, call, output, content); err != nil {
		return content.fail(err)
	}
	return content.end()
}

// outputFile describes the results as a file. To know the length, it encodes all results and
// discards the content.
func (s *Server) outputFile(r *http.Request, call authenticatedCall, output outputID) (fileBody, error) {
	status, err := s.jobs.Status(r.Context(), call.tenant.Name, output.job)
	if err != nil {
		return fileBody{}, err
	}
	var counter countingWriter
	if err := s.writeResults(r, call, output, &counter); err != nil {
		return fileBody{}, err
	}
	return fileBody{
		ID: output.String(), Object: objectFile, Bytes: counter.bytes, CreatedAt: unixSeconds(status.EndedAt),
		Filename: output.String() + ".jsonl", Purpose: purposeBatchOutput, Status: "processed",
	}, nil
}

// countingWriter counts the bytes written to it and discards them.
type countingWriter struct{ bytes int64 }

// Write implements io.Writer.
func (c *countingWriter) Write(content []byte) (int, error) {
	c.bytes += int64(len(content))
	return len(content), nil
}

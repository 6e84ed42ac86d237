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

// outputID names the results of a job as a file: those with an answer, or those without.
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

func parseOutputID(id string) (outputID, bool) {
	if name, is := strings.CutPrefix(id, outputPrefix); is {
		return outputID{job: name}, true
	}
	name, is := strings.CutPrefix(id, errorsPrefix)
	return outputID{job: name, errors: true}, is
}

// resultLine is one line of OpenAI's batch output.
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

func resultLineOf(jobID string, result job.ItemResult) resultLine {
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

// writeResults writes the job's results of the asked sort as JSONL, in item order.
func (s *Server) writeResults(r *http.Request, call call, output outputID, to io.Writer) error {
	encoder := json.NewEncoder(to)
	encoder.SetEscapeHTML(false)
	return s.jobs.Results(r.Context(), call.tenant.Name, output.job, 0, func(result job.ItemResult) error {
		if hasAnswer(result) == output.errors {
			return nil
		}
		return encoder.Encode(resultLineOf(output.job, result))
	})
}

func (s *Server) writeOutput(w http.ResponseWriter, r *http.Request, call call, output outputID) error {
	if _, err := s.jobs.Status(r.Context(), call.tenant.Name, output.job); err != nil {
		return err
	}
	content := newContentWriter(w, s.limits.BodyTimeout)
	if err := s.writeResults(r, call, output, content); err != nil {
		return content.fail(err)
	}
	return content.end()
}

// outputFile describes the results as a file; its length is counted by writing it to nowhere.
func (s *Server) outputFile(r *http.Request, call call, output outputID) (fileBody, error) {
	status, err := s.jobs.Status(r.Context(), call.tenant.Name, output.job)
	if err != nil {
		return fileBody{}, err
	}
	var counted countingWriter
	if err := s.writeResults(r, call, output, &counted); err != nil {
		return fileBody{}, err
	}
	return fileBody{
		ID: output.String(), Object: objectFile, Bytes: counted.bytes, CreatedAt: unixOf(status.EndedAt),
		Filename: output.String() + ".jsonl", Purpose: purposeBatchOutput, Status: "processed",
	}, nil
}

type countingWriter struct{ bytes int64 }

// Write counts only.
func (c *countingWriter) Write(content []byte) (int, error) {
	c.bytes += int64(len(content))
	return len(content), nil
}

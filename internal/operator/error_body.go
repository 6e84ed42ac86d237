package operator

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/sloelift/sloelift/internal/config"
	"github.com/sloelift/sloelift/internal/outcome"
)

// Codes of an ErrorDetail with code-specific details.
const (
	codeInvalidFile = "invalid_file"
	codeRevision    = "revision_conflict"
	codeReferenced  = "referenced"
	codeRunningJobs = "running_jobs"
)

// ErrorBody is the JSON body of every error response.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail contains a code, the outcome and the details of the code.
type ErrorDetail struct {
	Code    string          `json:"code"`
	Outcome outcome.Outcome `json:"outcome"`
	Message string          `json:"message"`
	// RetryAfterSeconds is 0 if no delay is known.
	RetryAfterSeconds int                     `json:"retry_after_seconds,omitempty"`
	Invalid           *config.ValidationError `json:"invalid,omitempty"`
	Conflict          *config.ConflictError   `json:"conflict,omitempty"`
	// InvalidFiles is set if several files are invalid; Invalid is then the first of them.
	InvalidFiles []*config.ValidationError `json:"invalid_files,omitempty"`
	Referenced   *config.InUseError        `json:"referenced,omitempty"`
	Running      *RunningJobsError         `json:"running,omitempty"`
}

func describeError(err error) (status int, detail ErrorDetail) {
	detail = ErrorDetail{Outcome: outcome.NotRun, Message: err.Error()}
	switch {
	case errors.As(err, &detail.Invalid):
		detail.Code = codeInvalidFile
		if all := collectInvalid(err); len(all) > 1 {
			detail.InvalidFiles = all
		}
		return http.StatusUnprocessableEntity, detail
	case errors.As(err, &detail.Conflict):
		detail.Code = codeRevision
		return http.StatusConflict, detail
	case errors.As(err, &detail.Referenced):
		detail.Code = codeReferenced
		return http.StatusConflict, detail
	case errors.As(err, &detail.Running):
		detail.Code = codeRunningJobs
		return http.StatusConflict, detail
	}
	typed := outcome.As(err)
	detail.Code, detail.Outcome, detail.Message = string(typed.Reason), typed.Outcome, typed.Message
	if typed.Cause != nil {
		detail.Message += ": " + typed.Cause.Error()
	}
	detail.RetryAfterSeconds = int((typed.RetryAfter + time.Second - 1) / time.Second)
	return statusOf(typed.Reason), detail
}

// collectInvalid returns all ValidationErrors that err wraps.
func collectInvalid(err error) []*config.ValidationError {
	switch typed := err.(type) {
	case *config.ValidationError:
		return []*config.ValidationError{typed}
	case interface{ Unwrap() error }:
		return collectInvalid(typed.Unwrap())
	case interface{ Unwrap() []error }:
		var all []*config.ValidationError
		for _, part := range typed.Unwrap() {
			all = append(all, collectInvalid(part)...)
		}
		return all
	}
	return nil
}

func statusOf(reason outcome.Reason) int {
	switch reason {
	case outcome.ReasonInvalid:
		return http.StatusBadRequest
	case outcome.ReasonUnauthorized:
		return http.StatusUnauthorized
	case outcome.ReasonNotFound:
		return http.StatusNotFound
	case outcome.ReasonConflict:
		return http.StatusConflict
	case outcome.ReasonTooLarge:
		return http.StatusRequestEntityTooLarge
	case outcome.ReasonRateLimited:
		return http.StatusTooManyRequests
	case outcome.ReasonOverloaded, outcome.ReasonUnavailable, outcome.ReasonLeaving, outcome.ReasonNotOwner:
		return http.StatusServiceUnavailable
	case outcome.ReasonDeadline:
		return http.StatusGatewayTimeout
	case outcome.ReasonStorageFull:
		return http.StatusInsufficientStorage
	}
	return http.StatusInternalServerError
}

func writeError(response http.ResponseWriter, err error) {
	status, detail := describeError(err)
	if detail.RetryAfterSeconds > 0 {
		response.Header().Set("Retry-After", strconv.Itoa(detail.RetryAfterSeconds))
	}
	writeJSON(response, status, ErrorBody{Error: detail})
}

const contentTypeJSON = "application/json"

// writeJSON writes a response with a JSON body. A write error is ignored: the client has
// disconnected.
func writeJSON(response http.ResponseWriter, status int, value any) {
	response.Header().Set("Content-Type", contentTypeJSON)
	response.WriteHeader(status)
	_ = json.NewEncoder(response).Encode(value)
}

// toError converts a received detail to the error on the server.
func (d ErrorDetail) toError() error {
	switch {
	case d.Invalid != nil:
		return d.Invalid
	case d.Conflict != nil:
		return d.Conflict
	case d.Referenced != nil:
		return d.Referenced
	case d.Running != nil:
		return d.Running
	}
	failure := outcome.New(d.Outcome, outcome.Reason(d.Code), d.Message)
	return failure.After(time.Duration(d.RetryAfterSeconds) * time.Second)
}

// NewErrorBody returns the ErrorBody of err.
func NewErrorBody(err error) ErrorBody {
	_, detail := describeError(err)
	return ErrorBody{Error: detail}
}

package gateway

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/sloelift/sloelift/internal/outcome"
)

// Error types of the OpenAI API.
const (
	typeInvalid        = "invalid_request_error"
	typeAuthentication = "authentication_error"
	typeNotFound       = "not_found_error"
	typeConflict       = "conflict_error"
	typeRateLimit      = "rate_limit_error"
	typeServer         = "server_error"
)

// Reasons of this package, in addition to those of package outcome.
const (
	reasonSlowBody   outcome.Reason = "body_too_slow"
	reasonTruncated  outcome.Reason = "body_truncated"
	reasonSlowHeader outcome.Reason = "header_too_slow"
)

// statusClientGone is the status of an answer to a caller that has disconnected, so that it is not
// received.
const statusClientGone = 499

const defaultRetryAfter = time.Second

// errorBody is the error object of the OpenAI API, extended by the outcome.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string  `json:"message"`
	Type    string  `json:"type"`
	Param   *string `json:"param"`
	Code    string  `json:"code"`
	Outcome string  `json:"outcome"`
}

func invalid(message string) error {
	return outcome.New(outcome.NotRun, outcome.ReasonInvalid, message)
}

func notFound(message string) error {
	return outcome.New(outcome.NotRun, outcome.ReasonNotFound, message)
}

// httpStatus returns the HTTP status and the error type for a failure.
func httpStatus(failure *outcome.Error) (status int, kind string) {
	switch failure.Reason {
	case outcome.ReasonInvalid, reasonTruncated:
		return http.StatusBadRequest, typeInvalid
	case outcome.ReasonUnauthorized:
		return http.StatusUnauthorized, typeAuthentication
	case outcome.ReasonNotFound:
		return http.StatusNotFound, typeNotFound
	case outcome.ReasonConflict:
		return http.StatusConflict, typeConflict
	case outcome.ReasonTooLarge:
		return http.StatusRequestEntityTooLarge, typeInvalid
	case reasonSlowBody, reasonSlowHeader:
		return http.StatusRequestTimeout, typeInvalid
	case outcome.ReasonCallerCancelled:
		return statusClientGone, typeInvalid
	case outcome.ReasonRateLimited:
		return http.StatusTooManyRequests, typeRateLimit
	}
	switch {
	case failure.Outcome == outcome.NotRun:
		return http.StatusServiceUnavailable, typeServer
	case failure.Reason == outcome.ReasonDeadline:
		return http.StatusGatewayTimeout, typeServer
	default:
		return http.StatusBadGateway, typeServer
	}
}

func newErrorBody(failure *outcome.Error) errorBody {
	_, kind := httpStatus(failure)
	return errorBody{Error: errorDetail{
		Message: failure.Message, Type: kind, Code: string(failure.Reason), Outcome: string(failure.Outcome),
	}}
}

// writeError writes an error answer. Only for a request that did not run and may be sent again, it
// sets Retry-After, and X-Should-Retry to true, which OpenAI's clients obey.
func writeError(w http.ResponseWriter, err error) {
	failure := outcome.As(err)
	status, _ := httpStatus(failure)
	header := w.Header()
	retryable := failure.Outcome == outcome.NotRun && (status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable)
	header.Set("X-Should-Retry", strconv.FormatBool(retryable))
	if retryable {
		wait := failure.RetryAfter
		if wait <= 0 {
			wait = defaultRetryAfter
		}
		header.Set("Retry-After", strconv.Itoa(int(math.Ceil(wait.Seconds()))))
		header.Set("Retry-After-Ms", strconv.FormatInt(max(wait.Milliseconds(), 1), 10))
	}
	if status == http.StatusUnauthorized {
		header.Set("WWW-Authenticate", "Bearer")
	}
	if status == http.StatusRequestTimeout || status == http.StatusRequestEntityTooLarge || failure.Reason == reasonTruncated {
		header.Set("Connection", "close")
	}
	writeJSON(w, status, newErrorBody(failure))
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		status = http.StatusInternalServerError
		body = []byte(`{"error":{"message":"the answer cannot be encoded","type":"server_error","param":null,"code":"internal","outcome":"indeterminate"}}`)
	}
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set("Content-Length", strconv.Itoa(len(body)))
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeGrace))
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

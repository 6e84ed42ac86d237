package outcome

import (
	"errors"
	"fmt"
	"time"
)

// Outcome is what is known about the execution of a request or batch item.
type Outcome string

const (
	// NotRun means that no engine received the request; it is always safe to retry it.
	NotRun Outcome = "not_run"
	// Completed means that the complete answer is available.
	Completed Outcome = "completed"
	// Cancelled means that the caller's cancellation took effect and no result will follow.
	Cancelled Outcome = "cancelled"
	// Indeterminate means that the request may have run; a request marked as not
	// repeatable is never retried after this outcome.
	Indeterminate Outcome = "indeterminate"
	// Failed means that the request was run or validated and its definite answer is an
	// error, for example for an invalid prompt.
	Failed Outcome = "failed"
)

// Reason is the machine-readable cause of an Outcome, in snake case.
type Reason string

// Reasons that more than one slice uses.
const (
	ReasonInvalid         Reason = "invalid_request"
	ReasonUnauthorized    Reason = "unauthorized"
	ReasonNotFound        Reason = "not_found"
	ReasonConflict        Reason = "conflict"
	ReasonTooLarge        Reason = "too_large"
	ReasonRateLimited     Reason = "rate_limited"
	ReasonOverloaded      Reason = "overloaded"
	ReasonUnavailable     Reason = "unavailable"
	ReasonDeadline        Reason = "deadline_exceeded"
	ReasonLeaving         Reason = "leaving"
	ReasonStorageFull     Reason = "storage_full"
	ReasonNotOwner        Reason = "not_owner"
	ReasonEngineFailed    Reason = "engine_failed"
	ReasonInternal        Reason = "internal"
	ReasonCallerCancelled Reason = "caller_cancelled"
	// ReasonNoHome: data confined to certain regions can currently not be placed in them.
	ReasonNoHome Reason = "no_home"
)

// Error is a failure with its Outcome. It wraps Cause, which may be nil.
type Error struct {
	Outcome Outcome
	Reason  Reason
	Message string
	// RetryAfter is the delay before the caller may retry; zero if unknown.
	RetryAfter time.Duration
	Cause      error
}

// Error returns the text "outcome/reason: message: cause".
func (e *Error) Error() string {
	text := fmt.Sprintf("%s/%s: %s", e.Outcome, e.Reason, e.Message)
	if e.Cause != nil {
		text += ": " + e.Cause.Error()
	}
	return text
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// New returns an Error without a cause.
func New(outcome Outcome, reason Reason, message string) *Error {
	return &Error{Outcome: outcome, Reason: reason, Message: message}
}

// Wrap returns an Error around cause.
func Wrap(cause error, outcome Outcome, reason Reason, message string) *Error {
	return &Error{Outcome: outcome, Reason: reason, Message: message, Cause: cause}
}

// After returns a copy of e with RetryAfter set to wait.
func (e *Error) After(wait time.Duration) *Error {
	changed := *e
	changed.RetryAfter = wait
	return &changed
}

// Of returns the Outcome of err. A nil error is Completed; an error without an
// Outcome is Indeterminate, which promises nothing about the execution.
func Of(err error) Outcome {
	if err == nil {
		return Completed
	}
	var typed *Error
	if errors.As(err, &typed) {
		return typed.Outcome
	}
	return Indeterminate
}

// As returns err as an *Error; an error of another type becomes Indeterminate/internal.
func As(err error) *Error {
	var typed *Error
	if errors.As(err, &typed) {
		return typed
	}
	return Wrap(err, Indeterminate, ReasonInternal, "unexpected error")
}

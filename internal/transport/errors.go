package transport

import (
	"errors"
	"time"

	"github.com/joomcode/errorx"

	transportpb "github.com/sloelift/sloelift/api/proto/transport"
	"github.com/sloelift/sloelift/internal/outcome"
)

var namespace = errorx.NewNamespace("transport")

// Error kinds of the transport.
var (
	// KindNotSent: the peer has not received the message.
	KindNotSent = namespace.NewType("not_sent", errorx.Temporary())
	// KindNoAnswer: the message was sent but no answer was received; the peer may have handled it.
	KindNoAnswer = namespace.NewType("no_answer", errorx.Temporary())
	// KindTooLarge: the message exceeds the frame limit and was not sent.
	KindTooLarge = namespace.NewType("too_large")
	// KindMalformed: the peer sent bytes that are not a valid frame; the connection is closed.
	KindMalformed = namespace.NewType("malformed")
)

// RemoteError is an error returned by the peer's handler. Outcome is an
// outcome.Outcome or empty; Reason is an outcome.Reason or empty.
type RemoteError struct {
	Outcome string
	Reason  string
	Message string
	// RetryAfter is the delay before the caller may retry; zero if unknown.
	RetryAfter time.Duration
}

// Error returns the remote message.
func (e *RemoteError) Error() string { return "remote: " + e.Reason + ": " + e.Message }

// Unwrap returns the *outcome.Error that the handler returned, or nil if the
// remote error has no outcome.
func (e *RemoteError) Unwrap() error {
	if e.Outcome == "" {
		return nil
	}
	return &outcome.Error{
		Outcome:    outcome.Outcome(e.Outcome),
		Reason:     outcome.Reason(e.Reason),
		Message:    e.Message,
		RetryAfter: e.RetryAfter,
	}
}

// encodeError converts a handler's error to its wire form.
func encodeError(err error) *transportpb.Error {
	var typed *outcome.Error
	if !errors.As(err, &typed) {
		return &transportpb.Error{Message: err.Error()}
	}
	message := typed.Message
	if typed.Cause != nil {
		message += ": " + typed.Cause.Error()
	}
	return &transportpb.Error{
		Outcome:          string(typed.Outcome),
		Reason:           string(typed.Reason),
		Message:          message,
		RetryAfterMicros: uint64(max(typed.RetryAfter, 0).Microseconds()),
	}
}

func decodeError(wire *transportpb.Error) *RemoteError {
	return &RemoteError{
		Outcome:    wire.GetOutcome(),
		Reason:     wire.GetReason(),
		Message:    wire.GetMessage(),
		RetryAfter: microseconds(wire.GetRetryAfterMicros()),
	}
}

// OutcomeOf converts an error of Call to an outcome: whether the call may have run on the peer.
func OutcomeOf(err error) *outcome.Error {
	switch {
	case errorx.IsOfType(err, KindNotSent):
		return outcome.Wrap(err, outcome.NotRun, outcome.ReasonUnavailable, "peer not reached")
	case errorx.IsOfType(err, KindTooLarge):
		return outcome.Wrap(err, outcome.NotRun, outcome.ReasonTooLarge, "message too large")
	case errorx.IsOfType(err, KindNoAnswer):
		return outcome.Wrap(err, outcome.Indeterminate, outcome.ReasonUnavailable, "peer did not answer")
	default:
		return outcome.As(err)
	}
}

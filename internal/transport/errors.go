package transport

import "github.com/joomcode/errorx"

var namespace = errorx.NewNamespace("transport")

// Error kinds of the transport.
var (
	// KindNotSent: the peer never had the message.
	KindNotSent = namespace.NewType("not_sent", errorx.Temporary())
	// KindNoAnswer: the message was sent and its answer is missing.
	KindNoAnswer = namespace.NewType("no_answer", errorx.Temporary())
	// KindTooLarge: the message is over the frame limit and was not sent.
	KindTooLarge = namespace.NewType("too_large")
)

// RemoteError is an error that the peer's handler returned. Reason is an
// outcome.Reason or empty; Outcome is an outcome.Outcome or empty.
type RemoteError struct {
	Outcome string
	Reason  string
	Message string
}

// Error returns the remote message.
func (e *RemoteError) Error() string { return "remote: " + e.Reason + ": " + e.Message }

package engine

import "github.com/joomcode/errorx"

var namespace = errorx.NewNamespace("engine")

// Error kinds of the engine client.
var (
	// KindNotSent: no connection was made; the engine never saw the request.
	KindNotSent = namespace.NewType("not_sent", errorx.Temporary())
	// KindRefused: the engine answered that it did not take the request (429, 503, model absent).
	KindRefused = namespace.NewType("refused", errorx.Temporary())
	// KindInvalid: the engine examined the request and found it invalid (400, 413, 422).
	KindInvalid = namespace.NewType("invalid")
	// KindLost: the request was sent and its answer or rest is missing; it may have run.
	KindLost = namespace.NewType("lost", errorx.Temporary())
	// KindNoSuchRun: AttachOnly found no run of that id.
	KindNoSuchRun = namespace.NewType("no_such_run")
	// KindFenced: the order's fence token is too low.
	KindFenced = namespace.NewType("fenced")
)

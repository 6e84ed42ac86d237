package engine

import "github.com/joomcode/errorx"

var namespace = errorx.NewNamespace("engine")

// Error kinds of the engine client. The texts of the errors of generations and their streams are
// recorded in the results of batch items.
var (
	// KindNotSent means that no connection was made: the engine did not receive the request.
	KindNotSent = namespace.NewType("not_sent", errorx.Temporary())
	// KindRefused means that the engine answered that it did not run the request (429, 503, model
	// absent).
	KindRefused = namespace.NewType("refused", errorx.Temporary())
	// KindInvalid means that the engine rejected the request as invalid (400, 413, 422).
	KindInvalid = namespace.NewType("invalid")
	// KindLost means that the request was sent and its answer is missing or incomplete; it may have
	// run.
	KindLost = namespace.NewType("lost", errorx.Temporary())
	// KindNoSuchRun means that the engine has no run with the request id.
	KindNoSuchRun = namespace.NewType("no_such_run")
	// KindFenced means that the order's fencing token is too low.
	KindFenced = namespace.NewType("fenced")
)

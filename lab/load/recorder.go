package load

import (
	"time"

	"github.com/sloelift/sloelift/lab/histogram"
)

// OnlineOutcome is how an online request ended for its caller.
type OnlineOutcome string

// Outcomes of online requests.
const (
	OnlineCompleted     OnlineOutcome = "completed"
	OnlineRefused       OnlineOutcome = "refused"
	OnlineIndeterminate OnlineOutcome = "indeterminate"
	OnlineFailed        OnlineOutcome = "failed"
	// OnlineCut: the stream ended early and no resend brought the whole answer.
	OnlineCut OnlineOutcome = "cut"
	// OnlineWrong: the stream ended whole with another text than the right one.
	OnlineWrong OnlineOutcome = "wrong"
)

// OnlineResult is what one caller saw.
type OnlineResult struct {
	Arrival  OnlineArrival
	Outcome  OnlineOutcome
	Accepted bool
	// Attempts counts requests sent for it; Cuts counts streams that ended early.
	Attempts int
	Cuts     int
	// NotRunAnswers counts answers that said not_run; Sent counts attempts with any other end.
	NotRunAnswers int
	Sent          int
	Text          string
	Detail        string
	PromptTokens  int
	CachedTokens  int
	// RereadDetail says what was wrong when the answer was asked for again.
	RereadDetail string
}

// JobOutcome is how a job ended for its caller.
type JobOutcome struct {
	Arrival  JobArrival
	ID       string
	Accepted bool
	// ResendMismatch is set where a resend gave another job.
	ResendMismatch bool
	Status         string
	Cancelled      bool
	CancelAcked    time.Time
	AcceptedAt     time.Time
	EndedAt        time.Time
	// Results holds the texts read per item, by custom id; an item with an error has its message in Errors.
	Results map[string][]string
	Errors  map[string]string
	Detail  string
	// RereadDetail says what was wrong when the results were read again.
	RereadDetail string
}

// Observations is all that callers saw in one run.
type Observations struct {
	Started time.Time
	Online  []OnlineResult
	Jobs    []JobOutcome
	// FirstToken and InterToken are of completed online requests; the first token is also
	// given for marked requests, which wait for their claim, and the others apart.
	FirstToken         histogram.Distribution
	FirstTokenMarked   histogram.Distribution
	FirstTokenUnmarked histogram.Distribution
	InterToken         histogram.Distribution
}

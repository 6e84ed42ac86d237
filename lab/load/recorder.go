package load

import (
	"time"

	"github.com/sloelift/sloelift/lab/histogram"
)

// OnlineOutcome is the outcome of an online request as its caller saw it.
type OnlineOutcome string

// Outcomes of online requests.
const (
	OnlineCompleted     OnlineOutcome = "completed"
	OnlineRefused       OnlineOutcome = "refused"
	OnlineIndeterminate OnlineOutcome = "indeterminate"
	OnlineFailed        OnlineOutcome = "failed"
	// OnlineCut means that the stream ended early and no retry returned the complete answer.
	OnlineCut OnlineOutcome = "cut"
	// OnlineWrong means that the stream was complete but its text is not the correct answer.
	OnlineWrong OnlineOutcome = "wrong"
)

// OnlineResult is the result of one online request as its caller saw it.
type OnlineResult struct {
	Arrival  OnlineArrival
	Outcome  OnlineOutcome
	Accepted bool
	// Attempts counts the attempts; Cuts counts the streams that ended early.
	Attempts int
	Cuts     int
	// NotRunAnswers counts the responses with outcome not_run; Sent counts the attempts that may have run.
	NotRunAnswers int
	Sent          int
	Text          string
	Detail        string
	PromptTokens  int
	CachedTokens  int
	// RereadDetail describes what was wrong when the answer was requested again, empty if nothing was.
	RereadDetail string
}

// JobOutcome is the outcome of a job as its caller saw it.
type JobOutcome struct {
	Arrival  JobArrival
	ID       string
	Accepted bool
	// ResendMismatch is set if the second submission returned another job.
	ResendMismatch bool
	Status         string
	Cancelled      bool
	CancelAcked    time.Time
	AcceptedAt     time.Time
	EndedAt        time.Time
	// Results holds the result texts by custom id; Errors holds the errors of failed items.
	Results map[string][]string
	Errors  map[string]string
	Detail  string
	// RereadDetail describes what was wrong when the results were read again, empty if nothing was.
	RereadDetail string
}

// Observations holds everything that callers saw in one run.
type Observations struct {
	Started time.Time
	Online  []OnlineResult
	Jobs    []JobOutcome
	// FirstToken and InterToken are the token times of completed online requests. The first-token time
	// is also given separately for marked requests, which wait for their claim, and for the others.
	FirstToken         histogram.Distribution
	FirstTokenMarked   histogram.Distribution
	FirstTokenUnmarked histogram.Distribution
	InterToken         histogram.Distribution
}

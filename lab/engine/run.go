package engine

import "time"

// runState is the state of a run, as the protocol names it.
type runState string

const (
	stateQueued    runState = "queued"
	stateRunning   runState = "running"
	stateFinished  runState = "finished"
	stateCancelled runState = "cancelled"
)

// run is one generation. The engine's mutex guards all fields.
type run struct {
	id       string
	marker   string
	model    string
	adapter  string
	prompt   string
	answer   Answer
	priority int
	batch    bool
	arrival  uint64
	// dispatched is when the engine took the run, or revived it.
	dispatched time.Time
	// lastProgress is the engine's time at the dispatch, then at the last token.
	lastProgress time.Duration
	hasToken     bool
	state        runState
	// startOffset is the token that this run began or was revived with.
	startOffset int
	// produced is the offset behind the last token made.
	produced int
	// prefillLeft counts prompt tokens still to compute before the next answer token.
	prefillLeft  int
	cachedTokens int
	started      bool
	revived      bool
	// decoded and prefilled count what was computed since the log last heard.
	decoded   int
	prefilled int
	// decoding is set for the step being computed: the run makes one token in it.
	decoding bool
	// prefilling is the number of prompt tokens in the step being computed.
	prefilling int
	readers    map[*reader]struct{}
	// expiry ends an unread run or forgets an ended one.
	expiry *time.Timer
}

// reader is one connection that follows a run; wake is signalled after progress.
type reader struct{ wake chan struct{} }

func newReader() *reader { return &reader{wake: make(chan struct{}, 1)} }

func (r *reader) signal() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

func (r *run) ended() bool { return r.state == stateFinished || r.state == stateCancelled }

func (r *run) notify() {
	for reader := range r.readers {
		reader.signal()
	}
}

// text is the prompt with the answer so far, which is what the cache can hold of the run.
func (r *run) text() string { return r.prompt + r.answer.Text(0, r.produced) }

package engine

import "time"

// runState is the state of a run, with the names that the protocol uses.
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
	// dispatched is the time at which the engine accepted or revived the run.
	dispatched time.Time
	// lastProgress is the engine time of the dispatch, later that of the last token.
	lastProgress time.Duration
	hasToken     bool
	state        runState
	// startOffset is the index of the first token since the run was started or revived.
	startOffset int
	// produced is the offset after the last token produced.
	produced int
	// prefillLeft is the number of prompt tokens to compute before the next answer token.
	prefillLeft  int
	cachedTokens int
	started      bool
	revived      bool
	// decoded and prefilled count the tokens computed that are not in the run log yet.
	decoded   int
	prefilled int
	// decoding is set if the run produces a token in the step being computed.
	decoding bool
	// prefilling is the number of prompt tokens in the step being computed.
	prefilling int
	readers    map[*reader]struct{}
	// expiry cancels an unread run or removes an ended one.
	expiry *time.Timer
}

// reader is one connection that follows a run; wake is signaled after progress.
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

// text returns the prompt and the answer so far, which is the text that the cache can hold for the run.
func (r *run) text() string { return r.prompt + r.answer.Text(0, r.produced) }

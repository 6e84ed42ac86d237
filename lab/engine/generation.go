package engine

import (
	"net/http"
	"time"

	modelengine "github.com/sloelift/sloelift/internal/engine"
)

// attach finds the run of a request or starts it, and adds a reader to it.
func (e *Engine) attach(request generationRequest) (*run, *reader, *refusal) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if !e.up {
		return nil, nil, &refusal{status: http.StatusServiceUnavailable, notRun: true, message: "stopped"}
	}
	entry := e.runs[request.id]
	if entry == nil {
		created, refused := e.start(request)
		if refused != nil {
			return nil, nil, refused
		}
		entry = created
	} else if refused := e.revive(entry, request); refused != nil {
		return nil, nil, refused
	}
	if request.offset > entry.answer.Tokens {
		return nil, nil, &refusal{status: http.StatusUnprocessableEntity, message: "offset is behind the answer's end"}
	}
	follower := newReader()
	entry.readers[follower] = struct{}{}
	if !entry.ended() {
		entry.stopExpiry()
	}
	return entry, follower, nil
}

// refuseNew tells why a new run can't be taken; nil where it can.
func (e *Engine) refuseNew() *refusal {
	if e.leaving {
		return &refusal{status: http.StatusServiceUnavailable, notRun: true, message: "leaving"}
	}
	if len(e.scheduler.waiting) >= e.options.MaxWaiting {
		return &refusal{status: http.StatusTooManyRequests, notRun: true, message: "queue is full"}
	}
	return nil
}

func (e *Engine) start(request generationRequest) (*run, *refusal) {
	if request.attachOnly {
		return nil, &refusal{status: http.StatusNotFound, message: "no such run"}
	}
	if refused := e.refuseNew(); refused != nil {
		return nil, refused
	}
	model, adapter, ready := e.resolve(request.body.Model)
	if !ready {
		return nil, &refusal{status: http.StatusNotFound, notRun: true, message: "model is not loaded"}
	}
	e.arrivals++
	entry := &run{
		id:       request.id,
		marker:   Marker(request.prompt),
		model:    model,
		adapter:  adapter,
		prompt:   request.prompt,
		answer:   AnswerTo(request.prompt, request.body.maxTokens()),
		priority: request.priority,
		arrival:  e.arrivals,

		dispatched:   time.Now(),
		lastProgress: e.clock,
		readers:      map[*reader]struct{}{},
	}
	entry.batch = e.isBatch(entry)
	if refused := e.resume(entry, request.body.Resume); refused != nil {
		return nil, refused
	}
	e.runs[request.id] = entry
	if entry.produced >= entry.answer.Tokens {
		entry.state = stateFinished
		e.forgetLater(entry)
		return entry, nil
	}
	e.scheduler.enqueue(entry)
	e.wakeLoop()
	return entry, nil
}

func (e *Engine) isBatch(entry *run) bool {
	if e.options.IsBatch != nil {
		return e.options.IsBatch(entry.marker)
	}
	return entry.priority < OnlineRank
}

// resume lets a new run go on behind the answer so far.
func (e *Engine) resume(entry *run, resume *resumeBody) *refusal {
	if resume == nil || resume.Offset == 0 {
		return nil
	}
	if resume.Offset > entry.answer.Tokens || resume.Offset < 0 {
		return &refusal{status: http.StatusUnprocessableEntity, message: "offset is behind the answer's end"}
	}
	if resume.Text != entry.answer.Text(0, resume.Offset) {
		e.options.Log.resumeMismatch(entry.marker)
	}
	entry.startOffset, entry.produced = resume.Offset, resume.Offset
	return nil
}

// revive lets a cancelled run go on where a request with an answer so far asks for
// it; what the run made before the cancel is not computed again.
func (e *Engine) revive(entry *run, request generationRequest) *refusal {
	if entry.state != stateCancelled || request.body.Resume == nil || request.attachOnly {
		return nil
	}
	if refused := e.refuseNew(); refused != nil {
		return refused
	}
	entry.stopExpiry()
	entry.priority, entry.revived, entry.startOffset = request.priority, true, entry.produced
	entry.dispatched, entry.lastProgress, entry.hasToken = time.Now(), e.clock, false
	e.scheduler.enqueue(entry)
	e.wakeLoop()
	return nil
}

// detach takes a reader away; a run that nobody reads is cancelled after a while.
func (e *Engine) detach(entry *run, follower *reader) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	delete(entry.readers, follower)
	if len(entry.readers) > 0 || entry.ended() || !e.up {
		return
	}
	entry.stopExpiry()
	entry.expiry = time.AfterFunc(e.options.UnreadTimeout, func() {
		e.mutex.Lock()
		defer e.mutex.Unlock()
		if e.runs[entry.id] == entry && len(entry.readers) == 0 {
			e.cancel(entry, time.Now())
		}
	})
}

// progress is what a reader sees of a run at one time.
type progress struct {
	produced int
	state    runState
	usage    modelengine.Usage
}

func (e *Engine) progressOf(entry *run) progress {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return progress{
		produced: entry.produced,
		state:    entry.state,
		usage: modelengine.Usage{
			PromptTokens:     PromptTokens(entry.prompt),
			CompletionTokens: entry.produced,
			CachedTokens:     min(entry.cachedTokens, PromptTokens(entry.prompt)),
		},
	}
}

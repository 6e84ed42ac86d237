package engine

import (
	"net/http"
	"time"

	modelengine "github.com/sloelift/sloelift/internal/engine"
)

// attach finds or starts the run of a request and adds a reader to it.
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

// refuseNew returns the reason why no new run can be accepted, or nil.
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
		e.scheduleRemoval(entry)
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

// resume makes a new run continue after the given part of the answer.
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

// revive continues a cancelled run if the request resumes it; tokens produced before
// the cancel are not computed again.
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

// detach removes a reader; a run without readers is cancelled after UnreadTimeout.
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

// progress is a snapshot of a run for its readers.
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

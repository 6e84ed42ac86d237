package session

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/sloelift/sloelift/internal/admission"
	"github.com/sloelift/sloelift/internal/config"
	"github.com/sloelift/sloelift/internal/engine"
	"github.com/sloelift/sloelift/internal/fleet"
	"github.com/sloelift/sloelift/internal/outcome"
	"github.com/sloelift/sloelift/internal/routing"
)

// fault is the scripted failure of one call to an engine.
type fault struct {
	// open is the kind of error if the call opens no stream; afterStart is set if the run starts
	// nevertheless.
	open       string
	afterStart bool
	// cut is the number of chunks after which the stream breaks; 0 means never.
	cut int
	// crossed makes the stream return a chunk with a wrong offset at the cut; cancelled ends the
	// run there.
	crossed, cancelled bool
	// forget makes the replica lose its runs, as a restart does.
	forget bool
}

const answerTokens = 12

func answerText(from, to int) string {
	var text strings.Builder
	for token := from; token < to; token++ {
		fmt.Fprintf(&text, "t%d ", token)
	}
	return text.String()
}

// fakeFleet is a set of replicas that all return the same answer, with scripted faults.
type fakeFleet struct {
	engine.Client
	mutex    sync.Mutex
	replicas []string
	faults   []fault
	// runs holds the request ids known to each replica; starts counts the runs started.
	runs      map[string]map[string]bool
	starts    int
	cancels   []string
	badResume bool
	// block, if set, blocks streams of r1 until it is closed.
	block chan struct{}
	// hungReplica is a replica that does not answer probes; probes counts the probes of all replicas.
	hungReplica string
	probes      int
}

func newFakeFleet(faults ...fault) *fakeFleet {
	return &fakeFleet{replicas: []string{"r1", "r2", "r3"}, faults: faults, runs: map[string]map[string]bool{}}
}

func (f *fakeFleet) nextFault() fault {
	if len(f.faults) == 0 {
		return fault{}
	}
	next := f.faults[0]
	f.faults = f.faults[1:]
	return next
}

func (f *fakeFleet) Generate(ctx context.Context, to engine.Endpoint, request engine.Request) (engine.Stream, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	var next fault
	// A priorReader's call takes no fault, since its order among the calls is not determined.
	if !request.AttachOnly || request.Offset > 0 {
		next = f.nextFault()
	}
	if next.forget {
		f.runs[to.Replica] = nil
	}
	if next.open != "" && !next.afterStart {
		return nil, openError(next.open)
	}
	if request.AttachOnly && !f.runs[to.Replica][request.ID] {
		return nil, engine.KindNoSuchRun.New("none")
	}
	if !f.runs[to.Replica][request.ID] {
		f.starts++
		if f.runs[to.Replica] == nil {
			f.runs[to.Replica] = map[string]bool{}
		}
		f.runs[to.Replica][request.ID] = true
		f.badResume = f.badResume || request.Prior != answerText(0, request.Offset)
	}
	if next.open != "" {
		return nil, engine.KindLost.New("lost")
	}
	stream := &fakeStream{ctx: ctx, fault: next, offset: request.Offset}
	if to.Replica == "r1" {
		stream.block = f.block
	}
	return stream, nil
}

func openError(kind string) error {
	switch kind {
	case "not_sent":
		return engine.KindNotSent.New("no connection")
	case "refused":
		return engine.KindRefused.New("full")
	case "invalid":
		return engine.KindInvalid.New("bad prompt")
	default:
		return engine.KindLost.New("lost")
	}
}

func (f *fakeFleet) Cancel(_ context.Context, to engine.Endpoint, requestID string) (engine.CancelResult, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.cancels = append(f.cancels, to.Replica+" "+requestID)
	return engine.CancelResult{Found: f.runs[to.Replica][requestID]}, nil
}

func (f *fakeFleet) Load(_ context.Context, to engine.Endpoint) (engine.LoadReport, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.probes++
	if f.hungReplica == to.Replica {
		return engine.LoadReport{}, engine.KindLost.New("no answer")
	}
	return engine.LoadReport{}, nil
}

func (f *fakeFleet) Pick(request routing.Request) (routing.Decision, func(), error) {
	for _, replica := range f.replicas {
		if !request.Exclude[replica] {
			return routing.Decision{Endpoint: engine.Endpoint{Replica: replica}}, func() {}, nil
		}
	}
	return routing.Decision{}, nil, outcome.New(outcome.NotRun, outcome.ReasonUnavailable, "no replica")
}

func (f *fakeFleet) Directory() *fleet.Directory {
	directory := &fleet.Directory{}
	for _, replica := range f.replicas {
		directory.Replicas = append(directory.Replicas, fleet.Replica{ID: replica, Endpoint: engine.Endpoint{Replica: replica}})
	}
	return directory
}

func (f *fakeFleet) Subscribe(func(*fleet.Directory)) func() { return func() {} }
func (f *fakeFleet) ReportFailure(string)                    {}
func (f *fakeFleet) ReportSuccess(string)                    {}
func (f *fakeFleet) ReportLeaving(string)                    {}

func (f *fakeFleet) Admit(context.Context, admission.OnlineRequest) (func(), error) {
	return func() {}, nil
}

type fakeStream struct {
	ctx    context.Context
	fault  fault
	offset int
	sent   int
	done   bool
	block  chan struct{}
}

func (s *fakeStream) Next() (engine.Chunk, error) {
	if s.block != nil {
		select {
		case <-s.block:
		case <-s.ctx.Done():
			return engine.Chunk{}, engine.KindLost.Wrap(s.ctx.Err(), "given up")
		}
	}
	if s.done {
		return engine.Chunk{}, io.EOF
	}
	if s.fault.cut > 0 && s.sent == s.fault.cut {
		switch {
		case s.fault.crossed:
			return engine.Chunk{Offset: s.offset + 1, Tokens: 1, Text: "stray"}, nil
		case s.fault.cancelled:
			return engine.Chunk{Offset: s.offset, FinishReason: finishCancelled}, nil
		}
		return engine.Chunk{}, engine.KindLost.New("cut")
	}
	// Each chunk has two tokens; only the last may have one.
	to := min(s.offset+2, answerTokens)
	chunk := engine.Chunk{Offset: s.offset, Tokens: to - s.offset, Text: answerText(s.offset, to)}
	if to == answerTokens {
		s.done = true
		chunk.FinishReason = "stop"
		chunk.Usage = &engine.Usage{PromptTokens: 1, CompletionTokens: answerTokens}
	}
	s.sent++
	s.offset = to
	return chunk, nil
}

func (s *fakeStream) Close() error { return nil }

// fakeClaimer keeps claims in memory. The responses to the first loseAnswers claims are lost
// after the claim was recorded.
type fakeClaimer struct {
	mutex        sync.Mutex
	claims       map[string]*Claim
	fingerprints map[string]string
	changed      chan struct{}
	loseAnswers  int
	down         bool
}

func newFakeClaimer() *fakeClaimer {
	return &fakeClaimer{claims: map[string]*Claim{}, fingerprints: map[string]string{}, changed: make(chan struct{})}
}

func (c *fakeClaimer) Claim(_ context.Context, tenant, key, fingerprint, requestID, replica string) (Claim, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.down {
		return Claim{}, outcome.New(outcome.NotRun, outcome.ReasonUnavailable, "down")
	}
	name := tenant + "/" + key
	present := c.claims[name]
	if present == nil {
		present = &Claim{RequestID: requestID, Replica: replica}
		c.claims[name], c.fingerprints[name] = present, fingerprint
	}
	if c.fingerprints[name] != fingerprint {
		return Claim{}, outcome.New(outcome.NotRun, outcome.ReasonConflict, "other content")
	}
	if c.loseAnswers > 0 {
		c.loseAnswers--
		return Claim{}, outcome.New(outcome.Indeterminate, outcome.ReasonUnavailable, "answer lost")
	}
	claim := *present
	claim.Granted = !claim.Done && claim.RequestID == requestID
	return claim, nil
}

func (c *fakeClaimer) Complete(_ context.Context, tenant, key string, result Result) (Result, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	present := c.claims[tenant+"/"+key]
	if !present.Done {
		present.Done, present.Result = true, result
		close(c.changed)
		c.changed = make(chan struct{})
	}
	return present.Result, nil
}

func (c *fakeClaimer) Await(ctx context.Context, tenant, key string) (Claim, error) {
	for {
		c.mutex.Lock()
		claim, changed := *c.claims[tenant+"/"+key], c.changed
		c.mutex.Unlock()
		if claim.Done {
			return claim, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return Claim{}, ctx.Err()
		}
	}
}

func newTestRunner(fakes *fakeFleet, claimer Claimer) *EngineRunner {
	return NewEngineRunner(Dependencies{
		Limiter: fakes, Router: fakes, Client: fakes, Fleet: fakes, Reporter: fakes, Claimer: claimer,
		Registerer: prometheus.NewRegistry(), Logger: zerolog.Nop(),
	})
}

func testRequest(id string) Request {
	return Request{
		ID: id, Tenant: &config.Tenant{Name: "registry"}, Priority: &config.Priority{Name: "counter", Rank: 100, Online: true},
		Service:   &config.Service{Name: "registry-assist", RetryBudgetPercent: 10},
		Operation: engine.OperationChat, Prompt: "Is it spelled so?", Deadline: time.Now().Add(time.Minute),
	}
}

// received collects the answer of a caller and detects tokens out of order.
type received struct {
	text       string
	finish     string
	next       int
	outOfOrder bool
}

func (r *received) sink(chunk Chunk) error {
	r.outOfOrder = r.outOfOrder || chunk.Offset != r.next || r.finish != ""
	r.next += chunk.Tokens
	r.text += chunk.Text
	r.finish = chunk.FinishReason
	return nil
}

func (r *received) complete() bool {
	return !r.outOfOrder && r.finish == "stop" && r.text == answerText(0, answerTokens)
}

func outcomeOf(err error) outcome.Outcome { return outcome.Of(err) }

func contains(list []string, item string) bool { return slices.Contains(list, item) }

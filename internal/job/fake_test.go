package job

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"github.com/sloelift/sloelift/internal/admission"
	"github.com/sloelift/sloelift/internal/config"
	"github.com/sloelift/sloelift/internal/engine"
	"github.com/sloelift/sloelift/internal/ledger"
	"github.com/sloelift/sloelift/internal/ledger/ledgertest"
	"github.com/sloelift/sloelift/internal/outcome"
	"github.com/sloelift/sloelift/internal/routing"
	"github.com/sloelift/sloelift/internal/settings"
	"github.com/sloelift/sloelift/internal/transport"
)

const testPartitions = 2

// testCluster runs several nodes of this package in one process. Each partition is served
// by the node in owners; its log is kept when the owner changes.
type testCluster struct {
	test    testing.TB
	engine  *fakeEngine
	credits *fakeCredits
	logs    []*ledgertest.Log
	nodes   []*testNode
	mutex   sync.Mutex
	owners  map[ledger.PartitionID]int
	// paused is the number of the node that answers no calls, -1 for none.
	paused   int
	machines map[ledger.PartitionID]ledger.StateMachine
}

// testNode is one node. It also implements ledger.Locator, transport.Caller and
// transport.Registrar for itself.
type testNode struct {
	cluster    *testCluster
	number     int
	dispatcher *dispatcher
	partitions *registry
	handlers   map[transport.Method]testHandler
	service    *service
	files      *fileStore
	claimer    *claimer
}

type testHandler struct {
	newRequest func() proto.Message
	serve      transport.Handler
}

func newTestCluster(test testing.TB, nodes int) *testCluster {
	cluster := &testCluster{
		test: test, engine: newFakeEngine(), credits: &fakeCredits{replicas: 3, limit: 64},
		owners: make(map[ledger.PartitionID]int), paused: -1, machines: make(map[ledger.PartitionID]ledger.StateMachine),
	}
	for number := range nodes {
		node := &testNode{cluster: cluster, number: number, handlers: make(map[transport.Method]testHandler)}
		node.dispatcher = newDispatcher(dispatcherParams{
			Settings: settings.Settings{Limits: settings.Limits{BatchConcurrency: 64}},
			Credits:  cluster.credits, Engines: cluster.engine,
			Reporter: fakeReporter{}, Models: fakeConfig{}, Metrics: newMetrics(prometheus.NewRegistry()), Logger: zerolog.Nop(),
		})
		node.partitions = newRegistry(node.dispatcher, zerolog.Nop())
		registerMethods(node, node.partitions)
		nodeForwarder := newForwarder(node.partitions, node, node)
		node.service, node.files, node.claimer =
			&service{nodeForwarder, fakeConfig{}}, &fileStore{nodeForwarder}, &claimer{nodeForwarder}
		node.dispatcher.start()
		cluster.nodes = append(cluster.nodes, node)
	}
	for partition := range ledger.PartitionID(testPartitions) {
		cluster.logs = append(cluster.logs, ledgertest.NewLog(partition))
		cluster.assign(partition, int(partition)%nodes)
	}
	return cluster
}

// assign makes a node the owner of a partition, as in a takeover, and then stops the
// previous owner.
func (c *testCluster) assign(partition ledger.PartitionID, number int) {
	c.mutex.Lock()
	previous := c.machines[partition]
	c.mutex.Unlock()
	machine := c.nodes[number].partitions.factory(partition)
	if _, err := c.logs[partition].Start(machine); err != nil {
		c.test.Fatal(err)
	}
	if previous != nil {
		previous.Stop()
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.owners[partition], c.machines[partition] = number, machine
}

func (c *testCluster) stop() {
	for _, node := range c.nodes {
		node.partitions.stop()
		node.dispatcher.stop()
	}
}

func (n *testNode) Handle(method transport.Method, newRequest func() proto.Message, handler transport.Handler) {
	n.handlers[method] = testHandler{newRequest, handler}
}

func (n *testNode) Partitions() int { return testPartitions }

func (n *testNode) PartitionOf(key string) ledger.PartitionID {
	sum := fnv.New32a()
	_, _ = io.WriteString(sum, key)
	return ledger.PartitionID(sum.Sum32() % testPartitions)
}

func (n *testNode) Owner(partition ledger.PartitionID) (string, bool) {
	n.cluster.mutex.Lock()
	defer n.cluster.mutex.Unlock()
	return fmt.Sprintf("127.0.0.1:%d", n.cluster.owners[partition]+1), true
}

// Call has the addressed node serve the request. Messages are encoded and decoded as on the
// wire.
func (n *testNode) Call(
	ctx context.Context, address netip.AddrPort, method transport.Method, request, response proto.Message,
) error {
	n.cluster.mutex.Lock()
	paused := n.cluster.paused == int(address.Port())-1
	n.cluster.mutex.Unlock()
	if paused {
		<-ctx.Done()
		return transport.KindNoAnswer.Wrap(ctx.Err(), "no answer")
	}
	handler := n.cluster.nodes[address.Port()-1].handlers[method]
	received := handler.newRequest()
	encoded, err := proto.Marshal(request)
	if err != nil {
		return err
	}
	if err := proto.Unmarshal(encoded, received); err != nil {
		return err
	}
	answer, err := handler.serve(ctx, netip.AddrPort{}, received)
	if err != nil {
		failure := outcome.As(err)
		return &transport.RemoteError{
			Outcome: string(failure.Outcome), Reason: string(failure.Reason),
			Message: failure.Message, RetryAfter: failure.RetryAfter,
		}
	}
	encoded, err = proto.Marshal(answer)
	if err != nil {
		return err
	}
	return proto.Unmarshal(encoded, response)
}

func (n *testNode) Send(netip.AddrPort, transport.Method, proto.Message) error { return nil }

type fakeReporter struct{}

func (fakeReporter) ReportFailure(string) {}
func (fakeReporter) ReportSuccess(string) {}
func (fakeReporter) ReportLeaving(string) {}

type fakeConfig struct{}

func (fakeConfig) Current() *config.Snapshot {
	return &config.Snapshot{Services: map[string]*config.Service{"assist": {Name: "assist", Models: []string{"small"}}}}
}
func (fakeConfig) Subscribe(func(*config.Snapshot)) func() { return func() {} }

// fakeCredits grants up to limit credits, round-robin over its replicas.
type fakeCredits struct {
	replicas int
	limit    int
	mutex    sync.Mutex
	held     map[int]chan struct{}
	next     int
	changed  chan struct{}
}

func (c *fakeCredits) Acquire(ctx context.Context, request admission.BatchRequest) (*admission.Credit, error) {
	for {
		c.mutex.Lock()
		if c.held == nil {
			c.held, c.changed = make(map[int]chan struct{}), make(chan struct{})
		}
		if len(c.held) < c.limit {
			defer c.mutex.Unlock()
			return c.grant(request), nil
		}
		changed := c.changed
		c.mutex.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// grant grants a credit. The caller holds the mutex.
func (c *fakeCredits) grant(request admission.BatchRequest) *admission.Credit {
	c.next++
	number, revoked := c.next, make(chan struct{})
	c.held[number] = revoked
	replica := number % c.replicas
	if request.Routing.Exclude[fmt.Sprintf("replica-%d", replica)] {
		replica = (replica + 1) % c.replicas
	}
	endpoint := engine.Endpoint{
		Replica: fmt.Sprintf("replica-%d", replica),
		Address: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(replica+1)),
	}
	return &admission.Credit{
		Decision: routing.Decision{Endpoint: endpoint}, Revoked: revoked,
		Release: func() {
			c.mutex.Lock()
			defer c.mutex.Unlock()
			delete(c.held, number)
			close(c.changed)
			c.changed = make(chan struct{})
		},
	}
}

// revokeAll revokes all granted credits.
func (c *fakeCredits) revokeAll() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for number, revoked := range c.held {
		if revoked != nil {
			close(revoked)
		}
		c.held[number] = nil
	}
}

// setLimit changes the number of credits.
func (c *fakeCredits) setLimit(limit int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.limit = limit
	if c.changed != nil {
		close(c.changed)
		c.changed = make(chan struct{})
	}
}

// answerTokens is the number of tokens of each answer of the fake engine.
const answerTokens = 4

// fakeEngine answers each prompt with answerTokens tokens. The hooks, set before use, may
// block or fail a call or a token.
type fakeEngine struct {
	onCall  func(ctx context.Context, endpoint engine.Endpoint, request engine.Request) error
	onToken func(ctx context.Context, endpoint engine.Endpoint, request engine.Request, token int) error

	mutex   sync.Mutex
	runs    map[string]map[string]bool // replica, then request id
	started map[string]int             // runs by item, that is, the request id without the run's suffix
	cancels int
	lastAt  time.Time
}

func newFakeEngine() *fakeEngine {
	return &fakeEngine{runs: make(map[string]map[string]bool), started: make(map[string]int)}
}

func itemOfRequest(requestID string) string {
	parts := strings.SplitN(requestID, ":", 3)
	return strings.Join(parts[:min(2, len(parts))], ":")
}

func (e *fakeEngine) Generate(ctx context.Context, endpoint engine.Endpoint, request engine.Request) (engine.Stream, error) {
	if err := ctx.Err(); err != nil {
		return nil, engine.KindNotSent.Wrap(err, "not sent")
	}
	if e.onCall != nil {
		if err := e.onCall(ctx, endpoint, request); err != nil {
			return nil, err
		}
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.runs[endpoint.Replica] == nil {
		e.runs[endpoint.Replica] = make(map[string]bool)
	}
	if !e.runs[endpoint.Replica][request.ID] {
		if request.AttachOnly {
			return nil, engine.KindNoSuchRun.New("no run %s", request.ID)
		}
		e.runs[endpoint.Replica][request.ID] = true
		e.started[itemOfRequest(request.ID)]++
	}
	e.lastAt = time.Now()
	return &fakeStream{engine: e, ctx: ctx, endpoint: endpoint, request: request, token: request.Offset}, nil
}

func (e *fakeEngine) Cancel(_ context.Context, endpoint engine.Endpoint, id string) (engine.CancelResult, error) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.cancels++
	return engine.CancelResult{Found: e.runs[endpoint.Replica][id]}, nil
}

// forgetRuns drops all runs, as a restart of all engines does.
func (e *fakeEngine) forgetRuns() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	clear(e.runs)
}

func (e *fakeEngine) starts() (total, maxPerItem int) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	for _, count := range e.started {
		total += count
		maxPerItem = max(maxPerItem, count)
	}
	return total, maxPerItem
}

var errUnused = errors.New("unused")

func (e *fakeEngine) Load(context.Context, engine.Endpoint) (engine.LoadReport, error) {
	return engine.LoadReport{}, errUnused
}
func (e *fakeEngine) CacheEvents(context.Context, engine.Endpoint, uint64) (engine.CacheEvents, error) {
	return engine.CacheEvents{}, errUnused
}
func (e *fakeEngine) Order(context.Context, engine.Endpoint, engine.Order) error { return errUnused }
func (e *fakeEngine) ExportCache(context.Context, engine.Endpoint, string) ([]byte, error) {
	return nil, errUnused
}
func (e *fakeEngine) ImportCache(context.Context, engine.Endpoint, []byte) error { return errUnused }

type fakeStream struct {
	engine   *fakeEngine
	ctx      context.Context
	endpoint engine.Endpoint
	request  engine.Request
	token    int
	ended    bool
}

func (s *fakeStream) Next() (engine.Chunk, error) {
	if s.ended {
		return engine.Chunk{}, io.EOF
	}
	if s.engine.onToken != nil {
		if err := s.engine.onToken(s.ctx, s.endpoint, s.request, s.token); err != nil {
			return engine.Chunk{}, err
		}
	}
	if s.ctx.Err() != nil {
		return engine.Chunk{}, engine.KindLost.Wrap(s.ctx.Err(), "cut")
	}
	if s.token >= answerTokens {
		s.ended = true
		return engine.Chunk{
			Offset: s.token, FinishReason: "stop",
			Usage: &engine.Usage{PromptTokens: 3, CompletionTokens: answerTokens},
		}, nil
	}
	chunk := engine.Chunk{Offset: s.token, Tokens: 1, Text: fmt.Sprintf("t%d ", s.token)}
	s.token++
	return chunk, nil
}

func (s *fakeStream) Close() error { return nil }

// blockUntilDone blocks until ctx ends, for hooks that stall a stream.
func blockUntilDone(ctx context.Context) error {
	<-ctx.Done()
	return engine.KindLost.Wrap(ctx.Err(), "cut")
}

package admission

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/sloelift/sloelift/internal/engine"
	"github.com/sloelift/sloelift/internal/fleet"
	"github.com/sloelift/sloelift/internal/membership"
	"github.com/sloelift/sloelift/internal/platform"
	"github.com/sloelift/sloelift/internal/routing"
	"github.com/sloelift/sloelift/internal/settings"
	"github.com/sloelift/sloelift/internal/transport/memory"
)

// Parameters of the simulated fleet: twelve engines in three zones, with two nodes in each zone.
const (
	simulatedReplicas = 12
	simulatedZones    = 3
	simulatedSlots    = 16
	simulatedLag      = 100 * time.Millisecond
	stepBase          = 3400 * time.Microsecond
	stepPerSequence   = 60 * time.Microsecond
	stepPerPrefill    = 6 * time.Microsecond
	prefillChunk      = 512
	blockTokens       = engine.PrefixBlockBytes / 4
)

// simulation runs the real directories, routers and credit services with simulated engines.
type simulation struct {
	cluster
	policy routing.Policy
	// itemsPerJob is the number of items in a batch job: 40 as in current jobs, or more to fill
	// the fleet.
	itemsPerJob int
	engines     map[string]*simulatedEngine
	result      simulationResult
}

type simulationResult struct {
	mutex         sync.Mutex
	firstToken    []time.Duration
	betweenTokens []time.Duration
	onlineCached  int
	onlineBlocks  int
	batchCached   int
	batchBlocks   int
	items         int
	lastItemDone  time.Duration
	revoked       int
}

func percentile(values []time.Duration, share float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[min(len(values)-1, int(float64(len(values))*share))]
}

func (r *simulationResult) String() string {
	return fmt.Sprintf("first token p50 %s p99 %s, between p99 %s, online cached %.3f, batch cached %.3f, items %d in %s, revoked %d",
		percentile(r.firstToken, 0.5).Round(10*time.Microsecond), percentile(r.firstToken, 0.99).Round(10*time.Microsecond),
		percentile(r.betweenTokens, 0.99).Round(10*time.Microsecond), float64(r.onlineCached)/float64(max(1, r.onlineBlocks)),
		float64(r.batchCached)/float64(max(1, r.batchBlocks)), r.items, r.lastItemDone.Round(time.Millisecond), r.revoked)
}

func (s *simulation) List(context.Context) (platform.MachineListing, error) {
	listing := platform.MachineListing{Version: 1}
	for index := range simulatedReplicas {
		listing.Machines = append(listing.Machines, platform.Machine{
			ID: fmt.Sprint("r", index), Role: platform.RoleReplica, Zone: fmt.Sprint("z", index%simulatedZones), Service: "chat",
			State: platform.MachineLive, Address: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(index+100)),
		})
	}
	return listing, nil
}

func (s *simulation) Load(_ context.Context, to engine.Endpoint) (engine.LoadReport, error) {
	return s.engines[to.Replica].report(), nil
}

func newSimulation(t *testing.T, policy routing.Policy, routingOptions routing.Options, options Options) *simulation {
	s := &simulation{policy: policy, itemsPerJob: *simulationItems, engines: make(map[string]*simulatedEngine)}
	s.t, s.network, s.view = t, memory.NewNetwork(1), &membership.View{}
	s.network.SetConditions(func(netip.AddrPort, netip.AddrPort) memory.Conditions {
		return memory.Conditions{Delay: clusterDelay}
	})
	for index := range simulatedReplicas {
		id := fmt.Sprint("r", index)
		s.engines[id] = &simulatedEngine{id: id, wake: make(chan struct{}, 1), cache: make(map[uint64]bool)}
	}
	for index := range 2 * simulatedZones {
		s.view.Members = append(s.view.Members, membership.Member{
			ID: membership.NodeID(fmt.Sprint("n", index)), Zone: fmt.Sprint("z", index%simulatedZones),
			PeerAddress: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(index+1)),
		})
	}
	options.Policy, routingOptions.Policy = policy, policy
	for _, member := range s.view.Members {
		s.nodes = append(s.nodes, s.newNode(member, routingOptions, options))
	}
	return s
}

func (s *simulation) newNode(member membership.Member, routingOptions routing.Options, options Options) *clusterNode {
	registry := prometheus.NewRegistry()
	nodeTransport, err := memory.NewTransport(s.network, member.PeerAddress, registry)
	if err != nil {
		s.t.Fatal(err)
	}
	nodeSettings := settings.Settings{Node: string(member.ID), Zone: member.Zone, PeerAddress: member.PeerAddress}
	node := &clusterNode{cluster: &s.cluster, id: string(member.ID), transport: nodeTransport}
	node.fleet = fleet.NewService(fleet.DefaultOptions(), nodeSettings, s, &s.cluster, s, nodeTransport, zerolog.Nop())
	node.fleet.Register(nodeTransport)
	node.router = routing.New(routingOptions, node.fleet, "", member.Zone, registry)
	node.credits = NewCreditService(options, nodeSettings, node.fleet, node.router, &s.cluster,
		clusterConfig{*simulationBatch}, nodeTransport, registry, zerolog.Nop())
	node.credits.Register(nodeTransport)
	node.router.ObserveOnline(node.credits.onlineStarted)
	return node
}

// run simulates arrivals for the given duration: online requests at a base rate with bursts, and
// groups of batch jobs.
func (s *simulation) run(seed uint64, duration time.Duration) {
	ctx, cancel := context.WithCancel(context.Background())
	for _, simulated := range s.engines {
		go simulated.loop(ctx)
		go simulated.sampleReports(ctx)
	}
	time.Sleep(time.Millisecond)
	for _, node := range s.nodes {
		node.transport.Start()
		node.fleet.Start()
		node.credits.Start()
	}
	time.Sleep(time.Second)
	var work sync.WaitGroup
	work.Go(func() { s.sendOnlineRequests(seed, duration, &work) })
	if s.policy != routing.PolicyOnlineOnly {
		work.Go(func() { s.submitBatchJobs(seed, duration, &work) })
	}
	work.Wait()
	cancel()
	s.stop()
}

func (s *simulation) sendOnlineRequests(seed uint64, duration time.Duration, work *sync.WaitGroup) {
	random := rand.New(rand.NewPCG(seed, 1))
	for start := time.Now(); time.Since(start) < duration; {
		rate := 30.0
		if time.Since(start)%(4*time.Second) > 3*time.Second {
			rate = 150
		}
		time.Sleep(time.Duration(random.ExpFloat64() / rate / *simulationRate * float64(time.Second)))
		prefix := uint64(min(random.IntN(24), random.IntN(24)))
		run := &simulatedRun{prefillLeft: 300, tokensLeft: 24 + random.IntN(25), blocks: sharedBlocks(1000+prefix, 16, random.Uint64(), 2)}
		node := s.nodes[random.IntN(len(s.nodes))]
		work.Go(func() { s.serveOnline(node, run) })
	}
}

// sharedBlocks returns the block hashes of a prompt: a shared prefix, then blocks of its own.
func sharedBlocks(prefix uint64, shared int, ownFirst uint64, ownCount int) []uint64 {
	var blocks []uint64
	for index := range shared {
		blocks = append(blocks, prefix<<8+uint64(index))
	}
	for index := range ownCount {
		blocks = append(blocks, ownFirst+uint64(index))
	}
	return blocks
}

func (s *simulation) serveOnline(node *clusterNode, run *simulatedRun) {
	started := time.Now()
	decision, done, err := node.router.Pick(routing.Request{Service: "chat", PrefixBlocks: run.blocks})
	if err != nil {
		s.t.Error(err)
		return
	}
	defer done()
	if decision.Zone == nodeZone(s, node) {
		time.Sleep(100 * time.Microsecond)
	} else {
		time.Sleep(clusterDelay)
	}
	s.engines[decision.Endpoint.Replica].start(run)
	var times []time.Time
	for tokenAt := range run.tokens {
		times = append(times, tokenAt)
	}
	s.result.mutex.Lock()
	defer s.result.mutex.Unlock()
	s.result.firstToken = append(s.result.firstToken, times[0].Sub(started))
	for index := 1; index < len(times); index++ {
		s.result.betweenTokens = append(s.result.betweenTokens, times[index].Sub(times[index-1]))
	}
	s.result.onlineCached += run.cachedBlocks
	s.result.onlineBlocks += len(run.blocks)
}

func nodeZone(s *simulation, node *clusterNode) string {
	member, _ := s.view.Find(membership.NodeID(node.id))
	return member.Zone
}

func (s *simulation) submitBatchJobs(seed uint64, duration time.Duration, work *sync.WaitGroup) {
	random := rand.New(rand.NewPCG(seed, 2))
	time.Sleep(time.Second)
	job := uint64(0)
	for start := time.Now(); time.Since(start) < duration-2*time.Second; time.Sleep(8 * time.Second) {
		for range 6 {
			job++
			node := s.nodes[random.IntN(len(s.nodes))]
			submittedAt := time.Now()
			deadline := submittedAt.Add(4 * time.Hour)
			waiting := make(chan struct{}, 64) // the number of items that a node lets wait
			items := s.itemsPerJob
			prefix := job
			work.Go(func() {
				time.Sleep(time.Duration(prefix%6) * 30 * time.Millisecond)
				for range items {
					waiting <- struct{}{}
					tokens, own := 48+rand.IntN(49), rand.Uint64()
					work.Go(func() {
						s.runBatchItem(node, prefix, own, tokens, deadline)
						<-waiting
						s.result.mutex.Lock()
						s.result.items++
						s.result.lastItemDone = max(s.result.lastItemDone, time.Since(submittedAt))
						s.result.mutex.Unlock()
					})
				}
			})
		}
	}
}

// runBatchItem runs one batch item to its end. After each revocation it acquires a new credit for
// the remaining tokens.
func (s *simulation) runBatchItem(node *clusterNode, prefix, own uint64, tokens int, deadline time.Time) {
	for tokens > 0 {
		run := &simulatedRun{batch: true, prefillLeft: 512, tokensLeft: tokens, blocks: sharedBlocks(1<<20+prefix, 16, own, 16)}
		request := BatchRequest{Tenant: "office", Rank: 100, Deadline: deadline}
		request.Routing = routing.Request{Service: "chat", PrefixBlocks: run.blocks}
		credit, err := node.credits.Acquire(context.Background(), request)
		if err != nil {
			s.t.Error(err)
			return
		}
		replica := s.engines[credit.Decision.Endpoint.Replica]
		replica.start(run)
		tokens = s.awaitItem(replica, run, credit)
		credit.Release()
		s.result.mutex.Lock()
		s.result.batchCached += run.cachedBlocks
		s.result.batchBlocks += len(run.blocks)
		s.result.mutex.Unlock()
	}
}

// awaitItem waits until the run ends or its credit is revoked, and returns the number of output
// tokens still missing.
func (s *simulation) awaitItem(replica *simulatedEngine, run *simulatedRun, credit *Credit) int {
	for {
		select {
		case _, more := <-run.tokens:
			if !more {
				return 0
			}
		case <-credit.Revoked:
			s.result.mutex.Lock()
			s.result.revoked++
			s.result.mutex.Unlock()
			return replica.cancel(run)
		}
	}
}

var simulationItems = flag.Int("simulation.items", 40, "items of each batch job in the policy simulation")

var simulationRate = flag.Float64("simulation.rate", 1, "multiplies the online arrivals of the policy simulation")

var simulationBatch = flag.Int("simulation.batch", 12, "batchConcurrentPerReplica of the policy simulation")

var simulationTerms = flag.Bool("simulation.terms", false, "also simulate with each term switched off")

var simulationSeeds = flag.Int("simulation.seeds", 1, "seeds of the policy simulation")

// simulate runs the simulation for one policy in virtual time.
func simulate(t *testing.T, policy routing.Policy, seed uint64, change func(*routing.Options, *Options)) *simulationResult {
	var result *simulationResult
	synctest.Test(t, func(t *testing.T) {
		routingOptions, options := routing.DefaultOptions(), DefaultOptions()
		if change != nil {
			change(&routingOptions, &options)
		}
		s := newSimulation(t, policy, routingOptions, options)
		s.run(seed, 18*time.Second)
		result = &s.result
	})
	return result
}

// TestPoliciesInSimulation compares policies on the same arrivals. Virtual time keeps the load of
// the machine out of the results; -v prints them. The order in which goroutines run still
// differs between runs, and the bounds allow for that.
func TestPoliciesInSimulation(t *testing.T) {
	for seed := range uint64(*simulationSeeds) {
		baseline := simulate(t, routing.PolicyOnlineOnly, seed+1, nil)
		t.Logf("seed %d online-only %s", seed+1, baseline)
		credits := simulate(t, routing.PolicySloelift, seed+1, nil)
		first, between := credits.latencyRatios(baseline)
		t.Logf("seed %d sloelift %s p99 ratios: first token %.3f, between tokens %.3f", seed+1, credits, first, between)
		fifo := simulate(t, routing.PolicyFIFO, seed+1, nil)
		fifoFirst, fifoBetween := fifo.latencyRatios(baseline)
		t.Logf("seed %d fifo %s p99 ratios: first token %.3f, between tokens %.3f", seed+1, fifo, fifoFirst, fifoBetween)
		if first > 1.3 || between > 1.15 {
			t.Errorf("online p99 relative to online-only: first token %.3f, between tokens %.3f", first, between)
		}
		if credits.items != fifo.items || credits.items == 0 {
			t.Errorf("%d batch items completed, fifo %d", credits.items, fifo.items)
		}
		if credits.batchCachedShare() < fifo.batchCachedShare() {
			t.Errorf("cached share of batch prompts %.3f, fifo %.3f", credits.batchCachedShare(), fifo.batchCachedShare())
		}
	}
}

// batchCachedShare returns the share of batch prompt blocks that were cached.
func (r *simulationResult) batchCachedShare() float64 {
	return float64(r.batchCached) / float64(max(1, r.batchBlocks))
}

// latencyRatios returns the online p99 latencies to and between tokens, relative to a baseline
// without batch.
func (r *simulationResult) latencyRatios(baseline *simulationResult) (first, between float64) {
	first = float64(percentile(r.firstToken, 0.99)) / float64(percentile(baseline.firstToken, 0.99))
	between = float64(percentile(r.betweenTokens, 0.99)) / float64(percentile(baseline.betweenTokens, 0.99))
	return first, between
}

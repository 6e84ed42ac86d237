package admission

import (
	"cmp"
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

// Numbers of the simulated fleet: twelve engines in three zones, two nodes in each.
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

// simulatedRun is one request on a simulatedEngine.
type simulatedRun struct {
	batch       bool
	blocks      []uint64
	prefillLeft int
	tokensLeft  int
	decoded     bool
	cached      int
	// tokens gets the time of each token and is closed at the end.
	tokens chan time.Time
}

// simulatedEngine batches continuously, online first, with a prefix cache.
type simulatedEngine struct {
	id string
	// mutex guards all below.
	mutex    sync.Mutex
	wake     chan struct{}
	running  []*simulatedRun
	waiting  []*simulatedRun
	cache    map[uint64]bool
	reports  []engine.LoadReport
	lastStep time.Duration
}

func (e *simulatedEngine) start(run *simulatedRun) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	run.tokens = make(chan time.Time, run.tokensLeft+1)
	e.waiting = append(e.waiting, run)
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// cancel takes a run out and returns how many tokens it still lacked.
func (e *simulatedEngine) cancel(run *simulatedRun) int {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	same := func(other *simulatedRun) bool { return other == run }
	e.running, e.waiting = slices.DeleteFunc(e.running, same), slices.DeleteFunc(e.waiting, same)
	return run.tokensLeft
}

func (e *simulatedEngine) loop(ctx context.Context) {
	for ctx.Err() == nil {
		step := e.plan()
		if step == 0 {
			select {
			case <-e.wake:
			case <-ctx.Done():
			}
			continue
		}
		time.Sleep(step)
		e.complete(time.Now())
	}
}

func (e *simulatedEngine) plan() time.Duration {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	online := func(a, b *simulatedRun) int { return cmp.Compare(kindOrder(a), kindOrder(b)) }
	slices.SortStableFunc(e.waiting, online)
	for len(e.running) < simulatedSlots && len(e.waiting) > 0 {
		run := e.waiting[0]
		e.waiting = e.waiting[1:]
		for run.cached < len(run.blocks) && e.cache[run.blocks[run.cached]] {
			run.cached++
		}
		run.prefillLeft -= run.cached * blockTokens
		e.running = append(e.running, run)
	}
	slices.SortStableFunc(e.running, online)
	if len(e.running) == 0 {
		return 0
	}
	budget, decoding := prefillChunk, 0
	for _, run := range e.running {
		used := min(run.prefillLeft, budget)
		budget -= used
		run.prefillLeft -= used
		if run.decoded = run.prefillLeft == 0; run.decoded {
			decoding++
		}
	}
	e.lastStep = stepBase + time.Duration(decoding)*stepPerSequence + time.Duration(prefillChunk-budget)*stepPerPrefill
	return e.lastStep
}

func kindOrder(run *simulatedRun) int {
	if run.batch {
		return 1
	}
	return 0
}

func (e *simulatedEngine) complete(now time.Time) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.running = slices.DeleteFunc(e.running, func(run *simulatedRun) bool {
		if !run.decoded {
			return false
		}
		for _, block := range run.blocks {
			e.cache[block] = true
		}
		run.tokens <- now
		run.tokensLeft--
		if run.tokensLeft > 0 {
			return false
		}
		close(run.tokens)
		return true
	})
}

// sample takes a load report; report gives one of simulatedLag ago.
func (e *simulatedEngine) sample(ctx context.Context) {
	for sequence := uint64(1); ctx.Err() == nil; sequence++ {
		e.mutex.Lock()
		report := engine.LoadReport{
			Sequence: sequence, MeasuredAt: time.Now(), MaxRunning: simulatedSlots,
			Running: len(e.running), Waiting: len(e.waiting), StepMicros: e.lastStep.Microseconds(),
		}
		for _, run := range e.running {
			report.QueuedPrefill += run.prefillLeft
			report.RunningBatch += kindOrder(run)
		}
		for _, run := range e.waiting {
			report.WaitingBatch += kindOrder(run)
		}
		e.reports = append(e.reports, report)
		e.mutex.Unlock()
		select {
		case <-time.After(20 * time.Millisecond):
		case <-ctx.Done():
		}
	}
}

func (e *simulatedEngine) report() engine.LoadReport {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	for len(e.reports) > 1 && time.Since(e.reports[1].MeasuredAt) >= simulatedLag {
		e.reports = e.reports[1:]
	}
	return e.reports[0]
}

// simulation runs real directories, routers and credits before simulated engines.
type simulation struct {
	cluster
	policy routing.Policy
	// itemsPerJob is 40 as today, or more to fill the fleet.
	itemsPerJob int
	engines     map[string]*simulatedEngine
	result      simulationResult
}

type simulationResult struct {
	mutex        sync.Mutex
	firstToken   []time.Duration
	betweenToken []time.Duration
	onlineCached int
	onlineBlocks int
	batchCached  int
	batchBlocks  int
	items        int
	itemsDone    time.Duration
	tokens       int
	revoked      int
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
		percentile(r.betweenToken, 0.99).Round(10*time.Microsecond), float64(r.onlineCached)/float64(max(1, r.onlineBlocks)),
		float64(r.batchCached)/float64(max(1, r.batchBlocks)), r.items, r.itemsDone.Round(time.Millisecond), r.revoked)
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
	end, err := memory.NewTransport(s.network, member.PeerAddress, registry)
	if err != nil {
		s.t.Fatal(err)
	}
	own := settings.Settings{Node: string(member.ID), Zone: member.Zone, PeerAddress: member.PeerAddress}
	node := &clusterNode{cluster: &s.cluster, id: string(member.ID), transport: end}
	node.fleet = fleet.NewService(fleet.DefaultOptions(), own, s, &s.cluster, s, end, zerolog.Nop())
	node.fleet.Register(end)
	node.router = routing.New(routingOptions, node.fleet, "", member.Zone, registry)
	node.credits = NewCreditService(options, own, node.fleet, node.router, &s.cluster, clusterConfig{12}, end, registry, zerolog.Nop())
	node.credits.Register(end)
	node.router.ObserveOnline(node.credits.onlineStarted)
	return node
}

// run plays seconds of arrivals: online at a base rate with bursts, and heaps of batch jobs.
func (s *simulation) run(seed uint64, duration time.Duration) {
	ctx, cancel := context.WithCancel(context.Background())
	for _, one := range s.engines {
		go one.loop(ctx)
		go one.sample(ctx)
	}
	time.Sleep(time.Millisecond)
	for _, node := range s.nodes {
		node.transport.Start()
		node.fleet.Start()
		node.credits.Start()
	}
	time.Sleep(time.Second)
	var work sync.WaitGroup
	work.Go(func() { s.online(seed, duration, &work) })
	if s.policy != routing.PolicyOnlineOnly {
		work.Go(func() { s.heaps(seed, duration, &work) })
	}
	work.Wait()
	cancel()
	s.stop()
}

func (s *simulation) online(seed uint64, duration time.Duration, work *sync.WaitGroup) {
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
		work.Go(func() { s.serve(node, run) })
	}
}

// sharedBlocks returns the block hashes of a prompt with a shared beginning.
func sharedBlocks(prefix uint64, shared int, own uint64, more int) []uint64 {
	var blocks []uint64
	for index := range shared {
		blocks = append(blocks, prefix<<8+uint64(index))
	}
	for index := range more {
		blocks = append(blocks, own+uint64(index))
	}
	return blocks
}

func (s *simulation) serve(node *clusterNode, run *simulatedRun) {
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
	for at := range run.tokens {
		times = append(times, at)
	}
	s.result.mutex.Lock()
	defer s.result.mutex.Unlock()
	s.result.firstToken = append(s.result.firstToken, times[0].Sub(started))
	for index := 1; index < len(times); index++ {
		s.result.betweenToken = append(s.result.betweenToken, times[index].Sub(times[index-1]))
	}
	s.result.onlineCached += run.cached
	s.result.onlineBlocks += len(run.blocks)
}

func nodeZone(s *simulation, node *clusterNode) string {
	member, _ := s.view.Find(membership.NodeID(node.id))
	return member.Zone
}

func (s *simulation) heaps(seed uint64, duration time.Duration, work *sync.WaitGroup) {
	random := rand.New(rand.NewPCG(seed, 2))
	time.Sleep(time.Second)
	job := uint64(0)
	for start := time.Now(); time.Since(start) < duration-2*time.Second; time.Sleep(8 * time.Second) {
		for range 6 {
			job++
			node := s.nodes[random.IntN(len(s.nodes))]
			heap := time.Now()
			deadline := heap.Add(4 * time.Hour)
			waiting := make(chan struct{}, 64) // as many items as a node lets wait
			items := s.itemsPerJob
			prefix := job
			work.Go(func() {
				time.Sleep(time.Duration(prefix%6) * 30 * time.Millisecond)
				for range items {
					waiting <- struct{}{}
					tokens, own := 48+rand.IntN(49), rand.Uint64()
					work.Go(func() {
						s.item(node, prefix, own, tokens, deadline)
						<-waiting
						s.result.mutex.Lock()
						s.result.items++
						s.result.itemsDone = max(s.result.itemsDone, time.Since(heap))
						s.result.mutex.Unlock()
					})
				}
			})
		}
	}
}

// item runs one batch item to its end, again and again where its credit is revoked.
func (s *simulation) item(node *clusterNode, prefix, own uint64, tokens int, deadline time.Time) {
	for tokens > 0 {
		run := &simulatedRun{batch: true, prefillLeft: 512, tokensLeft: tokens, blocks: sharedBlocks(1<<20+prefix, 16, own, 16)}
		request := BatchRequest{Tenant: "office", Rank: 100, Deadline: deadline}
		request.Routing = routing.Request{Service: "chat", PrefixBlocks: run.blocks}
		credit, err := node.credits.Acquire(context.Background(), request)
		if err != nil {
			s.t.Error(err)
			return
		}
		on := s.engines[credit.Decision.Endpoint.Replica]
		on.start(run)
		tokens = s.follow(on, run, credit)
		credit.Release()
		s.result.mutex.Lock()
		s.result.batchCached += run.cached
		s.result.batchBlocks += len(run.blocks)
		s.result.mutex.Unlock()
	}
}

// follow returns the tokens that are still missing.
func (s *simulation) follow(on *simulatedEngine, run *simulatedRun, credit *Credit) int {
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
			return on.cancel(run)
		}
	}
}

var simulationItems = flag.Int("simulation.items", 40, "items of each batch job in the policy simulation")

var simulationRate = flag.Float64("simulation.rate", 1, "multiplies the online arrivals of the policy simulation")

var simulationTerms = flag.Bool("simulation.terms", false, "also simulate with each term switched off")

var simulationSeeds = flag.Int("simulation.seeds", 1, "seeds of the policy simulation")

// simulate plays one policy in virtual time.
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

// TestPoliciesInSimulation compares policies on the same arrivals on virtual time, free of
// the noise of the machine. Run with -v for the figures. The bounds leave room for the
// order in which goroutines run, which differs from run to run.
func TestPoliciesInSimulation(t *testing.T) {
	for seed := range uint64(*simulationSeeds) {
		alone := simulate(t, routing.PolicyOnlineOnly, seed+1, nil)
		t.Logf("seed %d online-only %s", seed+1, alone)
		credits := simulate(t, routing.PolicySloelift, seed+1, nil)
		first, between := credits.harm(alone)
		t.Logf("seed %d sloelift %s harm first %.3f between %.3f", seed+1, credits, first, between)
		fifo := simulate(t, routing.PolicyFIFO, seed+1, nil)
		fifoFirst, fifoBetween := fifo.harm(alone)
		t.Logf("seed %d fifo %s harm first %.3f between %.3f", seed+1, fifo, fifoFirst, fifoBetween)
		if first > 1.3 || between > 1.15 {
			t.Errorf("harm to the online tail: first token %.3f, between tokens %.3f", first, between)
		}
		if credits.items != fifo.items || credits.items == 0 {
			t.Errorf("%d batch items completed, fifo %d", credits.items, fifo.items)
		}
		if credits.batchShare() < fifo.batchShare() {
			t.Errorf("batch found %.3f of its prompts cached, fifo %.3f", credits.batchShare(), fifo.batchShare())
		}
	}
}

func (r *simulationResult) batchShare() float64 {
	return float64(r.batchCached) / float64(max(1, r.batchBlocks))
}

// harm gives the ratios of the online p99 to that without batch.
func (r *simulationResult) harm(alone *simulationResult) (first, between float64) {
	first = float64(percentile(r.firstToken, 0.99)) / float64(percentile(alone.firstToken, 0.99))
	between = float64(percentile(r.betweenToken, 0.99)) / float64(percentile(alone.betweenToken, 0.99))
	return first, between
}

// simulationSwitches turn terms of routing and of credits off, or choose another value.
var simulationSwitches = []struct {
	name   string
	change func(*routing.Options, *Options)
}{
	{"as in service", func(*routing.Options, *Options) {}},
	{"no load", func(r *routing.Options, _ *Options) { r.DisableLoad = true }},
	{"no own requests", func(r *routing.Options, _ *Options) { r.DisableOwnRequests = true }},
	{"no prefix", func(r *routing.Options, _ *Options) { r.DisablePrefix = true }},
	{"no affinity", func(r *routing.Options, _ *Options) { r.DisableAffinity = true }},
	{"no distance", func(r *routing.Options, _ *Options) { r.DisableDistance = true }},
	{"power of two", func(r *routing.Options, _ *Options) { r.Picker = routing.PickerPowerOfTwo }},
	{"no online signals", func(_ *routing.Options, o *Options) { o.DisableOnlineSignals = true }},
	{"starts at once", func(_ *routing.Options, o *Options) { o.StartSteps = 0 }},
	{"shared 20%", func(_ *routing.Options, o *Options) { o.SharedPercent = 20 }},
	{"shared 75%", func(_ *routing.Options, o *Options) { o.SharedPercent = 75 }},
	{"keep 40%", func(_ *routing.Options, o *Options) { o.KeepSharedPercent = 40 }},
}

// TestTermsInSimulation prints the worth of each term, as medians over the seeds, with
// -v -simulation.terms; without, it checks that batch completes with each switch.
func TestTermsInSimulation(t *testing.T) {
	seeds, switches := uint64(*simulationSeeds), simulationSwitches
	if !*simulationTerms {
		seeds, switches = 1, switches[1:3]
	}
	var alone []*simulationResult
	for seed := range seeds {
		alone = append(alone, simulate(t, routing.PolicyOnlineOnly, seed+1, nil))
	}
	for _, one := range switches {
		var first, between, online, batch, done, revoked []float64
		for seed := range seeds {
			result := simulate(t, routing.PolicySloelift, seed+1, one.change)
			firstHarm, betweenHarm := result.harm(alone[seed])
			first, between = append(first, firstHarm), append(between, betweenHarm)
			online = append(online, float64(result.onlineCached)/float64(max(1, result.onlineBlocks)))
			batch = append(batch, result.batchShare())
			done = append(done, result.itemsDone.Seconds())
			revoked = append(revoked, float64(result.revoked))
			if result.items == 0 {
				t.Errorf("%s: no batch item completed", one.name)
			}
		}
		t.Logf("%-18s first %.3f between %.3f online cached %.3f batch cached %.3f heap done %.2f s revoked %.0f",
			one.name, median(first), median(between), median(online), median(batch), median(done), median(revoked))
	}
}

func median(values []float64) float64 {
	slices.Sort(values)
	return values[len(values)/2]
}

package experiment

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/sloelift/sloelift/lab/deployment"
	labengine "github.com/sloelift/sloelift/lab/engine"
	labplatform "github.com/sloelift/sloelift/lab/platform"
)

// rollingPause is the time between two planned stops of a rolling restart.
const rollingPause = 300 * time.Millisecond

// action carries out one fault: it begins it, waits until it is over, and ends it.
type action func(*injector, context.Context, Fault) error

var actions = map[FaultKind]action{
	FaultKillNode:        (*injector).killNodes,
	FaultLoseDisk:        (*injector).loseDisks,
	FaultPauseNode:       (*injector).pauseNodes,
	FaultKeyValueDown:    (*injector).keyValueDown,
	FaultKeyValueSlow:    (*injector).keyValueSlow,
	FaultKeyValueAnswers: (*injector).keyValueAnswersLost,
	FaultCutZone:         (*injector).cutZone,
	FaultKillReplica:     (*injector).killReplicas,
	FaultLeaveReplica:    (*injector).leaveReplicas,
	FaultLoadLag:         (*injector).loadLag,
	FaultCacheEventsLost: (*injector).cacheEventsLost,
	FaultRollingRestart:  (*injector).rollingRestart,
	FaultConfiguration:   (*injector).changeConfiguration,
	FaultRollVersion:     (*injector).rollVersion,
	FaultSilence:         (*injector).silence,
}

// silence silences open connections once.
func (i *injector) silence(context.Context, Fault) error {
	i.logger.Info().Int("connections", i.deployment.SilenceConnections()).Msg("connections_silenced")
	return nil
}

// injector carries out the faults of one run.
type injector struct {
	deployment *deployment.Deployment
	logger     zerolog.Logger
	started    time.Time
	// ended is closed when the load has ended: what lasts to the end stops, what must be
	// completed goes on.
	ended chan struct{}

	// mutex guards random, busy, leaving and failures. busy holds nodes that a fault has hit.
	mutex    sync.Mutex
	random   *rand.Rand
	busy     map[string]bool
	leaving  map[string]time.Time
	failures []string
	// configuration is set where the scenario changes it.
	configuration *ConfigurationResult
}

func newInjector(target *deployment.Deployment, seed uint64, logger zerolog.Logger) *injector {
	return &injector{
		deployment: target,
		logger:     logger,
		ended:      make(chan struct{}),
		random:     rand.New(rand.NewPCG(seed, 0xfa)),
		busy:       map[string]bool{},
		leaving:    map[string]time.Time{},
	}
}

// run carries out all faults at their times and returns when the last one is over.
func (i *injector) run(ctx context.Context, faults []Fault) {
	i.started = time.Now()
	var wait sync.WaitGroup
	for _, fault := range faults {
		wait.Go(func() {
			if !i.pauseInRun(ctx, time.Until(i.started.Add(fault.At))) {
				return
			}
			i.logger.Info().Str("kind", string(fault.Kind)).Msg("fault_begins")
			if err := actions[fault.Kind](i, ctx, fault); err != nil {
				i.fail(fmt.Errorf("%s: %w", fault.Kind, err))
			}
			i.logger.Info().Str("kind", string(fault.Kind)).Msg("fault_over")
		})
	}
	wait.Wait()
}

func (i *injector) fail(err error) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.failures = append(i.failures, err.Error())
}

// lasting waits until a fault is over; it returns false where it lasts to the end.
func (i *injector) lasting(ctx context.Context, fault Fault) bool {
	return fault.For > 0 && i.pauseInRun(ctx, fault.For)
}

// pauseInRun waits; it returns false where the load or ctx ends first.
func (i *injector) pauseInRun(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(max(wait, 0))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-i.ended:
		return false
	case <-ctx.Done():
		return false
	}
}

// pickNodes draws nodes that no other fault has hit, in different zones where possible.
func (i *injector) pickNodes(fault Fault) []*deployment.Node {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	var candidates []*deployment.Node
	for _, node := range i.deployment.Nodes {
		store := node.Settings.DataFolder != ""
		wanted := fault.Target == TargetAny || store == (fault.Target == TargetStore)
		if wanted && !i.busy[node.ID] {
			candidates = append(candidates, node)
		}
	}
	i.random.Shuffle(len(candidates), func(a, b int) { candidates[a], candidates[b] = candidates[b], candidates[a] })
	picked := candidates[:min(max(fault.Count, 1), len(candidates))]
	for _, node := range picked {
		i.busy[node.ID] = true
		i.logger.Info().Str("kind", string(fault.Kind)).Str("target", node.ID).Msg("fault_target")
	}
	return picked
}

func (i *injector) pickReplicas(fault Fault) []*deployment.Replica {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	replicas := i.deployment.Replicas
	order := i.random.Perm(len(replicas))
	var picked []*deployment.Replica
	for _, index := range order {
		if len(picked) < max(fault.Count, 1) && !i.busy[replicas[index].ID] {
			picked = append(picked, replicas[index])
			i.busy[replicas[index].ID] = true
			i.logger.Info().Str("kind", string(fault.Kind)).Str("target", replicas[index].ID).Msg("fault_target")
		}
	}
	return picked
}

func (i *injector) killNodes(ctx context.Context, fault Fault) error {
	nodes := i.pickNodes(fault)
	for _, node := range nodes {
		i.deployment.KillNode(node)
	}
	if !i.lasting(ctx, fault) {
		return nil
	}
	for _, node := range nodes {
		if err := i.deployment.StartNode(ctx, node); err != nil {
			return err
		}
	}
	return nil
}

func (i *injector) loseDisks(ctx context.Context, fault Fault) error {
	fault.Target = TargetStore
	return i.deployment.LoseDisk(ctx, i.pickNodes(fault)...)
}

func (i *injector) pauseNodes(ctx context.Context, fault Fault) error {
	nodes := i.pickNodes(fault)
	for _, node := range nodes {
		i.deployment.PauseNode(node)
	}
	i.lasting(ctx, fault)
	for _, node := range nodes {
		i.deployment.ResumeNode(node)
	}
	return nil
}

func (i *injector) keyValueDown(ctx context.Context, fault Fault) error {
	return i.platformFault(ctx, fault, labplatform.Fault{Outage: labplatform.OutageDrops})
}

func (i *injector) keyValueSlow(ctx context.Context, fault Fault) error {
	return i.platformFault(ctx, fault, labplatform.Fault{DelayMilliseconds: fault.Lag.Milliseconds()})
}

func (i *injector) keyValueAnswersLost(ctx context.Context, fault Fault) error {
	return i.platformFault(ctx, fault, labplatform.Fault{LoseAnswer: fault.Share})
}

func (i *injector) platformFault(ctx context.Context, fault Fault, set labplatform.Fault) error {
	set.Service = labplatform.KeyValue
	faults := i.deployment.Platform.Faults()
	faults.Set(set)
	if i.lasting(ctx, fault) {
		faults.Clear(set.Zone, set.Service)
	}
	return nil
}

func (i *injector) cutZone(ctx context.Context, fault Fault) error {
	i.mutex.Lock()
	zones := map[string]bool{}
	for _, replica := range i.deployment.Replicas {
		zones[replica.Zone] = true
	}
	nodes := i.deployment.Nodes
	// The last zone has the fewest stores, so that a write quorum stays on the other side.
	zone := nodes[len(nodes)-1].Zone
	i.mutex.Unlock()
	i.logger.Info().Str("kind", string(fault.Kind)).Str("target", zone).Int("zones", len(zones)).Msg("fault_target")
	i.deployment.CutZone(zone)
	if i.lasting(ctx, fault) {
		i.deployment.HealZone(zone)
	}
	return nil
}

func (i *injector) killReplicas(ctx context.Context, fault Fault) error {
	replicas := i.pickReplicas(fault)
	for _, replica := range replicas {
		replica.Engine.Kill()
	}
	if !i.lasting(ctx, fault) {
		return nil
	}
	for _, replica := range replicas {
		if err := replica.Engine.Start(""); err != nil {
			return err
		}
	}
	return nil
}

// leaveReplicas announces the leaving in the machine list alone, so that a dispatch
// after the sign shows; the engine refuses new runs only after For.
func (i *injector) leaveReplicas(ctx context.Context, fault Fault) error {
	replicas := i.pickReplicas(fault)
	for _, replica := range replicas {
		i.deployment.AnnounceLeaving(replica)
		i.mutex.Lock()
		i.leaving[replica.ID] = time.Now()
		i.mutex.Unlock()
	}
	if i.lasting(ctx, fault) {
		for _, replica := range replicas {
			replica.Engine.Leave()
		}
	}
	return nil
}

func (i *injector) eachEngine(change func(*labengine.Engine)) {
	for _, replica := range i.deployment.Replicas {
		change(replica.Engine)
	}
}

func (i *injector) loadLag(_ context.Context, fault Fault) error {
	i.eachEngine(func(engine *labengine.Engine) { engine.SetLoadLag(fault.Lag) })
	return nil
}

func (i *injector) cacheEventsLost(_ context.Context, fault Fault) error {
	i.eachEngine(func(engine *labengine.Engine) { engine.LoseCacheEvents(fault.Share) })
	return nil
}

// rollingRestart stops every node as planned, one after the other, and starts it anew.
func (i *injector) rollingRestart(ctx context.Context, _ Fault) error {
	for _, node := range i.deployment.Nodes {
		if err := i.deployment.StopNode(ctx, node); err != nil {
			return err
		}
		if err := i.deployment.StartNode(ctx, node); err != nil {
			return err
		}
		if !pause(ctx, rollingPause) {
			return ctx.Err()
		}
	}
	return nil
}

// rollVersion declares a new version of the model; it fails where a replica does not get it.
func (i *injector) rollVersion(ctx context.Context, _ Fault) error {
	began := time.Now()
	err := i.deployment.RollVersion(ctx)
	i.logger.Info().Err(err).Dur("took", time.Since(began)).Msg("version_rolled")
	return err
}

func pause(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(max(wait, 0))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

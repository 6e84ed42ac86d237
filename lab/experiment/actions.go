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

// rollingPause is the delay before the next node of a rolling restart is stopped.
const rollingPause = 300 * time.Millisecond

// action injects one fault: it starts the fault, waits for its duration and ends it.
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

// silence silences the connections that are open at the time.
func (i *injector) silence(context.Context, Fault) error {
	i.logger.Info().Int("connections", i.deployment.SilenceConnections()).Msg("connections_silenced")
	return nil
}

// injector injects the faults of one run.
type injector struct {
	deployment *deployment.Deployment
	logger     zerolog.Logger
	started    time.Time
	// ended is closed when the load has ended: waiting faults then end early, while steps
	// that must be completed continue.
	ended chan struct{}

	// mutex guards the fields below. busy holds the nodes and replicas that a fault has hit, leaving the times at which
	// replicas were announced as leaving.
	mutex    sync.Mutex
	random   *rand.Rand
	busy     map[string]bool
	leaving  map[string]time.Time
	failures []string
	// configuration is set if the scenario changes the configuration.
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

// run injects all faults at their times and returns when the last one has ended.
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

// waitForEnd waits for the duration of a fault. It returns false if the fault lasts until the end of the run.
func (i *injector) waitForEnd(ctx context.Context, fault Fault) bool {
	return fault.For > 0 && i.pauseInRun(ctx, fault.For)
}

// pauseInRun waits. It returns false if the load or ctx ends first.
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

// pickNodes draws nodes of the fault's target class that no other fault has hit.
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
	if !i.waitForEnd(ctx, fault) {
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
	i.waitForEnd(ctx, fault)
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
	if i.waitForEnd(ctx, fault) {
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
	if i.waitForEnd(ctx, fault) {
		i.deployment.HealZone(zone)
	}
	return nil
}

func (i *injector) killReplicas(ctx context.Context, fault Fault) error {
	replicas := i.pickReplicas(fault)
	for _, replica := range replicas {
		replica.Engine.Kill()
	}
	if !i.waitForEnd(ctx, fault) {
		return nil
	}
	for _, replica := range replicas {
		if err := replica.Engine.Start(""); err != nil {
			return err
		}
	}
	return nil
}

// leaveReplicas announces replicas as leaving in the machine list only, so that later
// dispatches to them are visible; the engines refuse new runs only after For.
func (i *injector) leaveReplicas(ctx context.Context, fault Fault) error {
	replicas := i.pickReplicas(fault)
	for _, replica := range replicas {
		i.deployment.AnnounceLeaving(replica)
		i.mutex.Lock()
		i.leaving[replica.ID] = time.Now()
		i.mutex.Unlock()
	}
	if i.waitForEnd(ctx, fault) {
		for _, replica := range replicas {
			replica.Engine.Leave()
		}
	}
	return nil
}

func (i *injector) forEachEngine(change func(*labengine.Engine)) {
	for _, replica := range i.deployment.Replicas {
		change(replica.Engine)
	}
}

func (i *injector) loadLag(_ context.Context, fault Fault) error {
	i.forEachEngine(func(engine *labengine.Engine) { engine.SetLoadLag(fault.Lag) })
	return nil
}

func (i *injector) cacheEventsLost(_ context.Context, fault Fault) error {
	i.forEachEngine(func(engine *labengine.Engine) { engine.LoseCacheEvents(fault.Share) })
	return nil
}

// rollingRestart stops and restarts every node in a planned way, one after the other.
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

// rollVersion declares a new version of the model. It fails if a replica does not come to serve it.
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

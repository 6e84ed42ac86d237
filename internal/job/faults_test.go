package job

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/sloelift/sloelift/internal/engine"
	"github.com/sloelift/sloelift/internal/ledger"
	"github.com/sloelift/sloelift/internal/outcome"
	"github.com/sloelift/sloelift/internal/pause"
)

// faultPlan is the sequence of faults that TestJobsUnderFaults injects into a cluster.
type faultPlan struct {
	seed  uint64
	steps []faultStep
}

// faultStep is one fault, injected after wait.
type faultStep struct {
	wait      time.Duration
	kind      string
	partition ledger.PartitionID
	node      int
}

func drawPlan(t *rapid.T) faultPlan {
	plan := faultPlan{seed: rapid.Uint64().Draw(t, "seed")}
	for range rapid.IntRange(3, 8).Draw(t, "steps") {
		plan.steps = append(plan.steps, faultStep{
			wait: time.Duration(rapid.IntRange(0, 700).Draw(t, "wait")) * time.Millisecond,
			kind: rapid.SampledFrom([]string{
				"takeover", "unaware", "revoke", "resend", "cancel", "compact", "engines",
			}).Draw(t, "kind"),
			partition: ledger.PartitionID(rapid.IntRange(0, testPartitions-1).Draw(t, "partition")),
			node:      rapid.IntRange(0, 2).Draw(t, "node"),
		})
	}
	return plan
}

// faultyMachine serves a partition with a faultyOwned. The partition learns of the loss of
// its ownership only after lossDelay.
type faultyMachine struct {
	*partition
	run       *faultRun
	lossDelay atomic.Int64 // in nanoseconds
}

func (m *faultyMachine) Serve(owned ledger.Owned) {
	lost := make(chan struct{})
	m.run.background.Go(func() {
		select {
		case <-owned.Lost():
			time.Sleep(time.Duration(m.lossDelay.Load()))
			close(lost)
		case <-m.stopped:
		}
	})
	m.partition.Serve(&faultyOwned{Owned: owned, run: m.run, lost: lost})
}

// faultyOwned is a ledger.Owned with random append failures: an unknown outcome, with and
// without the append having taken effect, and for Append also a full disk.
type faultyOwned struct {
	ledger.Owned
	run  *faultRun
	lost chan struct{}
}

func (o *faultyOwned) Lost() <-chan struct{} { return o.lost }

func (o *faultyOwned) Append(ctx context.Context, records []ledger.Record) (ledger.Position, error) {
	if draw := o.run.draw(20); draw != 2 {
		return o.append(ctx, records, draw)
	}
	time.Sleep(5 * time.Millisecond)
	return 0, outcome.New(outcome.NotRun, outcome.ReasonStorageFull, "disk full")
}

func (o *faultyOwned) AppendReserved(ctx context.Context, records []ledger.Record) (ledger.Position, error) {
	return o.append(ctx, records, o.run.draw(20))
}

func (o *faultyOwned) append(ctx context.Context, records []ledger.Record, draw int) (ledger.Position, error) {
	time.Sleep(5 * time.Millisecond)
	indeterminate := outcome.New(outcome.Indeterminate, outcome.ReasonUnavailable, "answer lost")
	switch draw {
	case 0:
		return 0, indeterminate
	case 1:
		if _, err := o.Owned.Append(ctx, records); err != nil {
			return 0, err
		}
		return 0, indeterminate
	}
	return o.Owned.Append(ctx, records)
}

// TestJobsUnderFaults injects takeovers, stale owners, failed appends, revoked credits and
// engine restarts. Each item of a job that is not cancelled must complete once with its
// complete answer; an item that is not repeatable must run at most once and may end as
// indeterminate; no item may be dispatched after the cancel of its job was acknowledged.
func TestJobsUnderFaults(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		plan := drawPlan(r)
		var failure error
		t.Logf("plan %+v", plan)
		synctest.Test(t, func(t *testing.T) { failure = runPlan(t, plan) })
		if failure != nil {
			r.Fatal(failure)
		}
	})
}

// faultRun is one run of a plan.
type faultRun struct {
	*testCluster
	random    *rand.Rand
	mutex     sync.Mutex
	cancelled map[string]bool
	violation error
	// background counts the goroutines that delay the loss or the stop of an owner.
	background sync.WaitGroup
}

const faultItems = 30

func runPlan(t *testing.T, plan faultPlan) error {
	cluster := newTestCluster(t, 3)
	run := &faultRun{testCluster: cluster, random: rand.New(rand.NewPCG(plan.seed, 1)), cancelled: make(map[string]bool)}
	defer run.background.Wait()
	defer cluster.stop()
	cluster.credits.limit = 16
	cluster.engine.onCall, cluster.engine.onToken = run.onCall, run.onToken
	for partition := range ledger.PartitionID(testPartitions) {
		run.takeOver(partition, int(partition))
	}
	ids := make([]string, 4)
	for number := range ids {
		ids[number] = run.submit(t, number).ID
	}
	for _, step := range plan.steps {
		time.Sleep(step.wait)
		run.inject(t, step, ids)
	}
	for number, id := range ids {
		if run.violation == nil {
			run.violation = run.check(t, number, id)
		}
	}
	return run.violation
}

func (f *faultRun) draw(bound int) int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.random.IntN(bound)
}

// submit submits the job with the given number; jobs with odd numbers are not repeatable. If
// the ledger refuses an append, the whole submission fails and is sent again.
func (f *faultRun) submit(t *testing.T, number int) Status {
	for {
		input := submission(fmt.Sprintf("job-%d", number), faultItems)
		input.NotRepeatable = number%2 == 1
		status, err := f.nodes[number%3].service.Submit(t.Context(), input)
		if err == nil {
			return status
		}
		if outcome.As(err).Reason != outcome.ReasonStorageFull {
			t.Fatalf("submit: %v", err)
		}
	}
}

func (f *faultRun) takeOver(id ledger.PartitionID, node int) {
	previous := f.machines[id]
	machine := &faultyMachine{partition: f.nodes[node].partitions.factory(id).(*partition), run: f}
	if _, err := f.logs[id].Start(machine); err != nil {
		f.test.Fatal(err)
	}
	f.testCluster.mutex.Lock()
	f.owners[id], f.machines[id] = node, machine
	f.testCluster.mutex.Unlock()
	f.background.Go(func() {
		if faulty, is := previous.(*faultyMachine); is {
			time.Sleep(time.Duration(faulty.lossDelay.Load()))
		}
		previous.Stop()
	})
}

func (f *faultRun) inject(t *testing.T, step faultStep, ids []string) {
	switch step.kind {
	case "takeover":
		f.takeOver(step.partition, step.node)
	case "unaware":
		f.machines[step.partition].(*faultyMachine).lossDelay.Store(int64(3 * time.Second))
		f.takeOver(step.partition, (f.owners[step.partition]+1)%3)
	case "revoke":
		f.credits.revokeAll()
	case "resend":
		if again := f.submit(t, step.node); again.ID != ids[step.node] {
			t.Fatalf("resend gave %s", again.ID)
		}
	case "cancel":
		f.cancel(t, ids[step.node])
	case "compact":
		_ = f.logs[step.partition].Compact(f.machines[step.partition])
	case "engines":
		f.engine.forgetRuns()
	}
}

func (f *faultRun) cancel(t *testing.T, id string) {
	status, err := f.nodes[0].service.Cancel(t.Context(), "registry", id)
	if err != nil || status.Phase != PhaseCancelled {
		return
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.cancelled[id] = true
}

func (f *faultRun) onCall(_ context.Context, _ engine.Endpoint, request engine.Request) error {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	id, _, _ := strings.Cut(request.ID, ":")
	if f.cancelled[id] {
		f.violation = fmt.Errorf("%s was dispatched after the cancel", request.ID)
	}
	switch f.random.IntN(12) {
	case 0:
		return engine.KindRefused.New("busy")
	case 1:
		return engine.KindNotSent.New("not reached")
	case 2:
		return engine.KindLost.New("cut before the answer")
	}
	return nil
}

func (f *faultRun) onToken(ctx context.Context, _ engine.Endpoint, _ engine.Request, _ int) error {
	if !pause.Sleep(ctx, 100*time.Millisecond) {
		return engine.KindLost.Wrap(ctx.Err(), "cut")
	}
	if f.draw(30) == 0 {
		return engine.KindLost.New("cut")
	}
	return nil
}

func (f *faultRun) check(t *testing.T, number int, id string) error {
	ended := waitForEnd(t, f.nodes[2], id)
	all := readResults(t, f.nodes[1], id, 0)
	if ended.Phase == PhaseCancelled {
		return nil
	}
	notRepeatable := number%2 == 1
	if len(all) != faultItems || ended.Completed+ended.Failed != faultItems || (!notRepeatable && ended.Failed > 0) {
		return fmt.Errorf("%s ended as %+v with %d results", id, ended, len(all))
	}
	for index, result := range all {
		complete := strings.Contains(string(result.Body), completeAnswer+`"`)
		indeterminate := notRepeatable && result.Outcome == string(outcome.Indeterminate)
		if result.Index != index || (!complete && !indeterminate) {
			return fmt.Errorf("%s: result %d is %s %s", id, index, result.Outcome, result.Body)
		}
	}
	f.engine.mutex.Lock()
	defer f.engine.mutex.Unlock()
	for item, count := range f.engine.started {
		if notRepeatable && strings.HasPrefix(item, id) && count > 1 {
			return errors.New(item + " ran more than once")
		}
	}
	return nil
}

// TestStaleOwnerServesNoReads checks reads sent to a stale owner, which has not noticed
// its successor. They must not return an older state of the job than was read before, nor
// miss the job.
func TestStaleOwnerServesNoReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newTestCluster(t, 3)
		faults := &faultRun{testCluster: cluster, random: rand.New(rand.NewPCG(1, 1))}
		defer faults.background.Wait()
		defer cluster.stop()
		faults.takeOver(0, 0)
		faults.takeOver(1, 0)
		status := faults.submit(t, 0)
		partition := partitionOf(t, status.ID)
		faults.machines[partition].(*faultyMachine).lossDelay.Store(int64(time.Hour))
		faults.takeOver(partition, 1)
		ended := waitForEnd(t, cluster.nodes[1], status.ID)
		if all := readResults(t, cluster.nodes[0], status.ID, 0); len(all) != ended.Completed {
			t.Errorf("%d results at the former owner, %d items completed", len(all), ended.Completed)
		}
		if again, err := cluster.nodes[0].service.Status(t.Context(), "registry", status.ID); err != nil || again.Phase != ended.Phase {
			t.Errorf("the former owner returned %+v, %v for a job that ended as %s", again, err, ended.Phase)
		}
	})
}

// TestStaleOwnerDispatchesNothingAfterCancel checks that a stale owner, which has not
// noticed its successor, dispatches no item after the successor acknowledged the cancel,
// although credits become free at that moment.
func TestStaleOwnerDispatchesNothingAfterCancel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newTestCluster(t, 3)
		faults := &faultRun{testCluster: cluster, random: rand.New(rand.NewPCG(1, 1))}
		defer faults.background.Wait()
		defer cluster.stop()
		cluster.credits.limit = 1
		cluster.engine.onToken = func(ctx context.Context, _ engine.Endpoint, _ engine.Request, _ int) error {
			return blockUntilDone(ctx)
		}
		for id := range ledger.PartitionID(testPartitions) {
			faults.takeOver(id, 0)
		}
		status := faults.submit(t, 0)
		synctest.Wait()
		partition := partitionOf(t, status.ID)
		faults.machines[partition].(*faultyMachine).lossDelay.Store(int64(time.Hour))
		faults.takeOver(partition, 1)
		cancelled, err := cluster.nodes[2].service.Cancel(t.Context(), "registry", status.ID)
		if err != nil || cancelled.Phase != PhaseCancelled {
			t.Fatalf("cancel: %+v, %v", cancelled, err)
		}
		before, _ := cluster.engine.starts()
		cluster.credits.setLimit(64)
		time.Sleep(time.Minute)
		if after, _ := cluster.engine.starts(); before == 0 || after != before {
			t.Fatalf("%d runs before the cancel, %d after", before, after)
		}
	})
}

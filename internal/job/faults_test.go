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

// faultPlan is what TestJobsUnderFaults does to a cluster.
type faultPlan struct {
	seed  uint64
	steps []faultStep
}

// faultStep is one fault after a wait.
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
			wait:      time.Duration(rapid.IntRange(0, 700).Draw(t, "wait")) * time.Millisecond,
			kind:      rapid.SampledFrom([]string{"takeover", "unaware", "revoke", "resend", "cancel", "compact", "engines"}).Draw(t, "kind"),
			partition: ledger.PartitionID(rapid.IntRange(0, testPartitions-1).Draw(t, "partition")),
			node:      rapid.IntRange(0, 2).Draw(t, "node"),
		})
	}
	return plan
}

// uncertainMachine gives its state machine an Owned whose appends sometimes end
// with an unknown outcome, and whose loss is noticed late.
type uncertainMachine struct {
	*partition
	run  *faultRun
	late atomic.Int64 // a time.Duration
}

func (m *uncertainMachine) Serve(owned ledger.Owned) {
	lost := make(chan struct{})
	m.run.background.Go(func() {
		select {
		case <-owned.Lost():
			time.Sleep(time.Duration(m.late.Load()))
			close(lost)
		case <-m.stopped:
		}
	})
	m.partition.Serve(&uncertainOwned{Owned: owned, run: m.run, lost: lost})
}

type uncertainOwned struct {
	ledger.Owned
	run  *faultRun
	lost chan struct{}
}

func (o *uncertainOwned) Lost() <-chan struct{} { return o.lost }

func (o *uncertainOwned) Append(ctx context.Context, records []ledger.Record) (ledger.Position, error) {
	if draw := o.run.draw(20); draw != 2 {
		return o.append(ctx, records, draw)
	}
	time.Sleep(5 * time.Millisecond)
	return 0, outcome.New(outcome.NotRun, outcome.ReasonStorageFull, "disk full")
}

func (o *uncertainOwned) AppendReserved(ctx context.Context, records []ledger.Record) (ledger.Position, error) {
	return o.append(ctx, records, o.run.draw(20))
}

func (o *uncertainOwned) append(ctx context.Context, records []ledger.Record, draw int) (ledger.Position, error) {
	time.Sleep(5 * time.Millisecond)
	uncertain := outcome.New(outcome.Indeterminate, outcome.ReasonUnavailable, "answer lost")
	switch draw {
	case 0:
		return 0, uncertain
	case 1:
		if _, err := o.Owned.Append(ctx, records); err != nil {
			return 0, err
		}
		return 0, uncertain
	}
	return o.Owned.Append(ctx, records)
}

// TestJobsUnderFaults: whatever happens to owners, appends, credits and engines, each
// item of a job that isn't cancelled completes once with its whole answer, a marked
// item runs at most once, and nothing of a job is dispatched after its cancel was
// acknowledged.
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
	broken    error
	// background are the goroutines of late losses.
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
		run.act(t, step, ids)
	}
	for number, id := range ids {
		if run.broken == nil {
			run.broken = run.check(t, number, id)
		}
	}
	return run.broken
}

func (f *faultRun) draw(bound int) int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.random.IntN(bound)
}

// submit submits job number; odd ones are marked as not repeatable. A refusal of the
// ledger is a refusal of the whole submission, which is then sent again.
func (f *faultRun) submit(t *testing.T, number int) Status {
	for {
		wanted := submission(fmt.Sprintf("job-%d", number), faultItems)
		wanted.NotRepeatable = number%2 == 1
		status, err := f.nodes[number%3].service.Submit(t.Context(), wanted)
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
	machine := &uncertainMachine{partition: f.nodes[node].partitions.factory(id).(*partition), run: f}
	if _, err := f.logs[id].Start(machine); err != nil {
		f.test.Fatal(err)
	}
	f.testCluster.mutex.Lock()
	f.owners[id], f.machines[id] = node, machine
	f.testCluster.mutex.Unlock()
	f.background.Go(func() {
		if unaware, is := previous.(*uncertainMachine); is {
			time.Sleep(time.Duration(unaware.late.Load()))
		}
		previous.Stop()
	})
}

func (f *faultRun) act(t *testing.T, step faultStep, ids []string) {
	switch step.kind {
	case "takeover":
		f.takeOver(step.partition, step.node)
	case "unaware":
		f.machines[step.partition].(*uncertainMachine).late.Store(int64(3 * time.Second))
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
		f.broken = fmt.Errorf("%s was dispatched after the cancel", request.ID)
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
	ended := finish(t, f.nodes[2], id)
	all := results(t, f.nodes[1], id, 0)
	if ended.Phase == PhaseCancelled {
		return nil
	}
	marked := number%2 == 1
	if len(all) != faultItems || ended.Completed+ended.Failed != faultItems || (!marked && ended.Failed > 0) {
		return fmt.Errorf("%s ended as %+v with %d results", id, ended, len(all))
	}
	for index, result := range all {
		whole := strings.Contains(string(result.Body), wholeAnswer+`"`)
		indeterminate := marked && result.Outcome == string(outcome.Indeterminate)
		if result.Index != index || (!whole && !indeterminate) {
			return fmt.Errorf("%s: result %d is %s %s", id, index, result.Outcome, result.Body)
		}
	}
	f.engine.mutex.Lock()
	defer f.engine.mutex.Unlock()
	for item, count := range f.engine.started {
		if marked && strings.HasPrefix(item, id) && count > 1 {
			return errors.New(item + " ran more than once")
		}
	}
	return nil
}

// TestUnawareOwnerAnswersNoReads: what a caller read of a job, and that it is there, stays so, also at an owner that
// doesn't know of its successor.
func TestUnawareOwnerAnswersNoReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newTestCluster(t, 3)
		faults := &faultRun{testCluster: cluster, random: rand.New(rand.NewPCG(1, 1))}
		defer faults.background.Wait()
		defer cluster.stop()
		faults.takeOver(0, 0)
		faults.takeOver(1, 0)
		status := faults.submit(t, 0)
		partition := partitionOf(t, status.ID)
		faults.machines[partition].(*uncertainMachine).late.Store(int64(time.Hour))
		faults.takeOver(partition, 1)
		ended := finish(t, cluster.nodes[1], status.ID)
		if all := results(t, cluster.nodes[0], status.ID, 0); len(all) != ended.Completed {
			t.Errorf("%d results at the former owner, %d items completed", len(all), ended.Completed)
		}
		if again, err := cluster.nodes[0].service.Status(t.Context(), "registry", status.ID); err != nil || again.Phase != ended.Phase {
			t.Errorf("the former owner says %+v, %v of a job that ended as %s", again, err, ended.Phase)
		}
	})
}

// TestUnawareOwnerDispatchesNothingAfterTheCancel: an owner that doesn't know of its
// successor has free credits again right after the successor acknowledged the cancel.
func TestUnawareOwnerDispatchesNothingAfterTheCancel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newTestCluster(t, 3)
		faults := &faultRun{testCluster: cluster, random: rand.New(rand.NewPCG(1, 1))}
		defer faults.background.Wait()
		defer cluster.stop()
		cluster.credits.limit = 1
		cluster.engine.onToken = func(ctx context.Context, _ engine.Endpoint, _ engine.Request, _ int) error { return waitUntil(ctx) }
		for id := range ledger.PartitionID(testPartitions) {
			faults.takeOver(id, 0)
		}
		status := faults.submit(t, 0)
		synctest.Wait()
		partition := partitionOf(t, status.ID)
		faults.machines[partition].(*uncertainMachine).late.Store(int64(time.Hour))
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

package batch

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"

	batchpb "github.com/sloelift/sloelift/api/proto/batch"
	"github.com/sloelift/sloelift/internal/ledger"
	"github.com/sloelift/sloelift/internal/outcome"
	"github.com/sloelift/sloelift/internal/quarantine"
	"github.com/sloelift/sloelift/internal/replica"
	"github.com/sloelift/sloelift/internal/replica/replicatest"
)

// countingRegister counts each lost run as the end of its replica, removes the replica, and rejects a message after rejectAt ends.
type countingRegister struct {
	rejectAt  int
	directory *replica.Directory
	// interruptFirst cuts off the first run, as if its message had ended a replica at another node.
	interruptFirst bool

	mutex   sync.Mutex
	crashed map[quarantine.Key]map[replica.Key]bool
	runs    int
	cleared int
}

func newCountingRegister(rejectAt int) *countingRegister {
	return &countingRegister{rejectAt: rejectAt, crashed: map[quarantine.Key]map[replica.Key]bool{}}
}

func (c *countingRegister) Check(key quarantine.Key, _ ...quarantine.Key) quarantine.Verdict {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	switch count := len(c.crashed[key]); {
	case count >= c.rejectAt:
		return quarantine.Rejected
	case count > 0:
		return quarantine.Apart
	default:
		return quarantine.Allowed
	}
}

func (c *countingRegister) CheckItem(key quarantine.Key, _ ...quarantine.Key) quarantine.Verdict {
	return c.Check(key)
}

func (c *countingRegister) HasEvidence(key quarantine.Key) bool {
	return c.Check(key) != quarantine.Allowed
}

func (c *countingRegister) NextEndRejects(quarantine.Key) bool { return false }

func (c *countingRegister) Retries(key quarantine.Key) bool {
	return c.Check(key) == quarantine.Rejected
}

func (c *countingRegister) Stable(string) bool { return true }

func (c *countingRegister) StableForRetry(quarantine.Key, string) bool { return true }

func (c *countingRegister) Recall(key quarantine.Key, ended []quarantine.RecordedEnd, _ int) {
	for _, end := range ended {
		c.note(key, end.Replica)
	}
}

func (c *countingRegister) note(key quarantine.Key, ended replica.Key) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.crashed[key] == nil {
		c.crashed[key] = map[replica.Key]bool{}
	}
	c.crashed[key][ended] = true
}

func (c *countingRegister) Admit(_ context.Context, key quarantine.Key, _ ...quarantine.Key) quarantine.Permit {
	return &countingPermit{register: c, key: key, verdict: c.Check(key)}
}

func (c *countingRegister) AdmitItem(ctx context.Context, key quarantine.Key, _ ...quarantine.Key) quarantine.Permit {
	return c.Admit(ctx, key)
}

func (c *countingRegister) clear() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	clear(c.crashed)
}

type countingPermit struct {
	register *countingRegister
	key      quarantine.Key
	verdict  quarantine.Verdict
	handle   *replica.Handle
}

func (p *countingPermit) Verdict() quarantine.Verdict { return p.verdict }

func (p *countingPermit) Occupied() []*replica.Handle { return nil }

func (p *countingPermit) Release() {}

func (p *countingPermit) Begin(handle *replica.Handle, cut func()) quarantine.Run {
	p.register.mutex.Lock()
	defer p.register.mutex.Unlock()
	p.register.runs++
	if p.register.interruptFirst && p.register.runs == 1 {
		time.AfterFunc(10*time.Millisecond, cut)
	}
	p.handle = handle
	return p
}

func (p *countingPermit) Received(int) {}

func (p *countingPermit) Progress(int, int) {}

func (p *countingPermit) End(_ context.Context, ending quarantine.Ending) bool {
	if ending == quarantine.Whole {
		p.register.mutex.Lock()
		defer p.register.mutex.Unlock()
		p.register.cleared++
	}
	if ending != quarantine.Lost && ending != quarantine.Interrupted {
		return false
	}
	p.register.note(p.key, p.handle.Key())
	p.register.directory.Update(nil, []string{p.handle.Info().ID})
	return true
}

// crashingScripts returns scripts of replicas with the given IDs that lose the connection at the item with the given path and answer
// all others.
func crashingScripts(path string, ids ...string) map[string]replicatest.Script {
	scripts := map[string]replicatest.Script{}
	for _, id := range ids {
		scripts[id] = func(connection net.Conn, request *http.Request) bool {
			if request.URL.Path == path {
				return false
			}
			return replicatest.Stream("s", true, false, eventOne, eventTwo)(connection, request)
		}
	}
	return scripts
}

// countRequests returns the number of requests with the path.
func countRequests(owner *testOwner, path string) int {
	count := 0
	for _, request := range owner.replicas.Requests() {
		if request.URL.Path == path {
			count++
		}
	}
	return count
}

// crashRecords returns the records of ended replicas in the log.
func crashRecords(t *testing.T, records []ledger.Record) []*batchpb.Crashed {
	t.Helper()
	var found []*batchpb.Crashed
	for _, record := range records {
		if record.Kind != ledger.KindBatchCrashed {
			continue
		}
		crashed := &batchpb.Crashed{}
		if err := proto.Unmarshal(record.Payload, crashed); err != nil {
			t.Fatal(err)
		}
		found = append(found, crashed)
	}
	return found
}

func TestItemThatCrashesReplicasWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		owner := startOwnerWithRegister(t, newCountingRegister(3), crashingScripts("/p/j-0", "a", "b", "c", "d", "e"))
		owner.routes.Table().Routes[0].Retention = time.Minute
		owner.mustSubmit(t, testSubmission("j", 3))
		for _, result := range owner.results(t, "j", 2, 10*time.Second) {
			if result.State != batchpb.State_STATE_SUCCEEDED || result.ItemId == "j-0" {
				t.Errorf("item %s is %v", result.ItemId, result.State)
			}
		}
		time.Sleep(50 * time.Second)
		if sent := countRequests(owner, "/p/j-0"); sent != 3 {
			t.Errorf("the item was sent %d times", sent)
		}
		if listed := owner.results(t, "j", 2, time.Second); len(listed) != 2 {
			t.Errorf("%d results before the item may be given up", len(listed))
		}
		last := owner.results(t, "j", 3, 30*time.Second)[2]
		if last.ItemId != "j-0" || last.State != batchpb.State_STATE_DEAD_LETTER {
			t.Errorf("item %s is %v", last.ItemId, last.State)
		}
		owner.stop()
	})
}

// TestNextOwnerKnowsCrashes checks that each end of a replica is in the log before the item is sent again, so that successive owners
// together send it no more often than a single one would.
func TestNextOwnerKnowsCrashes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first := startOwnerWithRegister(t, newCountingRegister(2), crashingScripts("/p/j-0", "a", "b", "c"))
		first.mustSubmit(t, testSubmission("j", 1))
		time.Sleep(5 * time.Second)
		first.stop()
		if recorded := crashRecords(t, first.owned.records); len(recorded) != 2 || recorded[0].Replica == recorded[1].Replica {
			t.Fatalf("recorded: %v", recorded)
		}
		next := startOwnerWithRegister(t, newCountingRegister(3), crashingScripts("/p/j-0", "d", "e", "f"), first.owned.records...)
		time.Sleep(20 * time.Second)
		if sent := countRequests(next, "/p/j-0"); sent != 1 {
			t.Errorf("the next owner sent the item %d times, want the one that is left", sent)
		}
		next.stop()
	})
}

// TestSuspectedItemBacksOffAfterCrash checks that a suspected item waits while the other messages that ran at the ended replica, for
// some of which callers wait, show what ended it, and that it continues at once when it is cleared.
func TestSuspectedItemBacksOffAfterCrash(t *testing.T) {
	for name, test := range map[string]struct {
		clearAfter  time.Duration
		from, until time.Duration
	}{
		"still suspected": {time.Hour, crashBackoff, 2 * crashBackoff},
		"cleared":         {200 * time.Millisecond, 200 * time.Millisecond, 400 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				register := newCountingRegister(3)
				owner := startOwnerWithRegister(t, register, crashingScripts("/p/j-0", "a", "b", "c"))
				owner.mustSubmit(t, testSubmission("j", 1))
				for countRequests(owner, "/p/j-0") == 0 {
					time.Sleep(time.Millisecond)
				}
				first := time.Now()
				time.AfterFunc(test.clearAfter, register.clear)
				for countRequests(owner, "/p/j-0") == 1 {
					time.Sleep(time.Millisecond)
				}
				if waited := time.Since(first); waited < test.from || waited > test.until {
					t.Errorf("sent again after %s, want %s to %s", waited, test.from, test.until)
				}
				owner.stop()
			})
		})
	}
}

func TestItemThatIsCutOffBlamesNoReplica(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		register := newCountingRegister(3)
		register.interruptFirst = true
		owner := startOwnerWithRegister(t, register, singleReplica(replicatest.Then(replicatest.Hang(), replicatest.Stream("s", true, false, eventOne, eventTwo))))
		owner.mustSubmit(t, testSubmission("j", 1))
		if text := owner.results(t, "j", 1, 5*time.Second)[0].Text; text != "a\nb" {
			t.Errorf("text is %q", text)
		}
		owner.stop()
		if register.runs != 2 || owner.service.directory.View().Find("a").FailureRate() != 0 {
			t.Errorf("%d runs, want 2; failure rate of the replica is %v, want 0: this node cut the run off",
				register.runs, owner.service.directory.View().Find("a").FailureRate())
		}
		if len(register.crashed) != 0 {
			t.Error("a run that was cut off counts as an end")
		}
	})
}

func TestCrashesAreInTheSnapshot(t *testing.T) {
	log := newLog(t)
	log.add(acceptanceRecords(plainSubmission("j", 2), 1)...)
	var want []quarantine.RecordedEnd
	for ended := range uint64(maxCrashesPerItem + 1 + maxRetriesPerItem + 1) {
		retry := ended > maxCrashesPerItem
		for range 2 {
			log.add(newRecord(ledger.KindBatchCrashed, &batchpb.Crashed{JobId: "j", Item: 1, Replica: ended, Retry: retry}))
		}
		if ended != maxCrashesPerItem && len(want) < maxCrashesPerItem+maxRetriesPerItem {
			want = append(want, quarantine.RecordedEnd{Replica: replica.Key(ended), Retry: retry})
		}
	}
	encoded, err := log.state.snapshot()
	if err != nil {
		t.Fatal(err)
	}
	restored, err := restoreState(encoded)
	if err != nil {
		t.Fatal(err)
	}
	if got := restored.jobs["j"].items[1].crashes; !slices.Equal(got, want) {
		t.Errorf("recorded ends %v, want %v: each replica once, at most maxCrashesPerItem and maxRetriesPerItem", got, want)
	}
	log.add(successRecord("j", 1, 0, "a"))
	if left := log.state.jobs["j"].items[1].crashes; left != nil {
		t.Errorf("a listed item keeps %v", left)
	}
}

func TestRejectedItemIsNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		owner := startOwnerWithRegister(t, newCountingRegister(0), singleReplica(replicatest.Stream("s", true, false, eventOne)))
		owner.mustSubmit(t, testSubmission("j", 4))
		time.Sleep(10 * time.Second)
		if sent := countRequests(owner, "/p/j-0") + countRequests(owner, "/p/j-1"); sent != 0 {
			t.Errorf("items were sent %d times", sent)
		}
		owner.stop()
	})
}

// TestCrashIsRecordedOnceTheLogTakesIt guards against sending an item again although the end of its replica could not be recorded:
// the next owner did not know of that end. Like the count of failures, it must be durable before the item is sent again.
func TestCrashIsRecordedOnceTheLogTakesIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		scripts := crashingScripts("/p/j-0", "a", "b", "c", "d", "e")
		var owner *testOwner
		var once sync.Once
		for id, crash := range scripts {
			scripts[id] = func(connection net.Conn, request *http.Request) bool {
				if request.URL.Path == "/p/j-0" {
					once.Do(func() {
						owner.owned.set(false, outcome.New(outcome.Failed, outcome.ReasonUnavailable, "too few stores have room"))
						time.AfterFunc(300*time.Millisecond, func() { owner.owned.set(false, nil) })
					})
				}
				return crash(connection, request)
			}
		}
		owner = startOwnerWithRegister(t, newCountingRegister(3), scripts)
		owner.routes.Table().Routes[0].Retention = time.Minute
		owner.mustSubmit(t, testSubmission("j", 1))
		time.Sleep(30 * time.Second)
		sent := countRequests(owner, "/p/j-0")
		if recorded := len(crashRecords(t, owner.owned.records)); recorded != sent || sent != 3 {
			t.Errorf("%d ends are recorded of %d replicas that ended, want 3", recorded, sent)
		}
		owner.stop()
	})
}

// undecidedRegister suspects each message and grants no run, as when the keeper of the message decides differently or cannot be
// reached.
type undecidedRegister struct{ *countingRegister }

func (undecidedRegister) Check(quarantine.Key, ...quarantine.Key) quarantine.Verdict {
	return quarantine.Apart
}

func (u undecidedRegister) CheckItem(key quarantine.Key, _ ...quarantine.Key) quarantine.Verdict {
	return u.Check(key)
}

func (u undecidedRegister) AdmitItem(_ context.Context, key quarantine.Key, _ ...quarantine.Key) quarantine.Permit {
	return &countingPermit{register: u.countingRegister, key: key, verdict: quarantine.Rejected}
}

// TestItemThatIsNotAdmittedIsGivenUpInTheEnd guards against items that are never listed. An owner gave up an item that is kept from
// replicas only if its own register rejected it. If only the keeper did, the item was tried four times a second forever
// ("item_not_done verdict=not_sent"), even after its route's retention was over.
func TestItemThatIsNotAdmittedIsGivenUpInTheEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		owner := startOwnerWithRegister(t, undecidedRegister{newCountingRegister(3)}, singleReplica(replicatest.Stream("s", true, false, eventOne)))
		defer owner.stop()
		owner.routes.Table().Routes[0].Retention = time.Minute
		owner.mustSubmit(t, testSubmission("j", 1))
		time.Sleep(55 * time.Second)
		if listed := owner.results(t, "j", 0, time.Second); len(listed) != 0 {
			t.Errorf("%d results before the item may be given up", len(listed))
		}
		if last := owner.results(t, "j", 1, 30*time.Second)[0]; last.State != batchpb.State_STATE_DEAD_LETTER {
			t.Errorf("the item is %s", last.State)
		}
	})
}

package quarantine

import (
	"fmt"
	"net/http"
	"net/netip"
	"testing"
	"time"

	quarantinepb "github.com/sloelift/sloelift/api/proto/quarantine"
	"github.com/sloelift/sloelift/internal/replica"
	"github.com/sloelift/sloelift/internal/replica/replicatest"
	"github.com/sloelift/sloelift/internal/transport/memory"
)

// nodeOf returns the node with the given rank, from 0, among the keepers of a message.
func (c *cluster) nodeOf(key Key, place int) *node {
	wanted := keepers(c.nodes[0].view.View(), key)[place].ID
	for _, member := range c.nodes {
		if member.id == wanted {
			return member
		}
	}
	c.t.Fatal("no node has the ID of the keeper")
	return nil
}

func TestLastRunNeedsMostMembers(t *testing.T) {
	inCluster(t, 4, 4, func(t *testing.T, c *cluster) {
		key := keyOf("a")
		c.nodes[0].Recall(key, recordedEnds(1, 2), 0)
		time.Sleep(50 * time.Millisecond)
		c.cut(c.nodes[0], c.nodes[1])
		c.agree()
		for _, member := range []*node{c.nodes[0], c.nodes[2]} {
			permit := member.Admit(t.Context(), key)
			if permit.Verdict() != Rejected {
				t.Errorf("%s was granted the last run on its side of a partition", member.id)
			}
			permit.Release()
		}
	})
}

func TestSecondKeeperGivesNoLastRun(t *testing.T) {
	for name, test := range map[string]struct {
		ended []replica.Key
		want  Verdict
	}{
		"one ended": {[]replica.Key{1}, Apart},
		"two ended": {[]replica.Key{1, 2}, Rejected},
	} {
		t.Run(name, func(t *testing.T) {
			inCluster(t, 4, 4, func(t *testing.T, c *cluster) {
				key := keyOf("a")
				c.nodes[0].Recall(key, recordedEnds(test.ended...), 0)
				time.Sleep(50 * time.Millisecond)
				first, asking := c.nodeOf(key, 0), c.nodeOf(key, 3)
				// The members do not know yet that it is down.
				c.kill(first)
				permit := asking.Admit(t.Context(), key)
				defer permit.Release()
				if permit.Verdict() != test.want {
					t.Errorf("verdict is %s, want %s", permit.Verdict(), test.want)
				}
			})
		})
	}
}

// TestKeeperLearnsWhatRanBeside: a keeper that learns of two incidents from the requesting node decides as that node
// does. It must not treat the message as if it had run alone.
func TestKeeperLearnsWhatRanBeside(t *testing.T) {
	inCluster(t, 4, 4, func(t *testing.T, c *cluster) {
		key := keyOf("a")
		keeper, asking := c.nodeOf(key, 0), c.nodeOf(key, 3)
		asking.mutex.Lock()
		for number, ended := range []replica.Key{1, 2} {
			learned := time.Now().Add(time.Duration(number-2) * 100 * time.Millisecond)
			asking.evidence.add(ended, learned, key, suspect{runDuration: 10 * time.Millisecond})
			for beside := range 9 {
				asking.evidence.add(ended, learned, keyOf(fmt.Sprintf("%d-%d", ended, beside)), suspect{runDuration: 10 * time.Millisecond})
			}
		}
		asking.mutex.Unlock()
		wantVerdict(t, asking, key, Apart)
		permit := asking.Admit(t.Context(), key)
		defer permit.Release()
		if permit.Verdict() != Apart {
			t.Errorf("verdict is %s", permit.Verdict())
		}
		wantVerdict(t, keeper, key, Apart)
	})
}

// TestGrantWithoutAnAnswerIsNoEnd: a grant whose answer arrives after the requester's timeout is released unused. It
// must not lapse and count as the end of a replica.
func TestGrantWithoutAnAnswerIsNoEnd(t *testing.T) {
	inCluster(t, 4, 4, func(t *testing.T, c *cluster) {
		key := keyOf("a")
		c.nodes[0].Recall(key, recordedEnds(1), 0)
		time.Sleep(50 * time.Millisecond)
		first, asking := c.nodeOf(key, 0), c.nodeOf(key, 3)
		c.network.SetConditions(func(from, to netip.AddrPort) memory.Conditions {
			if from == first.address && to == asking.address {
				return memory.Conditions{Delay: keeperTimeout + 50*time.Millisecond}
			}
			return memory.Conditions{Delay: time.Millisecond}
		})
		permit := asking.Admit(t.Context(), key)
		if permit.Verdict() != Apart {
			t.Fatalf("verdict is %s", permit.Verdict())
		}
		permit.Begin(c.handle(asking, 0), nil).End(t.Context(), Other)
		permit.Release()
		time.Sleep(2*grantDuration + refreshInterval)
		for _, member := range c.nodes {
			member.mutex.Lock()
			if ended := member.evidence.endCount(key); ended != 1 {
				t.Errorf("%s counts %d ended replicas, want 1", member.id, ended)
			}
			member.mutex.Unlock()
		}
	})
}

func TestNextKeepersAreAskedWhereSeveralAreGone(t *testing.T) {
	inCluster(t, 8, 4, func(t *testing.T, c *cluster) {
		key := keyOf("a")
		c.nodes[0].Recall(key, recordedEnds(1), 0)
		time.Sleep(50 * time.Millisecond)
		gone, asking := []*node{c.nodeOf(key, 0), c.nodeOf(key, 1), c.nodeOf(key, 2), c.nodeOf(key, 3)}, c.nodeOf(key, 7)
		for _, member := range gone {
			c.kill(member)
		}
		permit := asking.Admit(t.Context(), key)
		defer permit.Release()
		if permit.Verdict() != Apart {
			t.Errorf("verdict is %s", permit.Verdict())
		}
	})
}

func TestLateRenewalRevivesNoGrant(t *testing.T) {
	inCluster(t, 1, 2, func(t *testing.T, c *cluster) {
		member, key, now := c.nodes[0], keyOf("a"), time.Now()
		member.Recall(key, recordedEnds(1), 0)
		request := &quarantinepb.GrantRequest{Message: keyBytes(key), Run: 7}
		for _, step := range []struct {
			run  uint64
			want quarantinepb.Verdict
		}{{7, quarantinepb.Verdict_VERDICT_GRANTED}, {7, quarantinepb.Verdict_VERDICT_GRANTED}, {8, quarantinepb.Verdict_VERDICT_BUSY}} {
			request.Run = step.run
			if got := member.handleGrant(request, now).GetVerdict(); got != step.want {
				t.Errorf("answer to run %d is %s, want %s", step.run, got, step.want)
			}
		}
		member.handleRelease(&quarantinepb.ReleaseRequest{Message: keyBytes(key), Run: 7}, now)
		request.Run = 7
		if got := member.handleGrant(request, now).GetVerdict(); got != quarantinepb.Verdict_VERDICT_BUSY {
			t.Errorf("answer to a renewal after the release is %s, want busy", got)
		}
		request.Run = 8
		if got := member.handleGrant(request, now).GetVerdict(); got != quarantinepb.Verdict_VERDICT_GRANTED {
			t.Errorf("answer to the next run is %s, want granted", got)
		}
	})
}

func TestMalformedKeysAreRejected(t *testing.T) {
	inCluster(t, 1, 1, func(t *testing.T, c *cluster) {
		member, now := c.nodes[0], time.Now()
		if got := member.handleGrant(&quarantinepb.GrantRequest{Message: []byte("short")}, now).GetVerdict(); got != quarantinepb.Verdict_VERDICT_REJECTED {
			t.Errorf("verdict is %s", got)
		}
		member.handleRelease(&quarantinepb.ReleaseRequest{Message: []byte("short")}, now)
		malformed := &quarantinepb.Notice{
			Incidents: []*quarantinepb.Incident{{Replica: 1, AgeMillis: 1 << 63, Suspects: []*quarantinepb.Suspect{{Message: []byte("short")}}}},
			Losses:    []*quarantinepb.Loss{{Message: []byte("short"), Run: 1}},
		}
		member.join(malformed, now)
		if len(member.evidence.incidents)+len(member.evidence.losses) != 0 {
			t.Error("evidence with a malformed key is stored")
		}
	})
}

func TestMessageWaitsForTheInquiry(t *testing.T) {
	inCluster(t, 1, 3, func(t *testing.T, c *cluster) {
		member, key := c.nodes[0], keyOf("a")
		handle := c.handle(member, 0)
		run := member.Admit(t.Context(), key).Begin(handle, nil)
		c.machines.end(handle.Info().Address)
		go run.End(t.Context(), Lost)
		time.Sleep(100 * time.Microsecond)
		permit := member.Admit(t.Context(), key)
		defer permit.Release()
		if permit.Verdict() != Apart {
			t.Errorf("verdict is %s while an inquiry into the replica is under way, want apart", permit.Verdict())
		}
	})
}

func TestSuspectsKeepAwayFromEachOther(t *testing.T) {
	inCluster(t, 1, 3, func(t *testing.T, c *cluster) {
		member := c.nodes[0]
		member.Recall(keyOf("a"), recordedEnds(1), 0)
		member.Recall(keyOf("b"), recordedEnds(2), 0)
		permitA, permitB, permitC := member.Admit(t.Context(), keyOf("a")), member.Admit(t.Context(), keyOf("b")), member.Admit(t.Context(), keyOf("c"))
		defer permitA.Release()
		defer permitB.Release()
		first, second := c.handle(member, 0), c.handle(member, 1)
		permitA.Begin(first, nil)
		permitC.Begin(second, nil)
		if occupied := permitB.Occupied(); len(occupied) != 1 || occupied[0] != first {
			t.Errorf("%d replicas are occupied by other suspects, want only the first", len(occupied))
		}
		if occupied := permitC.Occupied(); len(occupied) != 0 {
			t.Error("occupied replicas are returned for a message that is not suspected")
		}
	})
}

func TestOthersAvoidTheEndedReplica(t *testing.T) {
	inCluster(t, 3, 3, func(t *testing.T, c *cluster) {
		handle := c.handle(c.nodes[0], 0)
		there := c.nodes[2].directory.View().Find(handle.Info().ID)
		run := c.nodes[0].Admit(t.Context(), keyOf("a")).Begin(handle, nil)
		c.machines.end(handle.Info().Address)
		run.End(t.Context(), Lost)
		time.Sleep(20 * time.Millisecond)
		if !there.Down(time.Now()) {
			t.Error("a node without a run at the ended replica does not avoid it")
		}
	})
}

func TestOpenConnectionShowsThatTheProcessIsThere(t *testing.T) {
	inCluster(t, 1, 1, func(t *testing.T, c *cluster) {
		member := c.nodes[0]
		handle := c.handle(member, 0)
		replicas := &replicatest.Network{
			Scripts: map[netip.AddrPort]replicatest.Script{handle.Info().Address: replicatest.Answer(200, replicatest.Signed, "x")},
		}
		defer replicas.CloseAll()
		answer, err := replica.NewClient(replicas, replicatest.Headers).Do(t.Context(), handle, replica.Call{
			Method:    http.MethodGet,
			Target:    "/",
			Host:      "h",
			Header:    http.Header{"X-Id": {"1"}},
			RequestID: "1",
		})
		if err != nil {
			t.Fatal(err)
		}
		if _, err := answer.Body.Read(make([]byte, 2)); err != nil {
			t.Logf("read to the end: %v", err)
		}
		answer.Close(true)
		if !handle.KeptAlive() {
			t.Fatal("no connection is kept alive")
		}
		run := member.Admit(t.Context(), keyOf("a")).Begin(handle, nil)
		c.machines.end(handle.Info().Address)
		if run.End(t.Context(), Lost) {
			t.Error("the replica was found to have ended while a connection to it was open")
		}
	})
}

// TestRunReleasedBeforeItsRequestIsNotGranted guards items against rejection by a grant that nobody held. A
// keeper was paused while the owner asked three times without reaching it and released each request, with nine calls
// that failed. When the keeper continued it handled the requests in any order, gave a grant after its release, and
// counted its lapse as a third ended replica: the item was held back for good, though only two replicas had ended.
func TestRunReleasedBeforeItsRequestIsNotGranted(t *testing.T) {
	inCluster(t, 1, 2, func(t *testing.T, c *cluster) {
		member, key := c.nodes[0], keyOf("a")
		member.Recall(key, recordedEnds(1), 0)
		for _, run := range []uint64{7, 8, 9} {
			member.handleRelease(&quarantinepb.ReleaseRequest{Message: keyBytes(key), Run: run}, time.Now())
		}
		for _, run := range []uint64{7, 8, 9} {
			if got := member.handleGrant(&quarantinepb.GrantRequest{Message: keyBytes(key), Run: run}, time.Now()).GetVerdict(); got != quarantinepb.Verdict_VERDICT_BUSY {
				t.Errorf("answer to run %d is %s, want busy", run, got)
			}
		}
		time.Sleep(2*grantDuration + 2*refreshInterval)
		member.mutex.Lock()
		if ended := member.evidence.endCount(key); ended != 1 {
			t.Errorf("%d ends are counted, want 1", ended)
		}
		member.mutex.Unlock()
		if got := member.handleGrant(&quarantinepb.GrantRequest{Message: keyBytes(key), Run: 10}, time.Now()).GetVerdict(); got != quarantinepb.Verdict_VERDICT_GRANTED {
			t.Errorf("answer to the next run is %s, want granted", got)
		}
	})
}

// TestItemIsNotGrantedBesideAPausedKeeper guards innocent items: their first keeper, an owner itself, was paused while it ran an item under
// its own grant; the next keeper granted the next owner's run beside it, and replicas ended under both. An item waits until the members
// know that its keeper is gone. A request, whose caller waits, does not.
func TestItemIsNotGrantedBesideAPausedKeeper(t *testing.T) {
	for name, test := range map[string]struct {
		item bool
		want Verdict
	}{
		"item":    {true, Rejected},
		"request": {false, Apart},
	} {
		t.Run(name, func(t *testing.T) {
			inCluster(t, 4, 8, func(t *testing.T, c *cluster) {
				key := keyOf("a")
				c.nodes[0].Recall(key, recordedEnds(1), 0)
				time.Sleep(50 * time.Millisecond)
				paused, next := c.nodeOf(key, 0), c.nodeOf(key, 3)
				admit := next.Admit
				if test.item {
					admit = next.AdmitItem
				}
				held := paused.AdmitItem(t.Context(), key)
				defer held.Release()
				held.Begin(c.handle(paused, 0), nil)
				c.cut(paused)
				permit := admit(t.Context(), key)
				if permit.Verdict() != test.want {
					t.Errorf("verdict beside the run of the paused keeper is %s, want %s", permit.Verdict(), test.want)
				}
				permit.Release()
				c.agree()
				permit = admit(t.Context(), key)
				defer permit.Release()
				if permit.Verdict() != Apart {
					t.Errorf("verdict once the keeper is known to be gone is %s, want apart", permit.Verdict())
				}
			})
		})
	}
}

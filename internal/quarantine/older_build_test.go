package quarantine

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	quarantinepb "github.com/sloelift/sloelift/api/proto/quarantine"
	"github.com/sloelift/sloelift/internal/membership"
	"github.com/sloelift/sloelift/internal/replica"
	"github.com/sloelift/sloelift/internal/transport"
	"github.com/sloelift/sloelift/internal/transport/memory"
)

// oldNode speaks the messages of an older build: its incidents have no progress, and as keeper it counts the ends that are not
// cleared, the third of which rejects a message.
type oldNode struct {
	member    membership.Member
	transport *memory.Transport

	mutex sync.Mutex
	// cleared holds the ended replicas that the node knows for each message, and whether they are cleared.
	cleared map[Key]map[replica.Key]bool
	// granted holds the runs that it granted, in order.
	granted []uint64
	// explains makes the node allow each message, as if another message explained its ends.
	explains bool
}

// startOldNode adds an old node to the cluster and to the views of all its nodes.
func startOldNode(t *testing.T, c *cluster) *oldNode {
	t.Helper()
	old := &oldNode{cleared: map[Key]map[replica.Key]bool{}}
	old.member = membership.Member{ID: "old", PeerAddress: netip.MustParseAddrPort("127.0.0.1:9900"), State: membership.Alive}
	var err error
	if old.transport, err = memory.NewTransport(c.network, old.member.PeerAddress, prometheus.NewRegistry()); err != nil {
		t.Fatal(err)
	}
	transport.Handle(old.transport, methodNotice, func() *quarantinepb.Notice { return &quarantinepb.Notice{} },
		func(_ context.Context, _ netip.AddrPort, notice *quarantinepb.Notice) (*quarantinepb.Notice, error) {
			old.join(notice.GetIncidents())
			return &quarantinepb.Notice{}, nil
		})
	transport.Handle(old.transport, methodList, func() *quarantinepb.ListRequest { return &quarantinepb.ListRequest{} },
		func(context.Context, netip.AddrPort, *quarantinepb.ListRequest) (*quarantinepb.ListResponse, error) {
			return &quarantinepb.ListResponse{}, nil
		})
	transport.Handle(old.transport, methodGrant, func() *quarantinepb.GrantRequest { return &quarantinepb.GrantRequest{} },
		func(_ context.Context, _ netip.AddrPort, request *quarantinepb.GrantRequest) (*quarantinepb.GrantResponse, error) {
			old.join(request.GetIncidents())
			return &quarantinepb.GrantResponse{Verdict: old.decide(Key(request.GetMessage()), request.GetRun())}, nil
		})
	transport.Handle(old.transport, methodRelease, func() *quarantinepb.ReleaseRequest { return &quarantinepb.ReleaseRequest{} },
		func(_ context.Context, _ netip.AddrPort, request *quarantinepb.ReleaseRequest) (*quarantinepb.ReleaseResponse, error) {
			old.join(request.GetIncidents())
			return &quarantinepb.ReleaseResponse{}, nil
		})
	old.transport.Start()
	t.Cleanup(old.transport.Stop)
	for _, member := range c.nodes {
		old.showTo(member)
	}
	return old
}

// showTo adds the old node to a node's view.
func (o *oldNode) showTo(viewer *node) {
	known := viewer.view.View()
	viewer.view.Set(&membership.View{Self: known.Self, Members: append([]membership.Member{o.member}, known.Members...)})
}

func (o *oldNode) join(incidents []*quarantinepb.Incident) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	for _, end := range incidents {
		for _, suspected := range end.GetSuspects() {
			key, ended := Key(suspected.GetMessage()), replica.Key(end.GetReplica())
			if o.cleared[key] == nil {
				o.cleared[key] = map[replica.Key]bool{}
			}
			o.cleared[key][ended] = o.cleared[key][ended] || suspected.GetCleared()
		}
	}
}

func (o *oldNode) decide(key Key, run uint64) quarantinepb.Verdict {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	ended := 0
	for _, cleared := range o.cleared[key] {
		if !cleared {
			ended++
		}
	}
	switch {
	case o.explains:
		return quarantinepb.Verdict_VERDICT_ALLOWED
	case ended >= maxEndedReplicas:
		return quarantinepb.Verdict_VERDICT_REJECTED
	case ended == 0:
		return quarantinepb.Verdict_VERDICT_ALLOWED
	default:
		if len(o.granted) == 0 || o.granted[len(o.granted)-1] != run {
			o.granted = append(o.granted, run)
		}
		return quarantinepb.Verdict_VERDICT_GRANTED
	}
}

// lastGranted returns the run that the node granted last.
func (o *oldNode) lastGranted(t *testing.T) uint64 {
	t.Helper()
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if len(o.granted) == 0 {
		t.Fatal("the old keeper granted no run")
	}
	return o.granted[len(o.granted)-1]
}

// send sends incidents to all nodes of the cluster, and adds them to what the old node knows.
func (o *oldNode) send(t *testing.T, c *cluster, incidents ...*quarantinepb.Incident) {
	t.Helper()
	o.join(incidents)
	for _, member := range c.nodes {
		if err := o.transport.Send(member.address, methodNotice, &quarantinepb.Notice{Incidents: incidents}); err != nil {
			t.Fatal(err)
		}
	}
	time.Sleep(50 * time.Millisecond)
}

// keptBy returns a message whose first keeper, in the view of the cluster's first node, is the member.
func keptBy(t *testing.T, c *cluster, id membership.NodeID) Key {
	t.Helper()
	for number := range 1000 {
		if key := keyOf(fmt.Sprint("item-", number)); keepers(c.nodes[0].view.View(), key)[0].ID == id {
			return key
		}
	}
	t.Fatalf("%s keeps no message", id)
	return Key{}
}

// oldIncident is the end of a replica as a node of an older build reports it.
func oldIncident(ended replica.Key, key Key, age, ran time.Duration, granted bool) *quarantinepb.Incident {
	return &quarantinepb.Incident{Replica: uint64(ended), AgeMillis: uint64(age.Milliseconds()), Suspects: []*quarantinepb.Suspect{
		{Message: key[:], RanMillis: uint32(ran.Milliseconds()), Granted: granted},
	}}
}

// endsOfOldNode returns the notice by which a node of an older build reports ends of replicas under a message, one
// second apart.
func endsOfOldNode(key Key, ended ...replica.Key) *quarantinepb.Notice {
	notice := &quarantinepb.Notice{}
	for index, replicaKey := range ended {
		age := time.Duration(len(ended)-index) * time.Second
		notice.Incidents = append(notice.Incidents, oldIncident(replicaKey, key, age, 100*time.Millisecond, index > 0))
	}
	return notice
}

// runDeciding makes the deciding run of an item and reports the end of its replica.
func (n *node) runDeciding(c *cluster, key Key) {
	permit := n.AdmitItem(c.t.Context(), key)
	defer permit.Release()
	if permit.Verdict() != Apart {
		c.t.Fatalf("verdict of the keeper is %s, want apart", permit.Verdict())
	}
	handle := c.placeRun(n, permit, key, 0)
	run := permit.Begin(handle, nil)
	c.crash(handle, key)
	run.End(c.t.Context(), Lost)
}

// TestItemIsNotRejectedByRunsOfAnOlderBuild guards items against rejection by ends that owners of an older build
// report: such owners make the last run in the middle of a series of crashes. A deciding run of this build is granted,
// and its end rejects the item at all nodes.
func TestItemIsNotRejectedByRunsOfAnOlderBuild(t *testing.T) {
	inCluster(t, 4, 8, func(t *testing.T, c *cluster) {
		owner, key := c.nodes[0], keyOf("item")
		for _, member := range c.nodes {
			member.join(endsOfOldNode(key, 1, 2, 3), time.Now())
		}
		wantVerdict(t, owner, key, Rejected)
		if got := owner.CheckItem(key); got != Apart {
			t.Errorf("verdict on the item is %s, want apart", got)
		}
		if !owner.NextEndRejects(key) {
			t.Error("the next run is not the deciding one")
		}
		time.Sleep(50 * time.Millisecond)
		for _, member := range c.nodes {
			wantVerdict(t, member, key, Apart)
		}
		owner.runDeciding(c, key)
		time.Sleep(50 * time.Millisecond)
		for _, member := range c.nodes {
			wantVerdict(t, member, key, Rejected)
			if got := member.CheckItem(key); got != Rejected {
				t.Errorf("verdict on the item at %s is %s, want rejected", member.id, got)
			}
		}
	})
}

// TestItemWithEndsOfBothBuildsIsRejectedByItsDecidingRun guards the bound of three replicas: where owners of the build
// before ended two, the end of one deciding run is enough.
func TestItemWithEndsOfBothBuildsIsRejectedByItsDecidingRun(t *testing.T) {
	inCluster(t, 4, 8, func(t *testing.T, c *cluster) {
		owner, key := c.nodes[0], keyOf("item")
		owner.join(endsOfOldNode(key, 1, 2), time.Now())
		owner.CheckItem(key)
		time.Sleep(50 * time.Millisecond)
		owner.runDeciding(c, key)
		time.Sleep(50 * time.Millisecond)
		for _, member := range c.nodes {
			wantVerdict(t, member, key, Rejected)
		}
	})
}

// TestRequestIsRejectedByRunsOfAnOlderBuild guards that a message which no owner knows as that of an item stays
// rejected after three ends, whichever build reports them.
func TestRequestIsRejectedByRunsOfAnOlderBuild(t *testing.T) {
	inCluster(t, 4, 8, func(t *testing.T, c *cluster) {
		key := keyOf("request")
		c.nodes[0].join(endsOfOldNode(key, 1, 2, 3), time.Now())
		time.Sleep(3 * refreshInterval * time.Duration(len(c.nodes)))
		for _, member := range c.nodes {
			wantVerdict(t, member, key, Rejected)
		}
	})
}

// TestProvisionalRejectionIsNotRecorded guards against a rejection that outlives its correction: nodes that start after
// it is written to the key-value service would keep the item back for ten minutes.
func TestProvisionalRejectionIsNotRecorded(t *testing.T) {
	inCluster(t, 3, 8, func(t *testing.T, c *cluster) {
		owner, key := c.nodes[0], keyOf("item")
		for _, member := range c.nodes {
			member.join(endsOfOldNode(key, 1, 2, 3), time.Now())
		}
		time.Sleep(3 * refreshInterval)
		if written := c.store.Len(); written != 0 {
			t.Errorf("%d records were written, want none", written)
		}
		owner.CheckItem(key)
		time.Sleep(50 * time.Millisecond)
		owner.runDeciding(c, key)
		time.Sleep(3 * refreshInterval)
		if written := c.store.Len(); written != 1 {
			t.Errorf("%d records were written after the deciding run, want 1", written)
		}
	})
}

// TestLapseAtAnOldKeeperIsNoEnd guards a message against being rejected for grants that lapsed at a keeper of an older build, which
// reports them as ends of replicas under the numbers of the runs, though the replicas live.
func TestLapseAtAnOldKeeperIsNoEnd(t *testing.T) {
	inCluster(t, 3, 8, func(t *testing.T, c *cluster) {
		// All nodes have read the records before.
		time.Sleep(askTime)
		old, owner := startOldNode(t, c), c.nodes[1]
		key := keptBy(t, c, old.member.ID)
		old.send(t, c, oldIncident(1, key, time.Second, 300*time.Millisecond, false))
		for range 2 {
			permit := owner.AdmitItem(t.Context(), key)
			if permit.Verdict() != Apart {
				t.Fatalf("verdict is %s", permit.Verdict())
			}
			run := permit.Begin(c.handle(owner, 3), nil)
			old.send(t, c, oldIncident(replica.Key(old.lastGranted(t)), key, 200*time.Millisecond, unseenRunDuration, false))
			run.End(t.Context(), Other)
			permit.Release()
			time.Sleep(100 * time.Millisecond)
		}
		for _, member := range c.nodes {
			wantVerdict(t, member, key, Apart)
			member.mutex.Lock()
			if ended := member.evidence.endCount(key); ended != 1 {
				t.Errorf("%s counts %d ended replicas, want 1: %v", member.id, ended, member.evidence.describeEvidence(key, time.Now()))
			}
			member.mutex.Unlock()
		}
	})
}

// TestLapseStaysUnseenThroughAnOldNode guards a message against being rejected for grants of this build's keeper that lapsed: a node of
// an older build relays them without the mark that nobody saw an end.
func TestLapseStaysUnseenThroughAnOldNode(t *testing.T) {
	inCluster(t, 3, 8, func(t *testing.T, c *cluster) {
		// All nodes have read the records before.
		time.Sleep(askTime)
		old, keeper := startOldNode(t, c), c.nodes[0]
		key := keptBy(t, c, keeper.id)
		old.send(t, c, oldIncident(1, key, time.Second, 300*time.Millisecond, false))
		lapsed := []uint64{7, 8}
		for _, run := range lapsed {
			response := &quarantinepb.GrantResponse{}
			request := &quarantinepb.GrantRequest{Message: keyBytes(key), Run: run}
			if err := old.transport.Call(t.Context(), keeper.address, methodGrant, request, response); err != nil {
				t.Fatal(err)
			}
			if got := response.GetVerdict(); got != quarantinepb.Verdict_VERDICT_GRANTED {
				t.Fatalf("the keeper's answer is %s", got)
			}
			time.Sleep(2*grantDuration + refreshInterval)
		}
		for _, member := range c.nodes {
			wantVerdict(t, member, key, Apart)
		}
		for _, run := range lapsed {
			old.send(t, c, oldIncident(replica.Key(run), key, time.Second, unseenRunDuration, false))
		}
		for _, member := range c.nodes {
			wantVerdict(t, member, key, Apart)
		}
	})
}

// TestItemWithOneEndOfAnOlderBuildIsRejectedAsBefore guards the bound of three replicas: two owners of this build, the
// first of which was paused, ran an item beside each other under grants, and one end at an owner of an older build is
// no reason for a fourth.
func TestItemWithOneEndOfAnOlderBuildIsRejectedAsBefore(t *testing.T) {
	now, key := time.Unix(1_000_000, 0), keyOf("item")
	store := newEvidenceStore()
	store.join(endsOfOldNode(key, 1).GetIncidents(), now)
	store.markItem(key)
	for number := range 2 {
		store.add(replica.Key(number+2), now.Add(time.Duration(number+1)*time.Second), key,
			suspect{runDuration: 300 * time.Millisecond, granted: true, progressed: true, reached: 30, reachedKnown: true, item: true, origin: originSeen})
	}
	if got := store.verdict(key); got != Rejected {
		t.Errorf("verdict is %s, want rejected", got)
	}
}

// TestRunThatItsOwnerDidNotDeferDecidesNothing guards an item that ends no replica: a node of an older build reports a third end while the
// item's owner waits for its grant. The owner then regards the message as rejected, does not defer the granted run, and makes it in the
// middle of a series of crashes; the end of its replica must not reject the item.
func TestRunThatItsOwnerDidNotDeferDecidesNothing(t *testing.T) {
	inCluster(t, 3, 8, func(t *testing.T, c *cluster) {
		owner, key := c.nodes[0], keyOf("item")
		owner.join(endsOfOldNode(key, 1, 2), time.Now())
		owner.CheckItem(key)
		permit := owner.AdmitItem(t.Context(), key)
		defer permit.Release()
		if permit.Verdict() != Apart {
			t.Fatalf("verdict of the keeper is %s, want apart", permit.Verdict())
		}
		owner.join(endsOfOldNode(key, 3), time.Now())
		deferred := owner.NextEndRejects(key)
		handle := c.placeRun(owner, permit, key, 0)
		run := permit.Begin(handle, nil)
		c.crash(handle, keyOf("cause"))
		run.End(t.Context(), Lost)
		if got := owner.CheckItem(key); !deferred && got != Apart {
			t.Errorf("the item is %s after a run that was not deferred, want apart", got)
		}
	})
}

// TestRunThatAnOldKeeperAllowsDecides guards the bound of one replica more for an item that met three ends at owners of an older build:
// its keeper, of that build, took the ends for those of other messages and allowed the run that the owner had deferred. The run had no
// grant, so that its end decided nothing, and the item ended a replica more.
func TestRunThatAnOldKeeperAllowsDecides(t *testing.T) {
	inCluster(t, 3, 8, func(t *testing.T, c *cluster) {
		old := startOldNode(t, c)
		old.explains = true
		owner, key := c.nodes[0], keptBy(t, c, old.member.ID)
		for _, member := range c.nodes {
			member.join(endsOfOldNode(key, 1, 2, 3), time.Now())
		}
		if owner.CheckItem(key) != Apart || !owner.NextEndRejects(key) {
			t.Fatal("the owner does not defer the next run")
		}
		permit := owner.AdmitItem(t.Context(), key)
		defer permit.Release()
		if permit.Verdict() != Allowed {
			t.Fatalf("verdict of the keeper is %s, want allowed", permit.Verdict())
		}
		handle := c.handle(owner, 0)
		run := permit.Begin(handle, nil)
		c.crash(handle, key)
		run.End(t.Context(), Lost)
		time.Sleep(50 * time.Millisecond)
		for _, member := range c.nodes {
			wantVerdict(t, member, key, Rejected)
		}
	})
}

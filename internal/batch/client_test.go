package batch

import (
	"context"
	"net/netip"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	batchpb "github.com/sloelift/sloelift/api/proto/batch"
	"github.com/sloelift/sloelift/internal/ledger"
	"github.com/sloelift/sloelift/internal/membership"
	"github.com/sloelift/sloelift/internal/outcome"
	"github.com/sloelift/sloelift/internal/region"
	"github.com/sloelift/sloelift/internal/route"
	"github.com/sloelift/sloelift/internal/transport"
	"github.com/sloelift/sloelift/internal/transport/memory"
)

// fixedLocator always locates the same owner.
type fixedLocator struct{ owner netip.AddrPort }

func (l fixedLocator) Partitions() int                         { return 1 }
func (l fixedLocator) PartitionOf(string) ledger.PartitionID   { return 0 }
func (l fixedLocator) Owner(ledger.PartitionID) (string, bool) { return l.owner.String(), true }

// fixedHomes confines jobs to the partitions within; without any, it confines nothing.
type fixedHomes struct {
	within   []ledger.PartitionID
	refusal  *outcome.Error
	settling bool
	// outside contains the zones that may hold nothing of the partitions within.
	outside map[string]bool
}

func (h *fixedHomes) ConfinedPartition(string, region.Set) (ledger.PartitionID, error) {
	if h.refusal != nil {
		return 0, h.refusal
	}
	return h.within[0], nil
}
func (h *fixedHomes) ConfinedPartitions(string) []ledger.PartitionID      { return h.within }
func (h *fixedHomes) ConfinementChanged() bool                            { return h.settling }
func (h *fixedHomes) DescribePartition(ledger.PartitionID) ([]byte, bool) { return nil, true }
func (h *fixedHomes) LearnPartition([]byte) error                         { return nil }
func (h *fixedHomes) MayHold(partition ledger.PartitionID, zone string) bool {
	return !slices.Contains(h.within, partition) || !h.outside[zone]
}

type fixedView struct{ view *membership.View }

func (v fixedView) View() *membership.View                  { return v.view }
func (v fixedView) Subscribe(func(*membership.View)) func() { return func() {} }

// testEdges are two edges and an owner on one network.
type testEdges struct {
	network *memory.Network
	clients []*Client
	homes   *fixedHomes
	owner   netip.AddrPort
	stop    func()
}

func testAddress(port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), port)
}

// newEdges starts an owner that answers submissions with answer.
func newEdges(t *testing.T, answer func() (*batchpb.SubmitResponse, error)) *testEdges {
	t.Helper()
	return newEdgesWith(t, func(owner *memory.Transport) {
		transport.Handle(owner, methodSubmit, func() *batchpb.SubmitRequest { return &batchpb.SubmitRequest{} },
			func(context.Context, netip.AddrPort, *batchpb.SubmitRequest) (*batchpb.SubmitResponse, error) {
				return answer()
			})
	})
}

// otherZone is the zone of the second edge.
const otherZone = "other"

// newEdgesWith starts an owner with the methods that register adds.
func newEdgesWith(t *testing.T, register func(owner *memory.Transport)) *testEdges {
	t.Helper()
	created := &testEdges{homes: &fixedHomes{}, network: memory.NewNetwork(1), owner: testAddress(9000)}
	created.network.SetConditions(func(netip.AddrPort, netip.AddrPort) memory.Conditions {
		return memory.Conditions{Delay: time.Millisecond}
	})
	var transports []*memory.Transport
	connect := func(address netip.AddrPort) *memory.Transport {
		started, err := memory.NewTransport(created.network, address, prometheus.NewRegistry())
		if err != nil {
			t.Fatal(err)
		}
		transports = append(transports, started)
		return started
	}
	register(connect(created.owner))
	members := []membership.Member{
		{ID: "e1", PeerAddress: testAddress(9001)},
		{ID: "e2", PeerAddress: testAddress(9002), Zone: otherZone},
		{ID: "s", PeerAddress: created.owner, Store: true},
	}
	for _, self := range members[:2] {
		edge := connect(self.PeerAddress)
		view := fixedView{&membership.View{Self: self.ID, Members: members}}
		created.clients = append(created.clients, NewClient(fixedLocator{created.owner}, created.homes, edge, edge, view, zerolog.Nop()))
	}
	for _, endpoint := range transports {
		endpoint.Start()
	}
	created.stop = func() {
		for _, endpoint := range transports {
			endpoint.Stop()
		}
	}
	return created
}

var batchRoute = &route.Route{Name: "r", Kind: route.Batch}

func TestSubmitKeepsItsPromise(t *testing.T) {
	for _, test := range []struct {
		name   string
		answer func() (*batchpb.SubmitResponse, error)
		want   outcome.Outcome
		reason outcome.Reason
	}{
		{"accepted", func() (*batchpb.SubmitResponse, error) { return &batchpb.SubmitResponse{Accepted: true}, nil }, outcome.Completed, ""},
		{"over the quota", func() (*batchpb.SubmitResponse, error) { return &batchpb.SubmitResponse{OverQuota: true}, nil }, outcome.NotRun, outcome.ReasonRateLimited},
		{"never an owner", func() (*batchpb.SubmitResponse, error) { return nil, errNotOwner() }, outcome.NotRun, outcome.ReasonUnavailable},
		{"full", func() (*batchpb.SubmitResponse, error) {
			return nil, outcome.New(outcome.NotRun, outcome.ReasonStorageFull, "full")
		}, outcome.NotRun, outcome.ReasonStorageFull},
		{"unknown", func() (*batchpb.SubmitResponse, error) {
			return nil, outcome.New(outcome.Indeterminate, outcome.ReasonUnavailable, "lost")
		}, outcome.Indeterminate, outcome.ReasonUnavailable},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cluster := newEdges(t, test.answer)
				defer cluster.stop()
				began := time.Now()
				err := cluster.clients[0].Submit(t.Context(), testSubmission("j", 1), batchRoute, region.Set{})
				if outcome.Of(err) != test.want || (err != nil && outcome.As(err).Reason != test.reason) {
					t.Errorf("submission ends with %v", err)
				}
				if took := time.Since(began); took > submitTimeout+time.Millisecond {
					t.Errorf("it took %s", took)
				}
			})
		})
	}
}

// TestOwnerOutOfReachIsAskedThroughAnotherEdge checks that an edge that is cut off from the owner still gets its jobs accepted.
func TestOwnerOutOfReachIsAskedThroughAnotherEdge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newEdges(t, func() (*batchpb.SubmitResponse, error) { return &batchpb.SubmitResponse{Accepted: true}, nil })
		defer cluster.stop()
		cutOff := testAddress(9001)
		cluster.network.SetConditions(func(from, to netip.AddrPort) memory.Conditions {
			cut := (from == cutOff && to == cluster.owner) || (from == cluster.owner && to == cutOff)
			return memory.Conditions{Delay: time.Millisecond, Cut: cut}
		})
		if err := cluster.clients[0].Submit(t.Context(), testSubmission("j1", 1), batchRoute, region.Set{}); err != nil {
			t.Errorf("first submission: %v", err)
		}
		began := time.Now()
		if err := cluster.clients[0].Submit(t.Context(), testSubmission("j2", 1), batchRoute, region.Set{}); err != nil || time.Since(began) > 100*time.Millisecond {
			t.Errorf("second submission: %v after %s", err, time.Since(began))
		}
	})
}

package batch

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	batchpb "github.com/sloelift/sloelift/api/proto/batch"
	"github.com/sloelift/sloelift/internal/ledger"
	"github.com/sloelift/sloelift/internal/outcome"
	"github.com/sloelift/sloelift/internal/region"
	"github.com/sloelift/sloelift/internal/transport"
	"github.com/sloelift/sloelift/internal/transport/memory"
)

// unconfined is the partition for jobs that are not confined, home and formerHome are partitions for confined jobs; unrelated
// contains no jobs of the host.
const (
	unconfined = ledger.PartitionID(0)
	home       = ledger.PartitionID(1<<31 + 1)
	formerHome = ledger.PartitionID(1<<31 + 2)
	unrelated  = ledger.PartitionID(1)
)

// testHomes is testEdges whose owner has partitions with jobs. Silent partitions have no owner that answers.
type testHomes struct {
	*testEdges
	mutex     sync.Mutex
	jobs      map[ledger.PartitionID][]string
	silent    map[ledger.PartitionID]bool
	submitted []ledger.PartitionID
}

func newTestHomes(t *testing.T) *testHomes {
	t.Helper()
	homes := &testHomes{jobs: map[ledger.PartitionID][]string{}, silent: map[ledger.PartitionID]bool{}}
	homes.testEdges = newEdgesWith(t, func(owner *memory.Transport) {
		transport.Handle(owner, methodSubmit, func() *batchpb.SubmitRequest { return &batchpb.SubmitRequest{} },
			func(_ context.Context, _ netip.AddrPort, request *batchpb.SubmitRequest) (*batchpb.SubmitResponse, error) {
				homes.mutex.Lock()
				defer homes.mutex.Unlock()
				partition := ledger.PartitionID(request.Partition)
				homes.submitted = append(homes.submitted, partition)
				homes.jobs[partition] = append(homes.jobs[partition], request.Submission.JobId)
				return &batchpb.SubmitResponse{Accepted: true}, nil
			})
		transport.Handle(owner, methodRead, func() *batchpb.ReadRequest { return &batchpb.ReadRequest{} },
			func(_ context.Context, _ netip.AddrPort, request *batchpb.ReadRequest) (*batchpb.ReadResponse, error) {
				found, err := homes.has(request.Partition, request.JobId)
				return &batchpb.ReadResponse{Found: found}, err
			})
		transport.Handle(owner, methodEnd, func() *batchpb.EndRequest { return &batchpb.EndRequest{} },
			func(_ context.Context, _ netip.AddrPort, request *batchpb.EndRequest) (*batchpb.EndResponse, error) {
				found, err := homes.has(request.Partition, request.JobId)
				return &batchpb.EndResponse{Found: found}, err
			})
	})
	homes.homes.within = []ledger.PartitionID{home, formerHome}
	return homes
}

func (h *testHomes) has(partition uint32, job string) (bool, error) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.silent[ledger.PartitionID(partition)] {
		return false, errNotOwner()
	}
	return slices.Contains(h.jobs[ledger.PartitionID(partition)], job), nil
}

func TestConfinedJobsGoToTheirHome(t *testing.T) {
	noHome := outcome.New(outcome.NotRun, outcome.ReasonNoHome, "too few stores").After(time.Second)
	for _, test := range []struct {
		name     string
		regions  region.Set
		refusal  *outcome.Error
		settling bool
		jobIn    ledger.PartitionID
		silent   ledger.PartitionID
		want     []ledger.PartitionID
		reason   outcome.Reason
	}{
		{name: "not confined", silent: unrelated, jobIn: unrelated, want: []ledger.PartitionID{unconfined}},
		{name: "confined", regions: region.NewSet("north"), silent: unrelated, jobIn: unrelated, want: []ledger.PartitionID{home}},
		{name: "no place at home", regions: region.NewSet("north"), refusal: noHome, reason: outcome.ReasonNoHome, silent: unrelated, jobIn: unrelated},
		{name: "accepted elsewhere before homes changed", regions: region.NewSet("north"), settling: true, silent: unrelated, jobIn: formerHome},
		{name: "accepted at home before homes were widened", settling: true, silent: unrelated, jobIn: home},
		{
			name: "accepted nowhere before homes changed", regions: region.NewSet("north"), settling: true, silent: unrelated, jobIn: home,
			want: []ledger.PartitionID{home},
		},
		{
			name: "a former home does not answer", regions: region.NewSet("north"), settling: true, silent: formerHome,
			reason: outcome.ReasonUnavailable, jobIn: unrelated,
		},
		{
			name: "a former home does not answer long after", regions: region.NewSet("north"), silent: formerHome, jobIn: unrelated,
			want: []ledger.PartitionID{home},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				homes := newTestHomes(t)
				defer homes.stop()
				homes.homes.refusal, homes.homes.settling = test.refusal, test.settling
				homes.jobs[test.jobIn] = []string{"j"}
				homes.silent[test.silent] = true
				err := homes.clients[0].Submit(t.Context(), testSubmission("j", 1), batchRoute, test.regions)
				if failure := outcome.As(err); (err != nil) != (test.reason != "") ||
					(err != nil && (failure.Reason != test.reason || failure.Outcome != outcome.NotRun || failure.RetryAfter == 0)) {
					t.Errorf("submission ends with %v", err)
				}
				if !slices.Equal(homes.submitted, test.want) {
					t.Errorf("submitted to %v, want %v", homes.submitted, test.want)
				}
			})
		})
	}
}

func TestJobsAreFoundInAllHomes(t *testing.T) {
	for _, test := range []struct {
		name          string
		jobIn, silent ledger.PartitionID
		found, fails  bool
	}{
		{"anywhere", unconfined, unrelated, true, false},
		{"at home", home, unrelated, true, false},
		{"at the former home", formerHome, unrelated, true, false},
		{"at home while another does not answer", home, formerHome, true, false},
		{"nowhere", unrelated, unrelated, false, false},
		{"perhaps where nobody answers", unrelated, home, false, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				homes := newTestHomes(t)
				defer homes.stop()
				homes.jobs[test.jobIn] = []string{"j"}
				homes.silent[test.silent] = true
				caller := Caller{Host: testHost}
				response, err := homes.clients[0].Read(t.Context(), caller, "j", 0, 0)
				if (err != nil) != test.fails || (err == nil && response.Found != test.found) {
					t.Errorf("read: %v, %v", response, err)
				}
				ended, err := homes.clients[0].End(t.Context(), caller, "j")
				if (err != nil) != test.fails || (err == nil && ended.Found != test.found) {
					t.Errorf("end: %v, %v", ended, err)
				}
			})
		})
	}
}

// TestRelaysKeepToTheHomes checks that the body of a confined job is not relayed by an edge outside its homes, even if its owner is
// unreachable from the first edge.
func TestRelaysKeepToTheHomes(t *testing.T) {
	for name, outside := range map[string]bool{"edge in a home": false, "edge abroad": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				homes := newTestHomes(t)
				defer homes.stop()
				homes.homes.outside = map[string]bool{otherZone: outside}
				cutOff := testAddress(9001)
				homes.network.SetConditions(func(from, to netip.AddrPort) memory.Conditions {
					cut := (from == cutOff && to == homes.owner) || (from == homes.owner && to == cutOff)
					return memory.Conditions{Delay: time.Millisecond, Cut: cut}
				})
				err := homes.clients[0].Submit(t.Context(), testSubmission("j", 1), batchRoute, region.NewSet("north"))
				if (err != nil) != outside || (len(homes.submitted) == 0) != outside {
					t.Errorf("submission ends with %v, submitted to %v", err, homes.submitted)
				}
			})
		})
	}
}

package fleet

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	fleetpb "github.com/sloelift/sloelift/api/proto/fleet"
	"github.com/sloelift/sloelift/internal/engine"
	"github.com/sloelift/sloelift/internal/membership"
	"github.com/sloelift/sloelift/internal/platform"
)

// stateHarness drives the state of node n1 in zone z1 with events and keeps the last published directory.
type stateHarness struct {
	t         *testing.T
	state     *state
	now       time.Time
	directory *Directory
	actions   []action
}

func newStateHarness(t *testing.T, nodes ...string) *stateHarness {
	h := &stateHarness{t: t, state: newState(DefaultOptions(), "n1", "z1"), now: time.Unix(1000, 0)}
	view := &membership.View{Self: "n1"}
	for index, node := range nodes {
		var id, zone string
		_, _ = fmt.Sscanf(node, "%2s/%2s", &id, &zone)
		view.Members = append(view.Members, membership.Member{
			ID: membership.NodeID(id), Zone: zone, PeerAddress: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(index+1)),
		})
	}
	h.step(viewChanged{view: view})
	return h
}

func (h *stateHarness) step(input event) {
	h.actions = h.state.step(h.now, input)
	for _, output := range h.actions {
		if published, ok := output.(publishDirectory); ok {
			h.directory = published.directory
		}
	}
}

func (h *stateHarness) advance(duration time.Duration) {
	h.now = h.now.Add(duration)
	h.step(ticked{})
}

func machine(id, zone string, state platform.MachineState) platform.Machine {
	return platform.Machine{
		ID: id, Role: platform.RoleReplica, Zone: zone, State: state, Service: "chat",
		Address: netip.MustParseAddrPort("127.0.0.1:9000"),
	}
}

func (h *stateHarness) listMachines(version int64, machines ...platform.Machine) {
	h.step(machinesListed{listing: platform.MachineListing{Version: version, Machines: machines}})
}

func (h *stateHarness) report(sequence uint64, leaving bool) engine.LoadReport {
	return engine.LoadReport{Sequence: sequence, MeasuredAt: h.now, Running: int(sequence), MaxRunning: 16, Leaving: leaving}
}

// sent returns, for each load message and each leaving notice of the last step, the number of receivers.
func (h *stateHarness) sent() (loads, notices []int) {
	for _, output := range h.actions {
		switch typed := output.(type) {
		case sendDelta:
			loads = append(loads, len(typed.to))
		case sendNotice:
			notices = append(notices, len(typed.to))
		}
	}
	return loads, notices
}

func TestLeavingFromAnySourceIsFinal(t *testing.T) {
	hash := HashReplica("r1")
	sources := map[string]struct {
		input  func(h *stateHarness) event
		spread bool
	}{
		"machine list": {func(*stateHarness) event {
			return machinesListed{listing: platform.MachineListing{
				Version:  2,
				Machines: []platform.Machine{machine("r1", "z1", platform.MachineLeaving)},
			}}
		}, true},
		"load report": {func(h *stateHarness) event { return loadPolled{replica: "r1", report: h.report(1, true)} }, true},
		"own call":    {func(*stateHarness) event { return evidenceReported{replica: "r1", kind: evidenceLeaving} }, true},
		"notice": {func(*stateHarness) event {
			return noticeReceived{notice: &fleetpb.LeavingNotice{Replicas: []uint64{hash}}}
		}, false},
		"another home's load": {func(*stateHarness) event {
			return deltaReceived{delta: &fleetpb.LoadDelta{Loads: []*fleetpb.ReplicaLoad{{Replica: hash, Leaving: true}}}}
		}, false},
	}
	for name, source := range sources {
		t.Run(name, func(t *testing.T) {
			h := newStateHarness(t, "n1/z1", "n2/z2", "n3/z1")
			h.listMachines(1, machine("r1", "z1", platform.MachineLive))
			if h.directory.Find("r1").Leaving {
				t.Fatal("replica is leaving before any source reported it")
			}
			h.step(source.input(h))
			if !h.directory.Find("r1").Leaving {
				t.Fatal("leaving replica was not published in the same step")
			}
			if _, notices := h.sent(); source.spread != (len(notices) == 1 && notices[0] == 2) {
				t.Fatalf("receivers of leaving notices: %v", notices)
			}
			// Lagging sources contradict.
			h.listMachines(3, machine("r1", "z1", platform.MachineLive))
			h.step(loadPolled{replica: "r1", report: h.report(9, false)})
			h.advance(time.Minute)
			if !h.directory.Find("r1").Leaving {
				t.Fatal("a lagging source undid the leaving state")
			}
		})
	}
}

func TestLeavingNoticeBeforeTheMachineIsListed(t *testing.T) {
	h := newStateHarness(t, "n1/z1")
	h.step(noticeReceived{notice: &fleetpb.LeavingNotice{Replicas: []uint64{HashReplica("r1")}}})
	h.listMachines(1, machine("r1", "z1", platform.MachineLive))
	if !h.directory.Find("r1").Leaving {
		t.Fatal("a leaving notice received before the machine was listed had no effect")
	}
}

func TestOlderMachineListIsDropped(t *testing.T) {
	h := newStateHarness(t, "n1/z1")
	h.listMachines(5, machine("r1", "z1", platform.MachineLive), machine("r2", "z1", platform.MachineLive))
	h.listMachines(4)
	if len(h.directory.Replicas) != 2 {
		t.Fatal("an older machine list was applied")
	}
	h.listMachines(6, machine("r2", "z1", platform.MachineLive))
	if h.directory.Find("r1") != nil || h.directory.Find("r2") == nil {
		t.Fatal("a newer machine list was not applied")
	}
}

func TestFailedReplicaComesBackAfterBackoff(t *testing.T) {
	h := newStateHarness(t, "n1/z1")
	h.listMachines(1, machine("r1", "z1", platform.MachineLive))
	failed := func() bool { return h.directory.Find("r1").Failed }
	for _, backoff := range []time.Duration{time.Second, 2 * time.Second, 4 * time.Second, 8 * time.Second, 8 * time.Second} {
		h.step(evidenceReported{replica: "r1", kind: evidenceFailure})
		h.advance(backoff - time.Millisecond)
		if !failed() {
			t.Fatalf("replica is not failed any more before its backoff of %s", backoff)
		}
		h.advance(time.Millisecond)
		h.advance(h.state.options.PublishInterval)
		if failed() {
			t.Fatalf("replica is still failed after its backoff of %s", backoff)
		}
	}
	h.step(evidenceReported{replica: "r1", kind: evidenceFailure})
	h.step(loadPolled{replica: "r1", report: h.report(1, false)})
	h.advance(h.state.options.PublishInterval)
	if failed() {
		t.Fatal("a successful poll did not clear the failure")
	}
}

func TestUnreachableReplicaLosesItsReport(t *testing.T) {
	h := newStateHarness(t, "n1/z1")
	h.listMachines(1, machine("r1", "z1", platform.MachineLive))
	h.step(loadPolled{replica: "r1", report: h.report(1, false)})
	for range h.state.options.PollFailures {
		h.step(loadPolled{replica: "r1", failed: true})
	}
	if found := h.directory.Find("r1"); found.HasLoad || !found.Failed {
		t.Fatalf("replica after failed polls: %+v, want failed and without a load", found)
	}
}

func TestLoadIsSpreadOnlyWhenItChanged(t *testing.T) {
	h := newStateHarness(t, "n1/z1", "n2/z2", "n3/z2", "n4/z1")
	id := ""
	for index := 0; id == ""; index++ { // a replica of z1 that n1 is home to
		if home, _ := Home(h.state.members, fmt.Sprint("r", index), "z1"); home.ID == "n1" {
			id = fmt.Sprint("r", index)
		}
	}
	h.listMachines(1, machine(id, "z1", platform.MachineLive))
	h.now = h.now.Add(time.Second)
	report := h.report(1, false)
	h.step(loadPolled{replica: id, report: report})
	if loads, _ := h.sent(); fmt.Sprint(loads) != "[1 2]" {
		t.Fatalf("first load was sent to %v members, want 1 of its zone and 2 of the other", loads)
	}
	h.now = h.now.Add(100 * time.Millisecond)
	report.Sequence, report.MeasuredAt = 2, h.now
	h.step(loadPolled{replica: id, report: report})
	if loads, _ := h.sent(); loads != nil {
		t.Fatalf("an unchanged load was sent to %v members", loads)
	}
	h.now = h.now.Add(100 * time.Millisecond)
	report.Sequence, report.Running = 3, 7
	h.step(loadPolled{replica: id, report: report})
	if loads, _ := h.sent(); fmt.Sprint(loads) != "[1]" {
		t.Fatalf("a changed load was sent to %v members, want 1 of its zone", loads)
	}
}

func TestDeltaCarriesTheWholeReport(t *testing.T) {
	sender, receiver := newStateHarness(t, "n1/z1"), newStateHarness(t, "n2/z1")
	for _, h := range []*stateHarness{sender, receiver} {
		h.listMachines(1, machine("r1", "z1", platform.MachineLive))
	}
	report := engine.LoadReport{
		Sequence: 4, MeasuredAt: time.UnixMicro(77), Running: 1, RunningBatch: 2, Waiting: 3, WaitingBatch: 4, MaxRunning: 5,
		CacheBlocks: 6, CacheUsed: 7, StepMicros: 8, QueuedPrefill: 9, FenceToken: 10, Role: "mixed",
		Models: []engine.LoadedModel{
			{Model: "m", Version: "1", Adapters: []string{"a"}, State: "ready"},
			{Model: "n", Version: "2", State: "loading"},
		},
	}
	sender.step(loadPolled{replica: "r1", report: report})
	entry := sender.state.replicas["r1"]
	load := newLoadMessage(entry)
	load.Detail = newDetail(&entry.Load)
	receiver.step(deltaReceived{delta: &fleetpb.LoadDelta{Loads: []*fleetpb.ReplicaLoad{load}}})
	load = newLoadMessage(entry)
	load.Sequence = 5 // without detail, the known models are kept
	receiver.now = receiver.now.Add(time.Second)
	receiver.step(deltaReceived{delta: &fleetpb.LoadDelta{Loads: []*fleetpb.ReplicaLoad{load}}})
	report.Sequence = 5
	if got := receiver.directory.Find("r1").Load; fmt.Sprint(got) != fmt.Sprint(report) {
		t.Fatalf("got %+v, want %+v", got, report)
	}
}

func TestSummaryCarriesCountsAndSometimesDetail(t *testing.T) {
	sender, receiver := newStateHarness(t, "n1/z1", "n2/z2"), newStateHarness(t, "n2/z2")
	for _, h := range []*stateHarness{sender, receiver} {
		h.listMachines(1, machine("r1", "z1", platform.MachineLive))
	}
	exchange := func(report engine.LoadReport) *fleetpb.ReplicaLoad {
		sender.now = sender.now.Add(time.Second)
		report.MeasuredAt = sender.now
		sender.step(loadPolled{replica: "r1", report: report})
		for _, output := range sender.actions {
			if sent, ok := output.(sendDelta); ok {
				receiver.now = sender.now
				receiver.step(deltaReceived{delta: sent.delta})
				return sent.delta.GetLoads()[0]
			}
		}
		t.Fatal("no load was sent")
		return nil
	}
	models := []engine.LoadedModel{{Model: "m", Version: "1", State: "ready"}}
	first := exchange(engine.LoadReport{Sequence: 7, Running: 3, MaxRunning: 16, StepMicros: 4000, Models: models})
	second := exchange(engine.LoadReport{Sequence: 8, Running: 5, MaxRunning: 16, StepMicros: 4000, Models: models})
	restarted := exchange(engine.LoadReport{Sequence: 1, Running: 1, MaxRunning: 16, StepMicros: 4000, Models: models})
	if first.GetDetail() == nil || second.GetDetail() != nil || restarted.GetDetail() != nil {
		t.Fatalf("detail sent: %v, %v, %v", first.GetDetail(), second.GetDetail(), restarted.GetDetail())
	}
	if got := receiver.directory.Find("r1").Load; got.Sequence != 1 || got.Running != 1 ||
		got.StepMicros != 4000 || len(got.Models) != 1 {
		t.Fatalf("load known in the other zone: %+v", got)
	}
}

func TestEachReplicaHasOneHomeInItsZone(t *testing.T) {
	members := []membership.Member{
		{ID: "a", Zone: "z1"}, {ID: "b", Zone: "z1"}, {ID: "c", Zone: "z2"},
		{ID: "d", Zone: "z1", State: membership.Dead}, {ID: "e", Zone: "z1", State: membership.Leaving},
	}
	count := make(map[membership.NodeID]int)
	for index := range 1000 {
		home, ok := Home(members, fmt.Sprint("r", index), "z1")
		if !ok || home.Zone != "z1" || home.State != membership.Alive {
			t.Fatalf("home is %+v, want a live member of z1", home)
		}
		count[home.ID]++
	}
	if count["a"] < 400 || count["b"] < 400 {
		t.Fatalf("homes are unevenly distributed: %v", count)
	}
	if home, ok := Home(members, "r", "z9"); !ok || home.ID == "" {
		t.Fatal("a replica in a zone without nodes has no home")
	}
	if _, ok := Home(nil, "r", "z1"); ok {
		t.Fatal("a replica has a home though there are no members")
	}
}

func TestCacheEventsFoldIntoOneChange(t *testing.T) {
	change := foldEvents("r1", 5, engine.CacheEvents{Next: 10, Events: []engine.CacheEvent{
		{Sequence: 5, Kind: "stored", Blocks: []uint64{1, 2, 3}},
		{Sequence: 6, Kind: "evicted", Blocks: []uint64{2}},
		{Sequence: 8, Kind: "stored", Blocks: []uint64{2}},
		{Sequence: 9, Kind: "evicted", Blocks: []uint64{3}},
	}})
	if len(change.Stored) != 2 || fmt.Sprint(change.Evicted) != "[3]" || !change.Gap || change.Cleared {
		t.Fatalf("change %+v", change)
	}
}

package loadshare

import (
	"fmt"
	"maps"
	"net/netip"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	loadsharepb "github.com/sloelift/sloelift/api/proto/loadshare"
	"github.com/sloelift/sloelift/internal/replica"
)

func nodeAt(port int) netip.AddrPort {
	return netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(port))
}

// origins generates the consecutive origins of one sender.
type origins struct{ sequence uint64 }

func (o *origins) next() *loadsharepb.Origin {
	o.sequence++
	return &loadsharepb.Origin{Run: 1, Sequence: o.sequence}
}

func loadOf(origin *loadsharepb.Origin, kind loadsharepb.Kind, loads map[string]int) *loadsharepb.NodeLoad {
	byKey, serviceDemands := replicaLoads{}, demands{}
	for id, inUse := range loads {
		byKey[replica.KeyOf(id)] = replica.Use{Requests: inUse, Reading: 100 * inUse}
		serviceDemands.add(demands{"s": {InUse: inUse}}, 1)
	}
	return &loadsharepb.NodeLoad{Origin: origin, Kind: kind, Replicas: encodeReplicas(byKey), Demands: encodeDemands(serviceDemands)}
}

// fleetOf returns the fleet of a node that has queried board once.
func fleetOf(board *Board, now time.Time) *fleet {
	nodeFleet := newFleet(now)
	nodeFleet.applyAnswer(board.Answer(0, 0), nodeLoad{}, now)
	return nodeFleet
}

func TestBoardForgetsNodesThatFallSilent(t *testing.T) {
	now := time.Unix(1000, 0)
	board := NewBoard(now)
	var first, second origins
	board.recordReport(nodeAt(1), loadOf(first.next(), loadsharepb.Kind_KIND_ONLINE, map[string]int{"a": 5}), now)
	board.recordReport(nodeAt(2), loadOf(second.next(), loadsharepb.Kind_KIND_ONLINE, map[string]int{"a": 7}), now.Add(reportStaleAfter))
	for _, test := range []struct {
		at   time.Time
		want int
	}{{now.Add(reportStaleAfter), 12}, {now.Add(reportStaleAfter + 1), 7}, {now.Add(3 * reportStaleAfter), 0}} {
		board.prune(test.at)
		nodeFleet := fleetOf(board, test.at)
		if got, _ := nodeFleet.otherDemand("s", test.at); got.Online() != test.want {
			t.Errorf("%d online requests after %s, want %d", got.Online(), test.at.Sub(now), test.want)
		}
		if got := nodeFleet.otherLoads()[replica.KeyOf("a")]; got != (replica.Use{Requests: test.want, Reading: 100 * test.want}) {
			t.Errorf("%+v at the replica after %s, want %d requests", got, test.at.Sub(now), test.want)
		}
	}
}

// TestLateReportsAreDropped: the handlers of one link run concurrently, so an older report may be processed after a newer one.
func TestLateReportsAreDropped(t *testing.T) {
	now := time.Unix(1000, 0)
	board := NewBoard(now)
	var sender origins
	older, newer := sender.next(), sender.next()
	board.recordReport(nodeAt(1), loadOf(newer, loadsharepb.Kind_KIND_ONLINE, map[string]int{"a": 1}), now)
	board.recordReport(nodeAt(1), loadOf(older, loadsharepb.Kind_KIND_ONLINE, map[string]int{"a": 9}), now)
	if got := fleetOf(board, now).otherLoads()[replica.KeyOf("a")].Requests; got != 1 {
		t.Errorf("%d requests, want those of the newer report", got)
	}
	restarted := &loadsharepb.Origin{Run: 2, Sequence: 1}
	board.recordReport(nodeAt(1), loadOf(restarted, loadsharepb.Kind_KIND_ONLINE, map[string]int{"a": 3}), now)
	if got := fleetOf(board, now).otherLoads()[replica.KeyOf("a")].Requests; got != 3 {
		t.Errorf("%d requests, want those that the restarted node reported", got)
	}
}

// TestBoardSums: for any order of reports, relays, purges and queries, a querying node knows the sums of the other nodes' last reports.
func TestBoardSums(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		now := time.Unix(1000, 0)
		board, remoteBoard, nodeFleet := NewBoard(now), NewBoard(now), newFleet(now)
		last := map[int]map[string]int{}
		var sent [6]origins
		var relayOrigin origins
		relayedVersion := uint64(0)
		for range rapid.IntRange(1, 40).Draw(r, "steps") {
			now = now.Add(rapid.SampledFrom([]time.Duration{0, 10 * time.Millisecond, purgeInterval}).Draw(r, "pause"))
			node := rapid.IntRange(1, 5).Draw(r, "node")
			loads := map[string]int{}
			for _, id := range []string{"a", "b", "c"} {
				if inUse := rapid.IntRange(0, 4).Draw(r, id); inUse > 0 {
					loads[id] = inUse
				}
			}
			last[node] = loads
			// All nodes repeat their reports in each step, so that none becomes stale. Nodes 4 and 5 report to the remote exchange.
			for index := range 5 {
				target := board
				if index+1 >= 4 {
					target = remoteBoard
				}
				target.recordReport(nodeAt(index+1), loadOf(sent[index+1].next(), loadsharepb.Kind_KIND_ONLINE, last[index+1]), now)
			}
			whole := rapid.Bool().Draw(r, "whole")
			message, version := remoteBoard.changesToRelay(relayedVersion, whole)
			message.Origin, relayedVersion = relayOrigin.next(), version
			board.recordRelay(nodeAt(9), message, now)
			board.prune(now)
			remoteBoard.prune(now)
			if rapid.Bool().Draw(r, "asks") {
				own := nodeLoad{replicas: decodeReplicas(loadOf(nil, 0, last[1]).Replicas)}
				nodeFleet.applyAnswer(board.Answer(nodeFleet.lastAnswer()), own, now)
				checkSums(r, nodeFleet, last)
			}
		}
	})
}

// checkSums fails if nodeFleet does not hold the sums of the last reports of all nodes but node 1.
func checkSums(r *rapid.T, nodeFleet *fleet, last map[int]map[string]int) {
	want := map[string]int{}
	for node, loads := range last {
		for id, inUse := range loads {
			if node != 1 {
				want[id] += inUse
			}
		}
	}
	got := map[string]int{}
	for _, id := range []string{"a", "b", "c"} {
		use := nodeFleet.otherLoads()[replica.KeyOf(id)]
		if use.Reading != 100*use.Requests {
			r.Fatalf("%s has %+v, want 100 tokens a request", id, use)
		}
		if use.Requests > 0 {
			got[id] = use.Requests
		}
	}
	if !maps.Equal(got, want) {
		r.Fatalf("others have %v, want %v", got, want)
	}
}

// TestAnswersHoldChangesOnly: an answer does not repeat the replicas whose load has not changed.
func TestAnswersHoldChangesOnly(t *testing.T) {
	now := time.Unix(1000, 0)
	board := NewBoard(now)
	var first, second origins
	board.recordReport(nodeAt(1), loadOf(first.next(), loadsharepb.Kind_KIND_ONLINE, map[string]int{"a": 5, "b": 2}), now)
	answer := board.Answer(0, 0)
	if !answer.Whole || len(answer.Replicas.Replicas) != 2 {
		t.Errorf("the first answer is %v, want both replicas", answer)
	}
	board.recordReport(nodeAt(2), loadOf(second.next(), loadsharepb.Kind_KIND_ONLINE, map[string]int{"b": 1}), now)
	answer = board.Answer(answer.Run, answer.Version)
	if answer.Whole || len(answer.Replicas.Replicas) != 1 || answer.Replicas.InUse[0] != 3 {
		t.Errorf("the second answer is %v, want the replica that changed", answer)
	}
}

func TestOnlineNodesThatComeBackAreNoticed(t *testing.T) {
	start := time.Unix(1000, 0)
	nodeFleet := newFleet(start)
	for _, step := range []struct {
		after time.Duration
		nodes uint32
		want  time.Duration
	}{
		{time.Second, 2, 0},
		{2 * time.Second, 1, 0},
		{3 * time.Second, 0, 0},
		{4 * time.Second, 0, 0},
		{5 * time.Second, 3, 5 * time.Second},
		{6 * time.Second, 3, 5 * time.Second},
	} {
		nodeFleet.applyAnswer(&loadsharepb.FleetLoad{OnlineNodes: step.nodes}, nodeLoad{}, start.Add(step.after))
		if got := nodeFleet.reportingSince().Sub(start); got != step.want {
			t.Errorf("after %s: reporting since %s, want %s", step.after, got, step.want)
		}
	}
}

// TestAnswerToANodeWithAPart: the answer to a query that names replicas holds the current load of just these, however many others are in use.
// A later query for all replicas gets all of them.
func TestAnswerToANodeWithAPart(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, inUse := range []int{1000, 10000, 20000} {
		board, sender := NewBoard(now), origins{}
		loads := map[string]int{}
		for number := range inUse {
			loads[fmt.Sprintf("replica-%d", number)] = 1 + number%8
		}
		board.recordReport(nodeAt(1), loadOf(sender.next(), loadsharepb.Kind_KIND_ONLINE, loads), now)
		query := &loadsharepb.NodeLoad{KnownRun: 7, KnownVersion: 9}
		for number := range 64 {
			query.Of = append(query.Of,
				uint64(replica.KeyOf(fmt.Sprintf("replica-%d", number*7))), uint64(replica.KeyOf(fmt.Sprintf("idle-%d", number))))
		}
		answer := board.AnswerTo(query)
		if size := proto.Size(answer); size > 1500 {
			t.Errorf("%d bytes for 64 of %d replicas in use, want 1500 at most", size, inUse)
		}
		nodeFleet := newFleet(now)
		nodeFleet.applyAnswer(answer, nodeLoad{}, now)
		if use := nodeFleet.otherLoads()[replica.KeyOf("replica-7")]; use.Requests != 8 || len(nodeFleet.otherLoads()) != 64 {
			t.Errorf("%d requests at replica-7, %d replicas in all; want 8 and 64", use.Requests, len(nodeFleet.otherLoads()))
		}
		run, version := nodeFleet.lastAnswer()
		if all := board.AnswerTo(&loadsharepb.NodeLoad{KnownRun: run, KnownVersion: version}); !all.GetWhole() || len(all.GetReplicas().GetReplicas()) != inUse {
			t.Errorf("%d replicas in the answer about all %d, whole %t", len(all.GetReplicas().GetReplicas()), inUse, all.GetWhole())
		}
	}
}

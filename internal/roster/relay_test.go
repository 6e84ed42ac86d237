package roster

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"

	rosterpb "github.com/sloelift/sloelift/api/proto/roster"
	"github.com/sloelift/sloelift/internal/replica"
	"github.com/sloelift/sloelift/internal/transport"
)

// noRegistrar takes methods and serves none.
type noRegistrar struct{}

func (noRegistrar) Handle(transport.Method, func() proto.Message, transport.Handler) {}

func relayOf(roster *Roster) *Relay {
	return NewRelay(roster, func() bool { return false }, noRegistrar{})
}

func questionOf(number int, before *rosterpb.FollowResponse, hold time.Duration) *rosterpb.FollowRequest {
	part := partOfNode(number)
	return &rosterpb.FollowRequest{
		Node: part.Node, Zone: part.Zone, Width: uint32(part.Width), KnownRun: before.GetRun(), KnownVersion: before.GetVersion(),
		HoldMicros: hold.Microseconds(),
	}
}

func mustAnswer(t *testing.T, relay *Relay, question *rosterpb.FollowRequest) *rosterpb.FollowResponse {
	t.Helper()
	response, err := relay.answer(context.Background(), question)
	if err != nil {
		t.Fatal(err)
	}
	return response
}

// TestAnswersHoldChangesOnly: the first answer is the whole part; while the list changes elsewhere the next one is held and says that nothing has
// changed; what has changed comes at once. Their sizes do not grow with the list.
func TestAnswersHoldChangesOnly(t *testing.T) {
	for _, count := range []int{1000, 10000, 20000} {
		synctest.Test(t, func(t *testing.T) {
			roster := rosterOf(count)
			relay := relayOf(roster)
			first := mustAnswer(t, relay, questionOf(0, nil, time.Second))
			if !first.GetWhole() || len(first.GetReplicas()) != 64 {
				t.Fatalf("%d replicas in the first answer of %d, whole %t", len(first.GetReplicas()), count, first.GetWhole())
			}
			if size := proto.Size(first); size > 8<<10 {
				t.Errorf("%d bytes in the first answer of %d replicas", size, count)
			}
			known := map[string]bool{}
			for _, each := range first.GetReplicas() {
				known[each.GetId()] = true
			}
			began := time.Now()
			time.AfterFunc(100*time.Millisecond, func() {
				for number := range count {
					if info := infoOf(number); !known[info.ID] {
						info.Slots++
						roster.Update([]replica.Info{info}, nil, 2)
						return
					}
				}
			})
			quiet := mustAnswer(t, relay, questionOf(0, first, time.Second))
			if waited := time.Since(began); waited != time.Second || len(quiet.GetReplicas()) != 0 || quiet.GetWhole() {
				t.Errorf("%d replicas after %s without news", len(quiet.GetReplicas()), waited)
			}
			if size := proto.Size(quiet); size > 100 {
				t.Errorf("%d bytes in an answer without news", size)
			}
			gone := first.GetReplicas()[0].GetId()
			time.AfterFunc(100*time.Millisecond, func() { roster.Update(nil, []string{gone}, 3) })
			began = time.Now()
			news := mustAnswer(t, relay, questionOf(0, quiet, time.Second))
			if waited := time.Since(began); waited != 100*time.Millisecond || len(news.GetGone()) != 1 || len(news.GetReplicas()) != 1 || news.GetWhole() {
				t.Errorf("%d gone and %d new after %s, want one each at once", len(news.GetGone()), len(news.GetReplicas()), waited)
			}
		})
	}
}

// TestLostAnswerIsMadeGood: a node that did not get the last answer names the one before, and is sent its whole part.
func TestLostAnswerIsMadeGood(t *testing.T) {
	roster := rosterOf(1000)
	relay := relayOf(roster)
	first := mustAnswer(t, relay, questionOf(0, nil, 0))
	roster.Update(nil, []string{first.GetReplicas()[0].GetId()}, 2)
	lost := mustAnswer(t, relay, questionOf(0, first, 0))
	again := mustAnswer(t, relay, questionOf(0, first, 0))
	if lost.GetWhole() || !again.GetWhole() {
		t.Errorf("whole: %t, then %t for a node that names the answer before", lost.GetWhole(), again.GetWhole())
	}
}

// TestWhatIsNotKeptIsNotAnswered: a node that has no list says so once it is asked for long enough, one that knows that the list is long says
// that others keep it, and one with a short list that each node keeps all.
func TestWhatIsNotKeptIsNotAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		roster := New()
		relay := relayOf(roster)
		if _, err := relay.answer(context.Background(), questionOf(0, nil, time.Second)); err == nil {
			t.Error("an answer without a list")
		}
		roster.SetLong(true)
		if response := mustAnswer(t, relay, questionOf(0, nil, 0)); !response.GetKeptElsewhere() {
			t.Errorf("answer %v of a node that does not keep the list", response)
		}
		roster.Replace([]replica.Info{infoOf(1)}, 1)
		if response := mustAnswer(t, relay, questionOf(0, nil, 0)); !response.GetShort() {
			t.Errorf("answer %v of a short list", response)
		}
	})
}

// TestStaleRelaySaysSo: it answers at once, so that the asking node goes on to another one.
func TestStaleRelaySaysSo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		relay := NewRelay(rosterOf(1000), func() bool { return true }, noRegistrar{})
		first := mustAnswer(t, relay, questionOf(0, nil, time.Second))
		began := time.Now()
		second := mustAnswer(t, relay, questionOf(0, first, time.Second))
		if !first.GetStale() || !second.GetStale() || time.Since(began) > 0 {
			t.Errorf("stale %t and %t, the second after %s", first.GetStale(), second.GetStale(), time.Since(began))
		}
		accepting := questionOf(0, second, time.Second)
		accepting.AcceptStale = true
		if third := mustAnswer(t, relay, accepting); !third.GetStale() || time.Since(began) != time.Second {
			t.Errorf("stale %t after %s where that is accepted, want it held", third.GetStale(), time.Since(began))
		}
	})
}

// TestNodesThatAskNoMoreAreForgotten, so that a relay's memory does not grow with the nodes that ever were.
func TestNodesThatAskNoMoreAreForgotten(t *testing.T) {
	now := time.Unix(1000, 0)
	kept := newBookmarks(now)
	for number := range 100 {
		kept.set(partOfNode(number).Node, nil, 1, now)
	}
	kept.of(partOfNode(0).Node, 1, now.Add(bookmarkKept-time.Second))
	kept.of(partOfNode(1).Node, 2, now.Add(bookmarkKept))
	if len(kept.byNode) != 1 {
		t.Errorf("%d nodes are remembered, want the one that asked", len(kept.byNode))
	}
}

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

// noRegistrar accepts handlers and never calls them.
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

// The first answer is the whole part. While only other parts of the list change, a poll is held and
// answered without changes; a change of the part is answered at once. The size of the answers does
// not grow with the list.
func TestAnswersHoldChangesOnly(t *testing.T) {
	for _, count := range []int{1000, 10000, 20000} {
		synctest.Test(t, func(t *testing.T) {
			roster := rosterOf(count)
			relay := relayOf(roster)
			first := mustAnswer(t, relay, questionOf(0, nil, time.Second))
			if !first.GetWhole() || len(first.GetReplicas()) != 64 {
				t.Fatalf("%d replicas in the first answer of a list of %d, whole %t; want 64 and true", len(first.GetReplicas()), count, first.GetWhole())
			}
			if size := proto.Size(first); size > 8<<10 {
				t.Errorf("first answer of %d bytes for a list of %d replicas", size, count)
			}
			known := map[string]bool{}
			for _, message := range first.GetReplicas() {
				known[message.GetId()] = true
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
				t.Errorf("%d replicas after %s without changes", len(quiet.GetReplicas()), waited)
			}
			if size := proto.Size(quiet); size > 100 {
				t.Errorf("answer of %d bytes without changes", size)
			}
			gone := first.GetReplicas()[0].GetId()
			time.AfterFunc(100*time.Millisecond, func() { roster.Update(nil, []string{gone}, 3) })
			began = time.Now()
			news := mustAnswer(t, relay, questionOf(0, quiet, time.Second))
			if waited := time.Since(began); waited != 100*time.Millisecond || len(news.GetGone()) != 1 || len(news.GetReplicas()) != 1 || news.GetWhole() {
				t.Errorf("%d gone and %d new replicas after %s, want one each after 100 ms", len(news.GetGone()), len(news.GetReplicas()), waited)
			}
		})
	}
}

// A node that did not receive the last answer reports the version before it, and is sent its whole
// part.
func TestLostAnswerResendsWholePart(t *testing.T) {
	roster := rosterOf(1000)
	relay := relayOf(roster)
	first := mustAnswer(t, relay, questionOf(0, nil, 0))
	roster.Update(nil, []string{first.GetReplicas()[0].GetId()}, 2)
	lost := mustAnswer(t, relay, questionOf(0, first, 0))
	again := mustAnswer(t, relay, questionOf(0, first, 0))
	if lost.GetWhole() || !again.GetWhole() {
		t.Errorf("whole: %t, then %t for a node that reports the version before; want false, then true", lost.GetWhole(), again.GetWhole())
	}
}

// A node that does not hold the list answers with an error at the end of the hold. One that only
// knows that the list is long answers that other nodes keep it. One with a short list answers that
// each node keeps all of it.
func TestAnswerWithoutWholeList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		roster := New()
		relay := relayOf(roster)
		if _, err := relay.answer(context.Background(), questionOf(0, nil, time.Second)); err == nil {
			t.Error("a node without the list answered")
		}
		roster.SetLong(true)
		if response := mustAnswer(t, relay, questionOf(0, nil, 0)); !response.GetKeptElsewhere() {
			t.Errorf("answer %v of a node that does not hold the list, want KeptElsewhere", response)
		}
		roster.Replace([]replica.Info{infoOf(1)}, 1)
		if response := mustAnswer(t, relay, questionOf(0, nil, 0)); !response.GetShort() {
			t.Errorf("answer %v for a short list, want Short", response)
		}
	})
}

// A relay that gets no answers of the key-value service answers at once, so that the node tries
// another relay, unless the node accepts stale answers.
func TestStaleRelaySaysSo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		relay := NewRelay(rosterOf(1000), func() bool { return true }, noRegistrar{})
		first := mustAnswer(t, relay, questionOf(0, nil, time.Second))
		began := time.Now()
		second := mustAnswer(t, relay, questionOf(0, first, time.Second))
		if !first.GetStale() || !second.GetStale() || time.Since(began) > 0 {
			t.Errorf("stale %t and %t, the second after %s; want true at once", first.GetStale(), second.GetStale(), time.Since(began))
		}
		accepting := questionOf(0, second, time.Second)
		accepting.AcceptStale = true
		if third := mustAnswer(t, relay, accepting); !third.GetStale() || time.Since(began) != time.Second {
			t.Errorf("stale %t after %s with AcceptStale, want true after 1 s", third.GetStale(), time.Since(began))
		}
	})
}

// A relay drops the last answers to nodes that no longer poll, so that its memory does not grow
// with the number of nodes that ever did.
func TestNodesThatAskNoMoreAreForgotten(t *testing.T) {
	now := time.Unix(1000, 0)
	kept := newLastAnswers(now)
	for number := range 100 {
		kept.set(partOfNode(number).Node, nil, 1, now)
	}
	kept.lookup(partOfNode(0).Node, 1, now.Add(lastAnswerRetention-time.Second))
	kept.lookup(partOfNode(1).Node, 2, now.Add(lastAnswerRetention))
	if len(kept.byNode) != 1 {
		t.Errorf("%d last answers are kept, want only that of the node that polled", len(kept.byNode))
	}
}

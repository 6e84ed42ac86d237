package admission

import (
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	admissionpb "github.com/sloelift/sloelift/api/proto/admission"
	"github.com/sloelift/sloelift/internal/engine"
)

const (
	worldSlots      = 8
	worldBatchLimit = 6
	worldReplica    = "replica-1"
	worldHome       = "home"
)

// flight is a message on its way. renewal is set on a renewHeard: what to answer with.
type flight struct {
	to      string
	input   event
	sentAt  time.Time
	renewal *renewAnswered
}

// creditWorld is one home node with one replica, and two requesters, on a network that
// delays, reorders and loses messages.
type creditWorld struct {
	t          *rapid.T
	now        time.Time
	home       *homeState
	requesters map[string]*requesterState
	network    []flight
	nextItem   uint64
	sequence   uint64
	running    map[creditKey]string
	taken      map[creditKey]bool
	// online is the engine's truth, reported what the home last heard, signalled what was
	// signalled to the home since that report was measured.
	online    int
	reported  int
	signalled int
	hasReport bool
	// closed: the replica takes nothing new; both the home and the requesters know.
	closed bool
}

func newCreditWorld(t *rapid.T) *creditWorld {
	options := DefaultOptions()
	options.ExpirySlack = time.Millisecond // safety must not rest on the slack
	world := &creditWorld{
		t: t, now: time.Unix(1_000_000, 0), home: newHomeState(options, worldHome, 7),
		requesters: make(map[string]*requesterState),
		running:    make(map[creditKey]string), taken: make(map[creditKey]bool),
	}
	for _, node := range []string{"a", "b"} {
		world.requesters[node] = newRequesterState(options, node,
			func(string, []uint64) float64 { return 0 }, func(string) bool { return world.closed })
	}
	world.announceReplica()
	return world
}

func (w *creditWorld) announceReplica() {
	w.toHome(homesChanged{replicas: []homedReplica{{
		id: worldReplica, service: "chat", batchLimit: worldBatchLimit, closed: w.closed,
	}}})
}

func (w *creditWorld) send(message flight) {
	message.sentAt = w.now
	w.network = append(w.network, message)
}

// toHome steps the home and checks each grant against what the home was told.
func (w *creditWorld) toHome(input event) {
	granted := 0
	for _, output := range w.home.step(w.now, input) {
		switch typed := output.(type) {
		case sendGrants:
			granted += len(typed.request.GetGrants())
			reply := make(chan *admissionpb.GrantResponse, 1)
			w.send(flight{to: typed.requester, input: grantsHeard{request: typed.request, reply: reply}})
		case sendRevoke:
			w.send(flight{to: typed.requester, input: revokeHeard{revoke: typed.revoke}})
		case answerRenew:
			typed.reply <- typed.response
		}
	}
	idle := min(worldSlots-w.reported-w.signalled, worldBatchLimit)
	if granted > 0 && (!w.hasReport || len(w.home.credits) > idle) {
		w.t.Fatalf("%d credits out after a grant, %d slots idle, report %t", len(w.home.credits), idle, w.hasReport)
	}
}

// toRequester steps a requester and checks what it hands out.
func (w *creditWorld) toRequester(node string, input event) {
	for _, output := range w.requesters[node].step(w.now, input) {
		switch typed := output.(type) {
		case deliverCredit:
			w.checkDelivery(node, typed)
		case takeCredit:
			w.taken[typed.key] = true
		case answerGrants:
			w.send(flight{to: worldHome, input: grantAnswered{requester: node, declined: typed.response.GetDeclined()}})
		case sendDemand:
			w.send(flight{to: worldHome, input: demandHeard{demand: typed.demand}})
		case sendRelease:
			w.send(flight{to: worldHome, input: releaseHeard{release: typed.release}})
		case sendRenew:
			answer := renewAnswered{home: typed.home, epoch: typed.request.GetEpoch(), sentAt: w.now}
			for _, use := range typed.request.GetUses() {
				answer.asked = append(answer.asked, use.GetCredit())
			}
			w.send(flight{to: worldHome, input: renewHeard{request: typed.request}, renewal: &answer})
		}
	}
}

func (w *creditWorld) checkDelivery(node string, delivered deliverCredit) {
	if w.closed {
		w.t.Fatalf("credit %v handed out on a replica that takes nothing new", delivered.key)
	}
	if w.taken[delivered.key] {
		w.t.Fatalf("credit %v handed out after it was taken back", delivered.key)
	}
	if holder, used := w.running[delivered.key]; used {
		w.t.Fatalf("credit %v handed out to %s while %s uses it", delivered.key, node, holder)
	}
	if !w.now.Before(delivered.expires) {
		w.t.Fatalf("credit %v handed out after it lapsed", delivered.key)
	}
	w.running[delivered.key] = node
}

// arrive hands over one message, which may be any of those on the way.
func (w *creditWorld) arrive(message flight) {
	if message.to != worldHome {
		w.toRequester(message.to, message.input)
		return
	}
	switch heard := message.input.(type) {
	case onlineHeard:
		w.signalled += int(heard.started.GetCounts()[0].GetCount())
		w.toHome(heard)
	case renewHeard:
		reply := make(chan *admissionpb.RenewResponse, 1)
		heard.reply = reply
		w.toHome(heard)
		answer := *message.renewal
		answer.response = <-reply
		w.send(flight{to: heard.request.GetRequester(), input: answer})
	default:
		w.toHome(heard)
	}
}

// advance lets time pass: offers that are too old are given up by the transport, and
// every node ticks.
func (w *creditWorld) advance(by time.Duration) {
	w.now = w.now.Add(by)
	kept := w.network[:0]
	for _, message := range w.network {
		if _, offer := message.input.(grantsHeard); offer && w.now.Sub(message.sentAt) >= grantAllowance {
			continue
		}
		kept = append(kept, message)
	}
	w.network = kept
	for _, node := range slices.Sorted(maps.Keys(w.requesters)) {
		w.toRequester(node, ticked{})
	}
	w.toHome(ticked{})
}

// check: whatever a requester may still use, the home counts as out.
func (w *creditWorld) check() {
	for node, requester := range w.requesters {
		for key, held := range requester.held {
			if !held.revoked && w.now.Before(held.expires) && w.home.credits[key.credit] == nil {
				w.t.Fatalf("%s may use credit %v, which the home counts as given back", node, key)
			}
		}
	}
	out := 0
	for _, credit := range w.home.credits {
		if !credit.revoked {
			out++
		}
	}
	replica := w.home.replicas[worldReplica]
	if _, keep := replica.capacity(w.now, &w.home.options); out > keep {
		w.t.Fatalf("%d credits not revoked with room for %d", out, keep)
	}
}

func TestCreditsNeverExceedIdleCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		world := newCreditWorld(t)
		t.Repeat(map[string]func(*rapid.T){
			"": func(*rapid.T) { world.check() },
			"item waits": func(t *rapid.T) {
				world.nextItem++
				node := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "node")
				request := &BatchRequest{Tenant: node, Rank: rapid.IntRange(0, 2).Draw(t, "rank"), Deadline: world.now.Add(time.Hour)}
				request.Routing.Service = "chat"
				world.toRequester(node, itemWaits{item: world.nextItem, request: request})
			},
			"item ends": func(t *rapid.T) {
				keys := sortedKeys(world.running)
				if len(keys) == 0 {
					t.Skip("nothing runs")
				}
				key := rapid.SampledFrom(keys).Draw(t, "credit")
				node := world.running[key]
				delete(world.running, key)
				world.toRequester(node, creditEnded{key: key})
			},
			"online starts": func(t *rapid.T) {
				world.online = min(world.online+1, worldSlots)
				world.send(flight{to: worldHome, input: onlineHeard{started: &admissionpb.OnlineStarted{
					Counts: []*admissionpb.ReplicaCount{{Replica: worldReplica, Count: 1}},
				}}})
			},
			"closes or opens": func(*rapid.T) {
				world.closed = !world.closed
				world.announceReplica()
			},
			"online ends": func(*rapid.T) { world.online = max(0, world.online-1) },
			"report": func(t *rapid.T) {
				world.sequence++
				world.reported, world.signalled, world.hasReport = world.online, 0, true
				world.toHome(loadHeard{replica: worldReplica, heardAt: world.now, report: engine.LoadReport{
					Sequence: world.sequence, MeasuredAt: world.now, MaxRunning: worldSlots,
					Running: world.online + len(world.running), RunningBatch: len(world.running),
				}})
			},
			"deliver": func(t *rapid.T) {
				if len(world.network) == 0 {
					t.Skip("nothing on the way")
				}
				index := rapid.IntRange(0, len(world.network)-1).Draw(t, "message")
				message := world.network[index]
				world.network = append(world.network[:index], world.network[index+1:]...)
				if rapid.IntRange(0, 9).Draw(t, "fate") > 0 {
					world.arrive(message)
				}
			},
			"time passes": func(t *rapid.T) {
				world.advance(time.Duration(rapid.IntRange(1, 250).Draw(t, "milliseconds")) * time.Millisecond)
			},
		})
	})
}

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
	modelSlots      = 8
	modelBatchLimit = 6
	modelReplica    = "replica-1"
	modelHome       = "home"
)

// inFlightMessage is a message that was sent and not delivered yet. renewal is set with a
// renewReceived and is the template of the reply.
type inFlightMessage struct {
	to      string
	input   event
	sentAt  time.Time
	renewal *renewReplied
}

// creditModel is one home node with one replica, and two requesters, on a network that
// delays, reorders and loses messages.
type creditModel struct {
	t          *rapid.T
	now        time.Time
	home       *homeState
	requesters map[string]*requesterState
	network    []inFlightMessage
	nextItem   uint64
	sequence   uint64
	running    map[creditKey]string
	withdrawn  map[creditKey]bool
	// online is the actual number of online requests, reported the number in the last report to
	// the home node, and signalled the number signalled to it since that report was measured.
	online    int
	reported  int
	signalled int
	hasReport bool
	// closed is set while the replica takes no new items; the home node and the requesters know.
	closed bool
}

func newCreditModel(t *rapid.T) *creditModel {
	options := DefaultOptions()
	options.ExpirySlack = time.Millisecond // safety must not depend on the slack
	model := &creditModel{
		t: t, now: time.Unix(1_000_000, 0), home: newHomeState(options, modelHome, 7),
		requesters: make(map[string]*requesterState),
		running:    make(map[creditKey]string), withdrawn: make(map[creditKey]bool),
	}
	for _, node := range []string{"a", "b"} {
		model.requesters[node] = newRequesterState(options, node,
			func(string, []uint64) float64 { return 0 }, func(string) bool { return model.closed })
	}
	model.announceReplica()
	return model
}

func (w *creditModel) announceReplica() {
	w.stepHome(homedReplicasChanged{replicas: []homedReplica{{
		id: modelReplica, service: "chat", batchLimit: modelBatchLimit, closed: w.closed,
	}}})
}

func (w *creditModel) send(message inFlightMessage) {
	message.sentAt = w.now
	w.network = append(w.network, message)
}

// stepHome passes an event to the home node and checks its grants against the load it knows of.
func (w *creditModel) stepHome(input event) {
	granted := 0
	for _, output := range w.home.step(w.now, input) {
		switch typed := output.(type) {
		case sendGrants:
			granted += len(typed.request.GetGrants())
			reply := make(chan *admissionpb.GrantResponse, 1)
			w.send(inFlightMessage{to: typed.requester, input: grantsReceived{request: typed.request, reply: reply}})
		case sendRevoke:
			w.send(inFlightMessage{to: typed.requester, input: revokeReceived{revoke: typed.revoke}})
		case replyRenew:
			typed.reply <- typed.response
		}
	}
	idleSlots := min(modelSlots-w.reported-w.signalled, modelBatchLimit)
	if granted > 0 && (!w.hasReport || len(w.home.credits) > idleSlots) {
		w.t.Fatalf("%d credits out after a grant, %d slots idle, report %t", len(w.home.credits), idleSlots, w.hasReport)
	}
}

// stepRequester passes an event to a requester and checks the credits that it delivers.
func (w *creditModel) stepRequester(node string, input event) {
	for _, output := range w.requesters[node].step(w.now, input) {
		switch typed := output.(type) {
		case deliverCredit:
			w.checkDelivery(node, typed)
		case withdrawCredit:
			w.withdrawn[typed.key] = true
		case replyGrants:
			w.send(inFlightMessage{to: modelHome, input: grantReplied{requester: node, declined: typed.response.GetDeclined()}})
		case sendDemand:
			w.send(inFlightMessage{to: modelHome, input: demandReceived(typed)})
		case sendRelease:
			w.send(inFlightMessage{to: modelHome, input: releaseReceived{release: typed.release}})
		case sendRenew:
			answer := renewReplied{home: typed.home, epoch: typed.request.GetEpoch(), sentAt: w.now}
			for _, use := range typed.request.GetUses() {
				answer.requested = append(answer.requested, use.GetCredit())
			}
			w.send(inFlightMessage{to: modelHome, input: renewReceived{request: typed.request}, renewal: &answer})
		}
	}
}

func (w *creditModel) checkDelivery(node string, delivered deliverCredit) {
	if w.closed {
		w.t.Fatalf("credit %v delivered on a replica that takes no new items", delivered.key)
	}
	if w.withdrawn[delivered.key] {
		w.t.Fatalf("credit %v delivered after it was withdrawn", delivered.key)
	}
	if holder, used := w.running[delivered.key]; used {
		w.t.Fatalf("credit %v delivered to %s while %s uses it", delivered.key, node, holder)
	}
	if !w.now.Before(delivered.expires) {
		w.t.Fatalf("credit %v delivered after it expired", delivered.key)
	}
	w.running[delivered.key] = node
}

// deliver passes a message in flight to its receiver.
func (w *creditModel) deliver(message inFlightMessage) {
	if message.to != modelHome {
		w.stepRequester(message.to, message.input)
		return
	}
	switch input := message.input.(type) {
	case onlineStartsReceived:
		w.signalled += int(input.started.GetCounts()[0].GetCount())
		w.stepHome(input)
	case renewReceived:
		reply := make(chan *admissionpb.RenewResponse, 1)
		input.reply = reply
		w.stepHome(input)
		answer := *message.renewal
		answer.response = <-reply
		w.send(inFlightMessage{to: input.request.GetRequester(), input: answer})
	default:
		w.stepHome(input)
	}
}

// advance moves the time forward. The transport drops grant calls that exceed grantCallTimeout,
// and every node gets a tick.
func (w *creditModel) advance(duration time.Duration) {
	w.now = w.now.Add(duration)
	kept := w.network[:0]
	for _, message := range w.network {
		if _, offer := message.input.(grantsReceived); offer && w.now.Sub(message.sentAt) >= grantCallTimeout {
			continue
		}
		kept = append(kept, message)
	}
	w.network = kept
	for _, node := range slices.Sorted(maps.Keys(w.requesters)) {
		w.stepRequester(node, tick{})
	}
	w.stepHome(tick{})
}

// checkInvariants checks that the home node counts each credit that a requester may still use
// as outstanding, and that unrevoked credits do not exceed the capacity.
func (w *creditModel) checkInvariants() {
	for node, requester := range w.requesters {
		for key, held := range requester.held {
			if !held.revoked && w.now.Before(held.expires) && w.home.credits[key.credit] == nil {
				w.t.Fatalf("%s may use credit %v, which the home node does not count as outstanding", node, key)
			}
		}
	}
	unrevoked := 0
	for _, credit := range w.home.credits {
		if !credit.revoked {
			unrevoked++
		}
	}
	replica := w.home.replicas[modelReplica]
	if _, keepLimit := replica.capacity(w.now, &w.home.options); unrevoked > keepLimit {
		w.t.Fatalf("%d unrevoked credits exceed the limit %d", unrevoked, keepLimit)
	}
}

func TestCreditsNeverExceedIdleCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		model := newCreditModel(t)
		t.Repeat(map[string]func(*rapid.T){
			"": func(*rapid.T) { model.checkInvariants() },
			"item waits": func(t *rapid.T) {
				model.nextItem++
				node := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "node")
				request := &BatchRequest{Tenant: node, Rank: rapid.IntRange(0, 2).Draw(t, "rank"), Deadline: model.now.Add(time.Hour)}
				request.Routing.Service = "chat"
				model.stepRequester(node, itemQueued{item: model.nextItem, request: request})
			},
			"item ends": func(t *rapid.T) {
				keys := sortedKeys(model.running)
				if len(keys) == 0 {
					t.Skip("nothing runs")
				}
				key := rapid.SampledFrom(keys).Draw(t, "credit")
				node := model.running[key]
				delete(model.running, key)
				model.stepRequester(node, creditReturned{key: key})
			},
			"online starts": func(t *rapid.T) {
				model.online = min(model.online+1, modelSlots)
				model.send(inFlightMessage{to: modelHome, input: onlineStartsReceived{started: &admissionpb.OnlineStarted{
					Counts: []*admissionpb.ReplicaCount{{Replica: modelReplica, Count: 1}},
				}}})
			},
			"closes or opens": func(*rapid.T) {
				model.closed = !model.closed
				model.announceReplica()
			},
			"online ends": func(*rapid.T) { model.online = max(0, model.online-1) },
			"report": func(t *rapid.T) {
				model.sequence++
				model.reported, model.signalled, model.hasReport = model.online, 0, true
				model.stepHome(loadReported{replica: modelReplica, receivedAt: model.now, report: engine.LoadReport{
					Sequence: model.sequence, MeasuredAt: model.now, MaxRunning: modelSlots,
					Running: model.online + len(model.running), RunningBatch: len(model.running),
				}})
			},
			"deliver": func(t *rapid.T) {
				if len(model.network) == 0 {
					t.Skip("nothing on the way")
				}
				index := rapid.IntRange(0, len(model.network)-1).Draw(t, "message")
				message := model.network[index]
				model.network = append(model.network[:index], model.network[index+1:]...)
				if rapid.IntRange(0, 9).Draw(t, "fate") > 0 {
					model.deliver(message)
				}
			},
			"time passes": func(t *rapid.T) {
				model.advance(time.Duration(rapid.IntRange(1, 250).Draw(t, "milliseconds")) * time.Millisecond)
			},
		})
	})
}

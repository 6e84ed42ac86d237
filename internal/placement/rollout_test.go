package placement

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/sloelift/sloelift/internal/engine"
	"github.com/sloelift/sloelift/internal/fleet"
)

// rolloutWorld simulates five engines, observed through lagging reports, and two orderers that may both be active, on a network that
// delays, reorders and loses messages.
type rolloutWorld struct {
	t        *rapid.T
	now      time.Time
	engines  []*rolloutEngine
	orderers []*state
	ordering []bool
	desired  desiredState
	network  []rolloutMessage
	token    uint64
}

type rolloutEngine struct {
	id     string
	report engine.LoadReport
	// history holds the past load reports of the engine, oldest first.
	history []engine.LoadReport
	loading map[string]time.Time
}

// rolloutMessage is an order on its way to an engine, or an answer to an orderer.
type rolloutMessage struct {
	orderer int
	order   *sendOrder
	answer  event
}

const (
	rolloutEngines = 5
	rolloutLag     = 150 * time.Millisecond
	rolloutTick    = 50 * time.Millisecond
	rolloutLoad    = 300 * time.Millisecond
	// gatewayLag is the age of the reports by which gateways send requests.
	gatewayLag    = time.Second
	historyLength = int(gatewayLag / rolloutTick)
)

func newRolloutWorld(t *rapid.T) *rolloutWorld {
	w := &rolloutWorld{t: t, now: time.Unix(1000, 0), ordering: []bool{true, false}}
	for range 2 {
		w.orderers = append(w.orderers, newState(DefaultOptions()))
	}
	for index := range rolloutEngines {
		added := &rolloutEngine{id: fmt.Sprint("r", index), loading: make(map[string]time.Time)}
		added.report.Models = []engine.LoadedModel{{Model: "m", Version: "1", State: stateReady}}
		w.engines = append(w.engines, added)
	}
	w.desired = desiredState{revision: 2, models: []desiredModel{{name: "m", version: "2"}}}
	return w
}

// view returns what an orderer sees: reports that are rolloutLag old.
func (w *rolloutWorld) view(orderer int) observed {
	view := serviceView{orderer: w.ordering[orderer], desired: w.desired}
	for _, simulated := range w.engines {
		seen := observation{replica: fleet.Replica{ID: simulated.id, Endpoint: engine.Endpoint{Replica: simulated.id}}}
		for _, past := range simulated.history {
			if w.now.Sub(past.MeasuredAt) >= rolloutLag {
				seen.replica.Load, seen.replica.HasLoad, seen.measuredAt = past, true, past.MeasuredAt
			}
		}
		view.replicas = append(view.replicas, seen)
	}
	return observed{services: map[string]serviceView{"chat": view}}
}

func (w *rolloutWorld) step(orderer int, input event) {
	for _, output := range w.orderers[orderer].step(w.now, input) {
		switch typed := output.(type) {
		case takeFence:
			w.token = max(w.token, typed.atLeast) + 1
			w.network = append(w.network, rolloutMessage{orderer: orderer, answer: fenceTaken{service: "chat", token: w.token, revision: typed.revision}})
		case sendOrder:
			w.network = append(w.network, rolloutMessage{orderer: orderer, order: &typed})
		case reserveFetch:
			w.network = append(w.network, rolloutMessage{orderer: orderer, answer: fetchReserved{
				service: "chat", replica: typed.replica, fetch: typed.fetch, granted: true,
			}})
		}
	}
}

// deliver delivers a message. An order whose answer is lost was still executed.
func (w *rolloutWorld) deliver(message rolloutMessage, lost bool) {
	if message.order == nil {
		w.step(message.orderer, message.answer)
		return
	}
	result := w.execute(message.order)
	if lost {
		result = orderFailed
	}
	w.network = append(w.network, rolloutMessage{orderer: message.orderer, answer: orderAnswered{
		service: "chat", replica: message.order.to.Replica, order: message.order.order, result: result,
	}})
}

func (w *rolloutWorld) execute(sent *sendOrder) orderResult {
	var target *rolloutEngine
	for _, candidate := range w.engines {
		if candidate.id == sent.to.Replica {
			target = candidate
		}
	}
	order := sent.order
	if order.Fence < target.report.FenceToken {
		return orderFenced
	}
	target.report.FenceToken = order.Fence
	switch order.Kind {
	case engine.OrderSetRole:
		target.report.Role = order.Role
	case engine.OrderLoadModel:
		target.report.Models = append([]engine.LoadedModel{}, target.report.Models...)
		target.report.Models = append(target.report.Models, engine.LoadedModel{Model: order.Model, Version: order.Version, State: stateLoading})
		target.loading[order.Version] = w.now.Add(rolloutLoad)
	case engine.OrderUnloadModel:
		if target.report.Running > 0 {
			w.t.Fatalf("%s told to unload with %d requests running", target.id, target.report.Running)
		}
		var kept []engine.LoadedModel
		for _, loaded := range target.report.Models {
			if loaded.Version != order.Version {
				kept = append(kept, loaded)
			}
		}
		target.report.Models = kept
	}
	return orderAccepted
}

// advance advances the clock by one tick. Traffic goes to engines that gateways do not know to be draining.
func (w *rolloutWorld) advance(traffic bool) {
	w.now = w.now.Add(rolloutTick)
	for _, simulated := range w.engines {
		for version, at := range simulated.loading {
			if !w.now.Before(at) {
				delete(simulated.loading, version)
				simulated.report.Models = append([]engine.LoadedModel{}, simulated.report.Models...)
				for model := range simulated.report.Models {
					if simulated.report.Models[model].Version == version {
						simulated.report.Models[model].State = stateReady
					}
				}
			}
		}
		simulated.report.Running = 0
		if traffic && (len(simulated.history) == 0 || simulated.history[0].Role != fleet.RoleDraining) && holdsAny(&simulated.report, "m") {
			simulated.report.Running = 1
		}
		simulated.report.MeasuredAt = w.now
		simulated.history = append(simulated.history, simulated.report)
		if len(simulated.history) > historyLength {
			simulated.history = simulated.history[1:]
		}
	}
	for orderer := range w.orderers {
		w.step(orderer, w.view(orderer))
	}
	w.check()
}

// check fails if more than one of the five engines, the allowed 20 %, is out of service.
func (w *rolloutWorld) check() {
	out := 0
	for _, simulated := range w.engines {
		if simulated.report.Role == fleet.RoleDraining || !holdsAny(&simulated.report, "m") {
			out++
		}
	}
	if out > 1 {
		w.t.Fatalf("%d of %d engines out of service", out, rolloutEngines)
	}
}

func (w *rolloutWorld) done() bool {
	for _, simulated := range w.engines {
		difference := gapOf(&w.desired, &simulated.report)
		if !difference.empty() || simulated.report.Role == fleet.RoleDraining {
			return false
		}
	}
	return true
}

func TestRolloutKeepsServing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newRolloutWorld(t)
		for range rapid.IntRange(0, 400).Draw(t, "steps") {
			switch rapid.IntRange(0, 9).Draw(t, "action") {
			case 0:
				orderer := rapid.IntRange(0, 1).Draw(t, "orderer")
				w.ordering[orderer] = !w.ordering[orderer]
			case 1, 2, 3, 4:
				if len(w.network) > 0 {
					index := rapid.IntRange(0, len(w.network)-1).Draw(t, "message")
					message := w.network[index]
					w.network = append(w.network[:index], w.network[index+1:]...)
					w.deliver(message, rapid.IntRange(0, 9).Draw(t, "fate") == 0)
					w.check()
				}
			default:
				w.advance(rapid.Bool().Draw(t, "traffic"))
			}
		}
		// With a single orderer and a reliable network the rollout ends.
		w.ordering = []bool{true, false}
		for round := 0; round < 1500 && !w.done(); round++ {
			for len(w.network) > 0 {
				message := w.network[0]
				w.network = w.network[1:]
				w.deliver(message, false)
			}
			w.advance(true)
		}
		if !w.done() {
			t.Fatal("the rollout did not end")
		}
	})
}

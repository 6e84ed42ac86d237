package forward

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sloelift/sloelift/internal/loadshare"
	"github.com/sloelift/sloelift/internal/replica"
)

// fakeDemand is a fixed demand of the other nodes' callers.
type fakeDemand struct {
	mutex  sync.Mutex
	others loadshare.Demand
	known  bool
}

func (f *fakeDemand) OthersDemand(string, time.Time) (loadshare.Demand, bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.others, f.known
}

func (f *fakeDemand) KeepFresh() {}

func (f *fakeDemand) set(others loadshare.Demand, known bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.others, f.known = others, known
}

// gateUnderTest is a gate with 10 slots; admitted holds the names of the requests in the order of their admission.
type gateUnderTest struct {
	*Gate
	demand   *fakeDemand
	running  sync.WaitGroup
	mutex    sync.Mutex
	admitted []string
	leaves   map[string]func()
}

func newGateUnderTest() *gateUnderTest {
	directory := replica.NewDirectory()
	directory.Replace([]replica.Info{{ID: "a", Service: "s", Slots: 10}})
	demand := &fakeDemand{known: true}
	return &gateUnderTest{Gate: NewGate(directory, demand), demand: demand, leaves: map[string]func(){}}
}

// enter starts a request that must be sent within the given time to meet its objective, and waits until all goroutines are blocked.
func (g *gateUnderTest) enter(name string, sendWithin time.Duration) {
	request := gateRequest{service: "s", sendBy: time.Now().Add(sendWithin), deadline: time.Now().Add(4 * time.Second)}
	g.running.Go(func() {
		leave := g.Enter(context.Background(), request)
		g.mutex.Lock()
		defer g.mutex.Unlock()
		g.admitted = append(g.admitted, name)
		g.leaves[name] = leave
	})
	synctest.Wait()
}

func (g *gateUnderTest) leave(name string) {
	g.mutex.Lock()
	leave := g.leaves[name]
	g.mutex.Unlock()
	leave()
	synctest.Wait()
}

func (g *gateUnderTest) lastAdmitted() string {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if len(g.admitted) == 0 {
		return ""
	}
	return g.admitted[len(g.admitted)-1]
}

func (g *gateUnderTest) admittedCount() int {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return len(g.admitted)
}

const inTime, tight, late = 300 * time.Millisecond, 30 * time.Millisecond, -time.Millisecond

func TestNothingIsHeldWhileThereIsRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gate := newGateUnderTest()
		gate.demand.set(loadshare.Demand{InUse: 2}, true)
		for _, within := range []time.Duration{inTime, tight, late} {
			gate.enter("r", within)
		}
		if gate.admittedCount() != 3 {
			t.Errorf("%d of 3 requests sent to 10 slots with 2 in use", gate.admittedCount())
		}
		gate.running.Wait()
	})
}

// TestOrderWhenFull: requests that can be on time are admitted first, by the time by which they must be sent; late ones last.
func TestOrderWhenFull(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gate := newGateUnderTest()
		gate.demand.set(loadshare.Demand{InUse: 100}, true)
		gate.enter("first", inTime)
		gate.enter("late", late)
		gate.enter("later", inTime+time.Millisecond)
		gate.enter("sooner", inTime)
		gate.enter("soonest", tight)
		if gate.admittedCount() != 1 {
			t.Fatalf("%d requests sent, want 1: this node's share is 1 slot", gate.admittedCount())
		}
		for _, want := range []string{"soonest", "sooner", "later", "late"} {
			gate.leave(gate.lastAdmitted())
			if gate.lastAdmitted() != want {
				t.Errorf("%s was sent, want %s", gate.lastAdmitted(), want)
			}
		}
		gate.running.Wait()
	})
}

func TestHoldIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gate := newGateUnderTest()
		gate.demand.set(loadshare.Demand{InUse: 1000}, true)
		gate.enter("first", inTime)
		began := time.Now()
		gate.enter("second", inTime)
		gate.running.Wait()
		if held := time.Since(began); held < maxHold || held > maxHold+gateCheckInterval {
			t.Errorf("held for %s, want %s", held, maxHold)
		}
	})
}

func TestCallerThatLeavesWaitsNoMore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gate := newGateUnderTest()
		gate.demand.set(loadshare.Demand{InUse: 1000}, true)
		gate.enter("first", inTime)
		ctx, cancel := context.WithCancel(context.Background())
		left := make(chan func())
		go func() {
			left <- gate.Enter(ctx, gateRequest{service: "s", sendBy: time.Now().Add(inTime), deadline: time.Now().Add(4 * time.Second)})
		}()
		synctest.Wait()
		cancel()
		(<-left)()
		if waiting := gate.Demands()["s"].Waiting; waiting != 0 {
			t.Errorf("%d requests wait after their caller left", waiting)
		}
		gate.leave("first")
		if demand := gate.Demands()["s"]; demand.Online() != 0 {
			t.Errorf("demand is %+v after all have ended", demand)
		}
	})
}

// TestUnknownDemandHoldsNothingBack: a node that does not hear from the others admits its requests as they arrive.
func TestUnknownDemandHoldsNothingBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gate := newGateUnderTest()
		gate.demand.set(loadshare.Demand{InUse: 100}, false)
		for range 20 {
			gate.enter("r", inTime)
		}
		if gate.admittedCount() != 20 {
			t.Errorf("%d of 20 requests sent", gate.admittedCount())
		}
		gate.running.Wait()
	})
}

package coldstart

import (
	"time"

	"github.com/sloelift/sloelift/internal/membership"
)

// events returns the events of a scenario: each node learns, after its own delay, that the replicas appear, are evacuated and return.
func (f *testFleet) events(members []membership.Member, replicas int, injected faults) []event {
	var events []event
	add := func(at time.Duration, do func()) { events = append(events, event{at, do}) }
	propagationDelay := func() time.Duration { return time.Duration(f.randomBelow(400)) * time.Millisecond }
	for _, node := range f.nodes {
		add(coldAt+propagationDelay(), func() { node.directory.Update(f.replicas(replicas, coldDuration), nil) })
		add(evacuatedAt+propagationDelay(), func() { node.directory.SetEvacuated(map[string]bool{coldZone: true}) })
		add(restoredAt+propagationDelay(), func() { node.directory.SetEvacuated(nil) })
	}
	for _, cold := range []time.Duration{coldAt, restoredAt} {
		for range injected.pauses {
			node := f.nodes[f.randomBelow(len(f.nodes))]
			length := time.Duration(100+f.randomBelow(3000)) * time.Millisecond
			add(cold+f.randomColdTime(), func() { node.pause(length) })
		}
		for range injected.cuts {
			node, cutAt := f.nodes[f.randomBelow(len(f.nodes))], cold+f.randomColdTime()
			add(cutAt, func() { node.setCut(true) })
			add(cutAt+f.randomColdTime(), func() { node.setCut(false) })
		}
		for range injected.restarts {
			node := f.nodes[f.randomBelow(len(f.nodes))]
			add(cold+f.randomColdTime(), func() { f.restartNode(node, members, replicas, injected) })
		}
		if injected.restartAll {
			add(cold+f.randomColdTime(), func() {
				for _, node := range f.nodes {
					f.restartNode(node, members, replicas, injected)
				}
			})
		}
	}
	return events
}

// randomColdTime draws a time, relative to the start of a cold period, at which all nodes know of the replicas.
func (f *testFleet) randomColdTime() time.Duration {
	return 500*time.Millisecond + time.Duration(f.randomBelow(int(coldDuration-time.Second)))
}

// restartNode restarts a node, which then lists the replicas from their entries.
func (f *testFleet) restartNode(node *testNode, members []membership.Member, replicas int, injected faults) {
	node.restart(f.viewOf(node, members, injected), f.replicas(replicas, coldDuration))
}

func (n *testNode) pause(length time.Duration) {
	n.fleet.mutex.Lock()
	defer n.fleet.mutex.Unlock()
	n.pausedUntil = time.Now().Add(length)
}

func (n *testNode) setCut(cut bool) { n.store.set(func() { n.store.cut = cut }) }

// unchanged returns the limiter as it is.
func unchanged(limiter Limiter) Limiter { return limiter }

// viewOf returns the members that a node knows.
func (f *testFleet) viewOf(node *testNode, members []membership.Member, injected faults) []membership.Member {
	if !injected.wrongViews {
		return members
	}
	part := 1 + f.randomBelow(len(members))
	var known []membership.Member
	for _, member := range members {
		if member.ID == node.id || f.randomBelow(len(members)) < part {
			known = append(known, member)
		}
	}
	return known
}

// event is an action at a time of the scenario.
type event struct {
	at time.Duration
	do func()
}

package coldstart

import (
	"time"

	"github.com/sloelift/sloelift/internal/membership"
)

// events returns what happens in a play: each node learns after a while of its own that the replicas are there, leave and return.
func (f *testFleet) events(members []membership.Member, replicas int, struck trouble) []event {
	var events []event
	add := func(at time.Duration, do func()) { events = append(events, event{at, do}) }
	learns := func() time.Duration { return time.Duration(f.drawn(400)) * time.Millisecond }
	for _, node := range f.nodes {
		add(turnsCold+learns(), func() { node.directory.Update(f.replicas(replicas, staysCold), nil) })
		add(leaves+learns(), func() { node.directory.SetEvacuated(map[string]bool{coldZone: true}) })
		add(returns+learns(), func() { node.directory.SetEvacuated(nil) })
	}
	for _, cold := range []time.Duration{turnsCold, returns} {
		for range struck.pauses {
			node := f.nodes[f.drawn(len(f.nodes))]
			length := time.Duration(100+f.drawn(3000)) * time.Millisecond
			add(cold+f.within(), func() { node.pause(length) })
		}
		for range struck.cuts {
			node, at := f.nodes[f.drawn(len(f.nodes))], cold+f.within()
			add(at, func() { node.setCut(true) })
			add(at+f.within(), func() { node.setCut(false) })
		}
		for range struck.restarts {
			node := f.nodes[f.drawn(len(f.nodes))]
			add(cold+f.within(), func() { f.startAgain(node, members, replicas, struck) })
		}
		if struck.herd {
			add(cold+f.within(), func() {
				for _, node := range f.nodes {
					f.startAgain(node, members, replicas, struck)
				}
			})
		}
	}
	return events
}

// within draws a moment of a cold time in which all nodes know of the replicas.
func (f *testFleet) within() time.Duration {
	return 500*time.Millisecond + time.Duration(f.drawn(int(staysCold-time.Second)))
}

// startAgain starts a node that lists the replicas by their entries.
func (f *testFleet) startAgain(node *testNode, members []membership.Member, replicas int, struck trouble) {
	node.restart(f.viewOf(node, members, struck), f.replicas(replicas, staysCold))
}

func (n *testNode) pause(length time.Duration) {
	n.fleet.mutex.Lock()
	defer n.fleet.mutex.Unlock()
	n.pausedUntil = time.Now().Add(length)
}

func (n *testNode) setCut(cut bool) { n.store.set(func() { n.store.cut = cut }) }

// limited admits what the Service does.
func limited(limiter Limiter) Limiter { return limiter }

// viewOf returns what a node knows of the members.
func (f *testFleet) viewOf(node *testNode, members []membership.Member, struck trouble) []membership.Member {
	if !struck.wrongViews {
		return members
	}
	part := 1 + f.drawn(len(members))
	var known []membership.Member
	for _, each := range members {
		if each.ID == node.id || f.drawn(len(members)) < part {
			known = append(known, each)
		}
	}
	return known
}

// event is something that happens in a play.
type event struct {
	at time.Duration
	do func()
}

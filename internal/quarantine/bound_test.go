package quarantine

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"
)

// TestAtMostThreeReplicasEnd has callers at all nodes send the same few messages at random times beside each other,
// some of which crash their replica. The first run of each such message is made alone: messages first sent within the
// time in which nodes learn of each other's losses may exceed the bound.
func TestAtMostThreeReplicasEnd(t *testing.T) {
	for seed := range uint64(24) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			inCluster(t, 6, 10, func(t *testing.T, c *cluster) { checkBound(t, c, rand.New(rand.NewPCG(seed, 1))) })
		})
	}
}

func checkBound(t *testing.T, c *cluster, random *rand.Rand) {
	var bad, good []Key
	for number := range 3 {
		bad = append(bad, keyOf(fmt.Sprint("bad-", number)))
		good = append(good, keyOf(fmt.Sprint("good-", number)))
	}
	var all sync.WaitGroup
	for number, key := range bad {
		member := c.nodes[number]
		c.runCrashing(member, number, key)
	}
	for range 150 {
		time.Sleep(time.Duration(random.IntN(30)) * time.Millisecond)
		member, number := c.nodes[random.IntN(5)], random.IntN(10)
		if random.IntN(4) == 0 {
			key := bad[random.IntN(len(bad))]
			all.Go(func() { c.runCrashing(member, number, key) })
			continue
		}
		key, length := good[random.IntN(len(good))], time.Duration(20+random.IntN(200))*time.Millisecond
		all.Go(func() { c.runBystander(member, number, key, length) })
	}
	all.Wait()
	time.Sleep(100 * time.Millisecond)
	for number, key := range bad {
		if ended := c.crashes(key); ended > maxEndedReplicas {
			t.Errorf("%d replicas ended under message %d, more than maxEndedReplicas", ended, number)
		}
		wantVerdict(t, c.nodes[0], key, Rejected)
	}
	for _, key := range good {
		c.runBystander(c.nodes[5], 0, key, 20*time.Millisecond)
		wantVerdict(t, c.nodes[5], key, Allowed)
	}
}

// runBystander runs a harmless message until it completes, its replica ends or it is cut off.
func (c *cluster) runBystander(member *node, number int, key Key, length time.Duration) {
	permit := member.Admit(c.t.Context(), key)
	defer permit.Release()
	if permit.Verdict() == Rejected {
		return
	}
	handle := c.placeRun(member, permit, key, number)
	cut := make(chan struct{})
	run := permit.Begin(handle, func() { close(cut) })
	for passed := time.Duration(0); passed < length; passed += time.Millisecond {
		select {
		case <-cut:
			run.End(c.t.Context(), Other)
			return
		case <-time.After(time.Millisecond):
		}
		if c.machines.endedAt(handle) {
			run.End(c.t.Context(), Lost)
			return
		}
	}
	run.End(c.t.Context(), Whole)
}

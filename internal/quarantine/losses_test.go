package quarantine

import (
	"testing"
	"testing/synctest"
	"time"
)

// loseRun runs the message at a replica that does not end, and loses the connection; with progressed, after events of
// its answer.
func loseRun(c *cluster, member *node, number int, key Key, progressed bool) Verdict {
	permit := member.Admit(c.t.Context(), key)
	defer permit.Release()
	if permit.Verdict() == Rejected {
		return Rejected
	}
	run := permit.Begin(c.handle(member, number), nil)
	time.Sleep(10 * time.Millisecond)
	if progressed {
		run.Progress(0, 5)
	}
	run.End(c.t.Context(), Lost)
	return permit.Verdict()
}

// TestLossesCountOverAllNodes: after two losses at different nodes the message is Apart at every node, after six it is
// rejected.
func TestLossesCountOverAllNodes(t *testing.T) {
	inCluster(t, 5, 8, func(t *testing.T, c *cluster) {
		key := keyOf("a")
		var got []Verdict
		for number := range maxUnfinishedRuns + 1 {
			got = append(got, loseRun(c, c.nodes[number%5], number, key, false))
			time.Sleep(100 * time.Millisecond)
		}
		for number, verdict := range got {
			want := Allowed
			switch {
			case number >= maxUnfinishedRuns:
				want = Rejected
			case number >= minLossesForApart:
				want = Apart
			}
			if verdict != want {
				t.Errorf("verdict after %d losses is %s, want %s", number, verdict, want)
			}
		}
	})
}

// TestLossesEndWithAWholeRun: a message that completed or progressed at a replica does not crash replicas, so that its
// losses are cleared.
func TestLossesEndWithAWholeRun(t *testing.T) {
	for name, end := range map[string]func(c *cluster, member *node, key Key){
		"whole": func(c *cluster, member *node, key Key) {
			permit := member.Admit(c.t.Context(), key)
			permit.Begin(c.handle(member, 0), nil).End(c.t.Context(), Whole)
			permit.Release()
		},
		"progressed": func(c *cluster, member *node, key Key) { loseRun(c, member, 0, key, true) },
	} {
		t.Run(name, func(t *testing.T) {
			inCluster(t, 4, 8, func(t *testing.T, c *cluster) {
				key := keyOf("a")
				for number := range maxUnfinishedRuns - 1 {
					loseRun(c, c.nodes[number%4], number, key, false)
					time.Sleep(100 * time.Millisecond)
				}
				end(c, c.nodes[3], key)
				time.Sleep(100 * time.Millisecond)
				for _, observer := range c.nodes {
					wantVerdict(t, observer, key, Allowed)
				}
			})
		})
	}
}

// TestOneLossIsKnownToTheKeepersOnly guards against notices to all nodes for each loss: connections are lost by chance
// all the time, and a fleet has many nodes.
func TestOneLossIsKnownToTheKeepersOnly(t *testing.T) {
	inCluster(t, 12, 8, func(t *testing.T, c *cluster) {
		key := keyOf("a")
		loseRun(c, c.nodes[0], 0, key, false)
		time.Sleep(5 * time.Second)
		knowing := 0
		for _, member := range c.nodes {
			member.mutex.Lock()
			knowing += member.evidence.losses.openCount(key)
			member.mutex.Unlock()
		}
		if knowing < lossKeepers || knowing > lossKeepers+1 {
			t.Errorf("%d nodes know of the loss, want the one that observed it and %d keepers", knowing, lossKeepers)
		}
	})
}

// TestLossesCutNoRun: losses must not cut off other runs of the message, since no replica is known to have ended.
func TestLossesCutNoRun(t *testing.T) {
	inCluster(t, 3, 8, func(t *testing.T, c *cluster) {
		key := keyOf("a")
		permit := c.nodes[2].Admit(t.Context(), key)
		cut := false
		run := permit.Begin(c.handle(c.nodes[2], 7), func() { cut = true })
		for number := range minLossesForApart {
			loseRun(c, c.nodes[number], number, key, false)
		}
		time.Sleep(100 * time.Millisecond)
		if cut {
			t.Error("the run was cut off because of losses")
		}
		run.End(t.Context(), Whole)
		permit.Release()
	})
}

func TestLossesAreBounded(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	kept := losses{}
	kept.add(Key{0xff}, 1, loss{lostAt: now})
	kept.add(Key{0xff}, 2, loss{lostAt: now})
	for number := range 2 * maxLossMessages {
		kept.add(Key{byte(number), byte(number >> 8), 1}, 1, loss{lostAt: now.Add(time.Duration(number) * time.Millisecond)})
	}
	if len(kept) > maxLossMessages || kept.openCount(Key{0xff}) != 2 {
		t.Errorf("%d messages are stored, with %d losses of the first one, want 2", len(kept), kept.openCount(Key{0xff}))
	}
	kept.expire(now.Add(retention + time.Minute))
	if len(kept) != 0 {
		t.Errorf("%d messages are stored after retention, want none", len(kept))
	}
}

// TestLossesOfAPopularMessageAreBounded: cleared losses are evicted, open ones stay.
func TestLossesOfAPopularMessageAreBounded(t *testing.T) {
	now, key := time.Unix(1_000_000, 0), keyOf("a")
	kept := losses{}
	for run := range uint64(10 * maxLossesPerMessage) {
		kept.add(key, run, loss{lostAt: now.Add(time.Duration(run) * time.Second), cleared: run%3 != 0 || run >= maxLossesPerMessage/2})
	}
	if len(kept[key]) != maxLossesPerMessage || kept.openCount(key) != maxLossesPerMessage/6 {
		t.Errorf("%d losses are stored and %d are open, want %d and %d", len(kept[key]), kept.openCount(key), maxLossesPerMessage, maxLossesPerMessage/6)
	}
}

// TestLossesJoinInAnyOrder: a cleared loss stays cleared, and a known loss is not counted again.
func TestLossesJoinInAnyOrder(t *testing.T) {
	now, key := time.Unix(1_000_000, 0), keyOf("a")
	open, cleared := losses{}, losses{}
	for run := range uint64(3) {
		open.add(key, run, loss{lostAt: now})
		cleared.add(key, run, loss{lostAt: now, cleared: run == 1})
	}
	openFirst, clearedFirst := losses{}, losses{}
	openFirst.join(open.encode(key, now), now)
	openFirst.join(cleared.encode(key, now), now)
	clearedFirst.join(cleared.encode(key, now), now)
	clearedFirst.join(open.encode(key, now), now)
	if changedAgain := clearedFirst.join(open.encode(key, now), now); len(changedAgain) != 0 || openFirst.openCount(key) != 2 || clearedFirst.openCount(key) != 2 {
		t.Errorf("%d and %d losses are open, want 2; merging them again changed %d, want none", openFirst.openCount(key), clearedFirst.openCount(key), len(changedAgain))
	}
}

// TestLeavingReplicaLosesNoRun: a run that ends with a draining replica is not a loss of its message.
func TestLeavingReplicaLosesNoRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, 2)
		member, key := c.nodes[0], keyOf("a")
		c.infos[0].Draining = true
		member.directory.Replace(c.infos)
		loseRun(c, member, 0, key, false)
		if lost := member.evidence.losses.openCount(key); lost != 0 {
			t.Errorf("%d losses are open, want none", lost)
		}
		c.stop()
	})
}

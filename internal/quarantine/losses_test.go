package quarantine

import (
	"testing"
	"testing/synctest"
	"time"
)

// loseRun has the message run at a replica that lives and lose its connection, after events of its answer where progressed.
func loseRun(c *cluster, at *node, number int, key Key, progressed bool) Verdict {
	permit := at.Admit(c.t.Context(), key)
	defer permit.Release()
	if permit.Verdict() == Rejected {
		return Rejected
	}
	run := permit.Begin(c.handle(at, number), nil)
	time.Sleep(10 * time.Millisecond)
	if progressed {
		run.Progress(0, 5)
	}
	run.End(c.t.Context(), Lost)
	return permit.Verdict()
}

// TestLossesCountOverAllNodes: two losses seen by different nodes have the message run apart at each, six are the most.
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
				t.Errorf("after %d losses: %s, want %s", number, verdict, want)
			}
		}
	})
}

// TestLossesEndWithAWholeRun: what came to its end, or further, at a replica does not crash them.
func TestLossesEndWithAWholeRun(t *testing.T) {
	for name, end := range map[string]func(c *cluster, at *node, key Key){
		"whole": func(c *cluster, at *node, key Key) {
			permit := at.Admit(c.t.Context(), key)
			permit.Begin(c.handle(at, 0), nil).End(c.t.Context(), Whole)
			permit.Release()
		},
		"further": func(c *cluster, at *node, key Key) { loseRun(c, at, 0, key, true) },
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
				for _, member := range c.nodes {
					wantVerdict(t, member, key, Allowed)
				}
			})
		})
	}
}

// TestOneLossIsKnownToTheKeepersOnly: connections are lost by chance all the time, and a fleet has many nodes.
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
			t.Errorf("%d nodes know of the loss, want the one that saw it and %d keepers", knowing, lossKeepers)
		}
	})
}

// TestLossesCutNoRun: other runs of the message go on, since no replica is known to have ended.
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
			t.Error("the run was cut off")
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
		t.Errorf("%d messages are kept, %d losses of the one with most", len(kept), kept.openCount(Key{0xff}))
	}
	kept.expire(now.Add(retention + time.Minute))
	if len(kept) != 0 {
		t.Errorf("%d messages are kept after their time", len(kept))
	}
}

// TestLossesOfAPopularMessageAreBounded: cleared ones give way, open ones stay.
func TestLossesOfAPopularMessageAreBounded(t *testing.T) {
	now, key := time.Unix(1_000_000, 0), keyOf("a")
	kept := losses{}
	for run := range uint64(10 * maxLossesPerMessage) {
		kept.add(key, run, loss{lostAt: now.Add(time.Duration(run) * time.Second), cleared: run%3 != 0 || run >= maxLossesPerMessage/2})
	}
	if len(kept[key]) != maxLossesPerMessage || kept.openCount(key) != maxLossesPerMessage/6 {
		t.Errorf("%d losses are kept, %d of them open, want %d and %d", len(kept[key]), kept.openCount(key), maxLossesPerMessage, maxLossesPerMessage/6)
	}
}

// TestLossesJoinInAnyOrder: a cleared loss stays cleared, and one that is known counts once.
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
	if again := clearedFirst.join(open.encode(key, now), now); len(again) != 0 || openFirst.openCount(key) != 2 || clearedFirst.openCount(key) != 2 {
		t.Errorf("%d and %d open losses, want 2; %d new ones the second time", openFirst.openCount(key), clearedFirst.openCount(key), len(again))
	}
}

// TestLeavingReplicaLosesNoRun: what a planned end breaks off speaks against no message.
func TestLeavingReplicaLosesNoRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, 2)
		at, key := c.nodes[0], keyOf("a")
		c.infos[0].Draining = true
		at.directory.Replace(c.infos)
		loseRun(c, at, 0, key, false)
		if lost := at.evidence.losses.openCount(key); lost != 0 {
			t.Errorf("%d losses", lost)
		}
		c.stop()
	})
}

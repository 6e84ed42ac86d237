package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/sloelift/sloelift/internal/replica"
)

// itemEnd is the end of a replica where only a run of the item "a" was under way, before its first event.
type itemEnd struct{ request, granted, unseen bool }

// TestOnlyARunApartRejectsAnItem guards accepted items against rejection when replicas end by chance under several of
// their runs.
func TestOnlyARunApartRejectsAnItem(t *testing.T) {
	for name, test := range map[string]struct {
		ends []itemEnd
		want Verdict
	}{
		"two ends":                             {make([]itemEnd, 2), Apart},
		"two ends, one of them apart":          {[]itemEnd{{}, {granted: true}}, Apart},
		"three ends of runs side by side":      {make([]itemEnd, 3), Apart},
		"three ends, the last two apart":       {[]itemEnd{{}, {granted: true}, {granted: true}}, Rejected},
		"three ends, one of them apart":        {[]itemEnd{{}, {granted: true}, {}}, Rejected},
		"two ends and an unseen one":           {[]itemEnd{{}, {granted: true}, {unseen: true}}, Apart},
		"three ends, one of them of a request": {[]itemEnd{{}, {}, {request: true}}, Rejected},
		"maxEndedWithProgress ends":            {make([]itemEnd, maxEndedWithProgress), Rejected},
		"two ends of requests":                 {[]itemEnd{{request: true}, {request: true}}, Rejected},
	} {
		t.Run(name, func(t *testing.T) {
			store, start, key := newEvidenceStore(), time.Unix(1_000_000, 0), keyOf("a")
			for number, end := range test.ends {
				suspected := suspect{
					runDuration:  100 * time.Millisecond,
					reachedKnown: true,
					item:         !end.request && !end.unseen,
					granted:      end.granted,
					unseen:       end.unseen,
					origin:       originSeen,
				}
				store.add(replica.Key(number+1), start.Add(time.Duration(number)*time.Second), key, suspected)
			}
			now := start.Add(time.Minute)
			receiver := newEvidenceStore()
			receiver.join(store.encodeAll(now), now)
			if local, remote := store.verdict(key), receiver.verdict(key); local != test.want || remote != test.want {
				t.Errorf("verdict on the item is %s, and %s at a node that received the evidence, want %s", local, remote, test.want)
			}
		})
	}
}

// TestServiceIsCalmWhileFewReplicasEnd covers the condition for a run of an item after which the item may be rejected.
func TestServiceIsCalmWhileFewReplicasEnd(t *testing.T) {
	const own, other = "own", "other"
	now := time.Unix(1_000_000, 0)
	for name, test := range map[string]struct {
		replicas int
		ended    int
		ago      time.Duration
		service  string
		assumed  bool
		want     bool
	}{
		"nothing ended":                        {12, 0, 0, own, false, true},
		"one of few replicas":                  {12, 1, 2 * time.Second, own, false, false},
		"one before the window":                {12, 1, stableWindow, own, false, true},
		"one of another service":               {12, 1, time.Second, other, false, true},
		"one of an unknown service":            {12, 1, time.Second, "", false, false},
		"one at an assumed time":               {12, 1, time.Second, own, true, true},
		"few of many replicas":                 {10_000, 200, time.Second, own, false, true},
		"more of many replicas":                {10_000, 201, time.Second, own, false, false},
		"one of stableReplicasPerEnd replicas": {stableReplicasPerEnd, 1, time.Second, own, false, true},
	} {
		t.Run(name, func(t *testing.T) {
			store := newEvidenceStore()
			for number := range test.ended {
				ended := replica.Key(number + 1)
				store.addSuspect(store.incidentFor(ended, now.Add(-test.ago), test.assumed), keyOf(fmt.Sprint(number)), suspect{})
				store.setService(ended, test.service)
			}
			receiver := newEvidenceStore()
			receiver.join(store.encodeAll(now), now)
			if local, remote := store.isStable(own, test.replicas, stableWindow, now), receiver.isStable(own, test.replicas, stableWindow, now); local != test.want || remote != test.want {
				t.Errorf("stable is %t, and %t at a node that received the evidence, want %t", local, remote, test.want)
			}
		})
	}
}

// TestNodeThatHasJustStartedIsNotCalm guards items against a run that may reject them at a node that does not know yet
// which replicas ended before its start.
func TestNodeThatHasJustStartedIsNotCalm(t *testing.T) {
	inCluster(t, 3, 4, func(t *testing.T, c *cluster) {
		member := c.nodes[0]
		if member.Stable("s") {
			t.Error("Stable is true right after the start of the node")
		}
		time.Sleep(stableWindow)
		if !member.Stable("s") {
			t.Error("Stable is false, though no replica ended")
		}
		c.runCrashing(c.nodes[1], 0, keyOf("a"))
		time.Sleep(50 * time.Millisecond)
		if member.Stable("s") {
			t.Error("Stable is true right after a replica ended under a run of another node")
		}
	})
}

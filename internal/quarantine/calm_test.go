package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/sloelift/sloelift/internal/replica"
)

// itemEnd is the end of a replica under a run of the item "a" alone, before its first event.
type itemEnd struct{ request, granted, unseen bool }

// TestOnlyARunApartRejectsAnItem guards accepted items against being rejected by ends that met several of their runs by chance.
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
		"two ends and one that nobody saw":     {[]itemEnd{{}, {granted: true}, {unseen: true}}, Apart},
		"three ends, one of them of a request": {[]itemEnd{{}, {}, {request: true}}, Rejected},
		"as many ends as there may be in all":  {make([]itemEnd, mostEndedInAll), Rejected},
		"two ends of requests":                 {[]itemEnd{{request: true}, {request: true}}, Rejected},
	} {
		t.Run(name, func(t *testing.T) {
			made, start, key := newBook(), time.Unix(1_000_000, 0), keyOf("a")
			for number, each := range test.ends {
				doubt := suspect{ran: 100 * time.Millisecond, reachedKnown: true, item: !each.request && !each.unseen, granted: each.granted, unseen: each.unseen, origin: originSeen}
				made.add(replica.Key(number+1), start.Add(time.Duration(number)*time.Second), key, doubt)
			}
			now := start.Add(time.Minute)
			told := newBook()
			told.join(made.all(now), now)
			if here, there := made.verdict(key), told.verdict(key); here != test.want || there != test.want {
				t.Errorf("the item is %s here and %s at a node that was told, want %s", here, there, test.want)
			}
		})
	}
}

// TestServiceIsCalmWhileFewReplicasEnd covers what the deciding run of an item waits for.
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
		"nothing ended":                          {12, 0, 0, own, false, true},
		"one of few replicas":                    {12, 1, 2 * time.Second, own, false, false},
		"one a while ago":                        {12, 1, calmWindow, own, false, true},
		"one of another service":                 {12, 1, time.Second, other, false, true},
		"one of a service that nobody named":     {12, 1, time.Second, "", false, false},
		"one at a time that nobody saw":          {12, 1, time.Second, own, true, true},
		"few of many replicas":                   {10_000, 200, time.Second, own, false, true},
		"more of many replicas":                  {10_000, 201, time.Second, own, false, false},
		"one of as many replicas as one may end": {calmPart, 1, time.Second, own, false, true},
	} {
		t.Run(name, func(t *testing.T) {
			made := newBook()
			for number := range test.ended {
				ended := replica.Key(number + 1)
				made.addSuspect(made.incidentAt(ended, now.Add(-test.ago), test.assumed), keyOf(fmt.Sprint(number)), suspect{})
				made.noteService(ended, test.service)
			}
			told := newBook()
			told.join(made.all(now), now)
			if here, there := made.calm(own, test.replicas, now), told.calm(own, test.replicas, now); here != test.want || there != test.want {
				t.Errorf("calm here: %t, at a node that was told: %t, want %t", here, there, test.want)
			}
		})
	}
}

// TestNodeThatHasJustStartedIsNotCalm guards items against a deciding run at a node that does not know yet which replicas ended before its start.
func TestNodeThatHasJustStartedIsNotCalm(t *testing.T) {
	inCluster(t, 3, 4, func(t *testing.T, c *cluster) {
		at := c.nodes[0]
		if at.Calm("s") {
			t.Error("the node is calm at its start")
		}
		time.Sleep(calmWindow)
		if !at.Calm("s") {
			t.Error("the node is not calm, though nothing ended")
		}
		c.crashing(c.nodes[1], 0, keyOf("a"))
		time.Sleep(50 * time.Millisecond)
		if at.Calm("s") {
			t.Error("the node is calm right after the end of a replica elsewhere")
		}
	})
}

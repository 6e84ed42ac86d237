package quarantine

import (
	"testing"
	"time"

	quarantinepb "github.com/sloelift/sloelift/api/proto/quarantine"
	"github.com/sloelift/sloelift/internal/clock"
	"github.com/sloelift/sloelift/internal/replica"
)

// sentEnd is the end of a replica and the notice of it, which was sent as soon as the end was learned of.
type sentEnd struct {
	learnedAt time.Time
	notice    *quarantinepb.Notice
}

// itemEndsBesideOthers returns two ends of replicas under other messages, and two more 24 ms apart under an item.
func itemEndsBesideOthers(start time.Time, item Key) []sentEnd {
	ended := func(number replica.Key, after time.Duration, message Key) sentEnd {
		store, learnedAt := newEvidenceStore(), start.Add(after)
		store.add(number, learnedAt, message, suspect{runDuration: 100 * time.Millisecond, reachedKnown: true, item: true, origin: originSeen})
		return sentEnd{learnedAt: learnedAt, notice: &quarantinepb.Notice{Incidents: store.encodeAll(learnedAt)}}
	}
	return []sentEnd{
		ended(1, 0, keyOf("other")),
		ended(2, 400*time.Millisecond, keyOf("another")),
		ended(3, 900*time.Millisecond, item),
		ended(4, 924*time.Millisecond, item),
	}
}

// TestNoticesReadAfterAPauseMakeNoMassCrash guards the bound of three replicas for an item that ends them: a node that was
// paused reads the notices of several ends at once, took them for a crash of several replicas, and counted one of the
// item's two ends. Nodes that asked it for its evidence did the same.
func TestNoticesReadAfterAPauseMakeNoMassCrash(t *testing.T) {
	item, start := keyOf("item"), time.Unix(1_000_000, 0)
	wakesAt, asksAt := start.Add(2*time.Second), start.Add(3*time.Second)
	prompt, paused := newEvidenceStore(), newEvidenceStore()
	for _, end := range itemEndsBesideOthers(start, item) {
		prompt.join(end.notice.GetIncidents(), end.learnedAt)
		paused.join(end.notice.GetIncidents(), wakesAt)
	}
	started := newEvidenceStore()
	started.join(paused.encodeAll(asksAt), asksAt)
	for _, receiver := range []*evidenceStore{paused, started} {
		receiver.join(prompt.encodeAll(asksAt), asksAt)
	}
	prompt.join(paused.encodeAll(asksAt), asksAt)
	for name, store := range map[string]*evidenceStore{
		"read each notice when it was sent":               prompt,
		"was paused":                                      paused,
		"started and asked the one that was paused first": started,
	} {
		if got := store.endCount(item); got != 2 {
			t.Errorf("a node that %s counts %d ends under the item, want 2", name, got)
		}
	}
}

// TestCorrectedTimesOfEndsDeferAnItem: a node that was paused learns the times of ends that it knows already. That alone
// must change what follows for the messages that ran there.
func TestCorrectedTimesOfEndsDeferAnItem(t *testing.T) {
	inCluster(t, 1, 4, func(t *testing.T, c *cluster) {
		member, item, wakesAt := c.nodes[0], keyOf("item"), clock.Now()
		ends := itemEndsBesideOthers(wakesAt.Add(-2*time.Second), item)
		for _, end := range ends {
			member.join(end.notice, wakesAt)
		}
		member.mutex.Lock()
		changed := member.changed
		member.mutex.Unlock()
		for _, end := range ends {
			member.join(end.notice, end.learnedAt)
		}
		if !member.NextEndRejects(item) {
			t.Error("the item's next run is not its deciding run although two replicas ended under it")
		}
		select {
		case <-changed:
		default:
			t.Error("the callers that wait for a change of the evidence were not woken")
		}
	})
}

package quarantine

import (
	"testing"
	"time"

	quarantinepb "github.com/sloelift/sloelift/api/proto/quarantine"
	"github.com/sloelift/sloelift/internal/replica"
)

// endWithProgress is the end of a replica under the message "a" alone: how many events its answer had when the run began and when the replica ended.
type endWithProgress struct{ from, to int }

// storeOf returns a book of these ends, a second apart, each of a short run.
func storeOf(ends []endWithProgress) *evidenceStore {
	store := newEvidenceStore()
	start := time.Unix(1_000_000, 0)
	for number, end := range ends {
		store.add(replica.Key(number+1), start.Add(time.Duration(number)*time.Second), keyOf("a"),
			suspect{runDuration: 400 * time.Millisecond, progressed: end.to > end.from, reached: end.to, reachedKnown: true, origin: originSeen})
	}
	return store
}

// TestWhatAnAnswerHasPassedDoesNotCount: replicas that end by a message end at the same point of it; an answer that has come further was not ended by its message
// there.
func TestWhatAnAnswerHasPassedDoesNotCount(t *testing.T) {
	for name, test := range map[string]struct {
		ends []endWithProgress
		want Verdict
	}{
		"one end that made events":                    {[]endWithProgress{{0, 100}}, Apart},
		"two ends, each further on":                   {[]endWithProgress{{0, 47}, {47, 78}}, Apart},
		"three ends, each further on":                 {[]endWithProgress{{0, 8}, {8, 38}, {38, 211}}, Apart},
		"before the first event, then far on":         {[]endWithProgress{{0, 0}, {0, 120}}, Apart},
		"twice before the first event":                {[]endWithProgress{{0, 0}, {0, 0}}, Rejected},
		"at the same point of a resumed answer":       {[]endWithProgress{{0, 50}, {50, 50}, {50, 50}}, Rejected},
		"the last events of a run were lost":          {[]endWithProgress{{0, 45}, {45, 50}, {50, 50}}, Rejected},
		"at the same point for three callers":         {[]endWithProgress{{0, 50}, {0, 48}, {0, 51}}, Rejected},
		"far on, then three times before it goes on":  {[]endWithProgress{{0, 100}, {100, 100}, {100, 100}}, Rejected},
		"six ends, each further on, are the most":     {[]endWithProgress{{0, 30}, {30, 60}, {60, 90}, {90, 120}, {120, 150}, {150, 180}}, Rejected},
		"five ends, each further on, are not as many": {[]endWithProgress{{0, 30}, {30, 60}, {60, 90}, {90, 120}, {120, 150}}, Apart},
	} {
		t.Run(name, func(t *testing.T) {
			if got := storeOf(test.ends).verdict(keyOf("a")); got != test.want {
				t.Errorf("the message is %s, want %s", got, test.want)
			}
		})
	}
}

// TestProgressIsShared: what a run had made reaches other nodes, in any order, and stays known where a node of another build passes the end on without it.
func TestProgressIsShared(t *testing.T) {
	now := time.Unix(1_000_100, 0)
	seen := storeOf([]endWithProgress{{0, 47}, {47, 78}}).encodeAll(now)
	older := storeOf([]endWithProgress{{0, 47}, {47, 78}}).encodeAll(now)
	for _, incident := range older {
		for _, suspected := range incident.Suspects {
			suspected.Progress, suspected.Reached = quarantinepb.Progress_PROGRESS_UNSPECIFIED, 0
		}
	}
	for name, order := range map[string][][]*quarantinepb.Incident{"older build first": {older, seen}, "older build last": {seen, older}} {
		receiver := newEvidenceStore()
		for _, incident := range order {
			receiver.join(incident, now)
		}
		if got := receiver.endCount(keyOf("a")); got != 1 {
			t.Errorf("%s: %d ends count, want the last", name, got)
		}
	}
}

// TestEndsFromOtherBuildsAreNotStrong: nodes of other builds do not say what a run had made. Two ends of short runs from them do not reject a message; three do.
func TestEndsFromOtherBuildsAreNotStrong(t *testing.T) {
	now := time.Unix(1_000_100, 0)
	for ends, want := range map[int]Verdict{2: Apart, 3: Rejected} {
		encoded := storeOf(make([]endWithProgress, ends)).encodeAll(now)
		for _, incident := range encoded {
			incident.Suspects[0].Progress = quarantinepb.Progress_PROGRESS_UNSPECIFIED
		}
		receiver := newEvidenceStore()
		receiver.join(encoded, now)
		if got := receiver.verdict(keyOf("a")); got != want {
			t.Errorf("after %d ends the message is %s, want %s", ends, got, want)
		}
	}
}

// TestNewOwnerClearsWhatTheTextHasPassed: the owner of an item before had shared the end of a replica under it and was killed; the log has that the item has come further.
func TestNewOwnerClearsWhatTheTextHasPassed(t *testing.T) {
	for events, want := range map[int]Verdict{52: Apart, 300: Allowed} {
		inCluster(t, 3, 4, func(t *testing.T, c *cluster) {
			key, next := keyOf("item"), c.nodes[1]
			next.mutex.Lock()
			next.evidence.add(1, time.Now(), key, suspect{runDuration: 300 * time.Millisecond, progressed: true, reached: 52, reachedKnown: true})
			next.announce(1, key)
			next.mutex.Unlock()
			time.Sleep(50 * time.Millisecond)
			next.Recall(key, []RecordedEnd{{Replica: 1, Reached: 52, ReachedKnown: true}}, events)
			time.Sleep(50 * time.Millisecond)
			for _, at := range c.nodes {
				wantVerdict(t, at, key, want)
			}
		})
	}
}

// TestEndsAtAnUnknownPointAreNotPassed: beside machines of another build, items that end their replicas at an event of their answer ended four to six of them. Nodes of the other
// build do not say how far the answer was, in messages nor in the log, and that was read as the begin, which each answer has passed.
func TestEndsAtAnUnknownPointAreNotPassed(t *testing.T) {
	inCluster(t, 3, 4, func(t *testing.T, c *cluster) {
		key, at := keyOf("item"), c.nodes[1]
		encoded := storeOf([]endWithProgress{{0, 100}, {100, 100}}).encodeAll(time.Unix(1_000_100, 0))
		for _, incident := range encoded {
			incident.AgeMillis = 1000 * incident.Replica
			incident.Suspects[0].Message, incident.Suspects[0].Progress, incident.Suspects[0].Reached = key[:], quarantinepb.Progress_PROGRESS_UNSPECIFIED, 0
		}
		at.join(&quarantinepb.Notice{Incidents: encoded}, time.Now())
		at.Recall(key, []RecordedEnd{{Replica: 1}, {Replica: 2}, {Replica: 3}}, 100)
		at.clearAfterProgress(key, 100)
		time.Sleep(10 * refreshInterval)
		for _, member := range c.nodes {
			wantVerdict(t, member, key, Rejected)
		}
	})
}

package quarantine

import (
	"testing"
	"time"

	quarantinepb "github.com/sloelift/sloelift/api/proto/quarantine"
	"github.com/sloelift/sloelift/internal/replica"
)

// endWithProgress is the end of a replica where only message "a" ran, with the number of events in its answer when the
// run began and when the replica ended.
type endWithProgress struct{ from, to int }

// storeOf returns a store with the given ends, one second apart, each of a short run.
func storeOf(ends []endWithProgress) *evidenceStore {
	store := newEvidenceStore()
	start := time.Unix(1_000_000, 0)
	for number, end := range ends {
		store.add(replica.Key(number+1), start.Add(time.Duration(number)*time.Second), keyOf("a"),
			suspect{runDuration: 400 * time.Millisecond, progressed: end.to > end.from, reached: end.to, reachedKnown: true, origin: originSeen})
	}
	return store
}

// TestEndsThatTheAnswerProgressedPastDoNotCount: a message that crashes replicas does so at the same point of its answer. An
// end at a point that the answer has progressed past was not caused by the message.
func TestEndsThatTheAnswerProgressedPastDoNotCount(t *testing.T) {
	for name, test := range map[string]struct {
		ends []endWithProgress
		want Verdict
	}{
		"one end that made events":                       {[]endWithProgress{{0, 100}}, Apart},
		"two ends, with progress":                        {[]endWithProgress{{0, 47}, {47, 78}}, Apart},
		"three ends, with progress":                      {[]endWithProgress{{0, 8}, {8, 38}, {38, 211}}, Apart},
		"before the first event, then after many":        {[]endWithProgress{{0, 0}, {0, 120}}, Apart},
		"twice before the first event":                   {[]endWithProgress{{0, 0}, {0, 0}}, Rejected},
		"at the same point of a resumed answer":          {[]endWithProgress{{0, 50}, {50, 50}, {50, 50}}, Rejected},
		"the last events of a run were lost":             {[]endWithProgress{{0, 45}, {45, 50}, {50, 50}}, Rejected},
		"at the same point for three callers":            {[]endWithProgress{{0, 50}, {0, 48}, {0, 51}}, Rejected},
		"after many events, then twice without progress": {[]endWithProgress{{0, 100}, {100, 100}, {100, 100}}, Rejected},
		"six ends, with progress, reject":                {[]endWithProgress{{0, 30}, {30, 60}, {60, 90}, {90, 120}, {120, 150}, {150, 180}}, Rejected},
		"five ends, with progress, do not reject":        {[]endWithProgress{{0, 30}, {30, 60}, {60, 90}, {90, 120}, {120, 150}}, Apart},
	} {
		t.Run(name, func(t *testing.T) {
			if got := storeOf(test.ends).verdict(keyOf("a")); got != test.want {
				t.Errorf("verdict is %s, want %s", got, test.want)
			}
		})
	}
}

// TestProgressIsShared: the progress of a run reaches other nodes, in any order of notices, and is kept when a node of
// an older build sends the same end without it.
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
			t.Errorf("%s: %d ends are counted, want only the last", name, got)
		}
	}
}

// TestEndsFromOtherBuildsAreNotStrong: nodes of older builds do not send the progress of a run. Two ends of short runs
// from them do not reject a message; three do.
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
			t.Errorf("verdict after %d ends is %s, want %s", ends, got, want)
		}
	}
}

// TestNewOwnerClearsEndsThatTheAnswerProgressedPast: the previous owner of an item shared the end of a replica and was killed. The
// log shows the new owner that the answer has progressed past that point.
func TestNewOwnerClearsEndsThatTheAnswerProgressedPast(t *testing.T) {
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
			for _, member := range c.nodes {
				wantVerdict(t, member, key, want)
			}
		})
	}
}

// TestEndsAtAnUnknownPointAreNotPassed guards the bound on ended replicas while nodes of two builds run together. Nodes
// of the other build report neither in messages nor in the log how far the answer had progressed. This was taken for the
// beginning of the answer, which every answer has progressed past, and items that crash replicas at an event of their answer
// ended four to six of them.
func TestEndsAtAnUnknownPointAreNotPassed(t *testing.T) {
	inCluster(t, 3, 4, func(t *testing.T, c *cluster) {
		key, member := keyOf("item"), c.nodes[1]
		encoded := storeOf([]endWithProgress{{0, 100}, {100, 100}}).encodeAll(time.Unix(1_000_100, 0))
		for _, incident := range encoded {
			incident.AgeMillis = 1000 * incident.Replica
			incident.Suspects[0].Message, incident.Suspects[0].Progress, incident.Suspects[0].Reached = key[:], quarantinepb.Progress_PROGRESS_UNSPECIFIED, 0
		}
		member.join(&quarantinepb.Notice{Incidents: encoded}, time.Now())
		member.Recall(key, []RecordedEnd{{Replica: 1}, {Replica: 2}, {Replica: 3}}, 100)
		member.clearAfterProgress(key, 100)
		time.Sleep(10 * refreshInterval)
		for _, observer := range c.nodes {
			wantVerdict(t, observer, key, Rejected)
		}
	})
}

// TestProgressDoesNotRuleOutAnExpiredRun guards the bound of ended replicas: an end that the owner found when a lease was
// over may be behind a later event than the owner received, at each node that learns of it.
func TestProgressDoesNotRuleOutAnExpiredRun(t *testing.T) {
	for name, test := range map[string]struct {
		expired bool
		want    int
	}{
		"run whose end was observed": {false, 0},
		"expired run":                {true, 1},
	} {
		t.Run(name, func(t *testing.T) {
			item, now := keyOf("item"), time.Unix(1_000_000, 0)
			ended := endOfItemAt(99)
			ended.expired = test.expired
			owner, other := newEvidenceStore(), newEvidenceStore()
			owner.add(1, now, item, ended)
			other.join(owner.encodeAll(now), now)
			for node, store := range map[string]*evidenceStore{"its owner": owner, "another node": other} {
				store.clear(item, 128)
				if got := store.endCount(item); got != test.want {
					t.Errorf("%d ends count at %s after the answer had 128 events, want %d", got, node, test.want)
				}
				store.clear(item, entireAnswer)
				if got := store.endCount(item); got != 0 {
					t.Errorf("%d ends count at %s after a complete run, want 0", got, node)
				}
			}
		})
	}
}

package quarantine

import (
	"testing"
	"time"

	quarantinepb "github.com/sloelift/sloelift/api/proto/quarantine"
	"github.com/sloelift/sloelift/internal/replica"
)

// endAt is the end of a replica under the message "a" alone: how many events its answer had when the run began and when the replica ended.
type endAt struct{ from, to int }

// bookOf returns a book of these ends, a second apart, each of a short run.
func bookOf(ends []endAt) *book {
	made := newBook()
	start := time.Unix(1_000_000, 0)
	for number, each := range ends {
		made.add(replica.Key(number+1), start.Add(time.Duration(number)*time.Second), keyOf("a"),
			suspect{ran: 400 * time.Millisecond, progressed: each.to > each.from, reached: each.to, reachedKnown: true, origin: originSeen})
	}
	return made
}

// TestWhatAnAnswerHasPassedDoesNotCount: replicas that end by a message end at the same point of it; an answer that has come further was not ended by its message
// there.
func TestWhatAnAnswerHasPassedDoesNotCount(t *testing.T) {
	for name, test := range map[string]struct {
		ends []endAt
		want Verdict
	}{
		"one end that made events":                    {[]endAt{{0, 100}}, Apart},
		"two ends, each further on":                   {[]endAt{{0, 47}, {47, 78}}, Apart},
		"three ends, each further on":                 {[]endAt{{0, 8}, {8, 38}, {38, 211}}, Apart},
		"before the first event, then far on":         {[]endAt{{0, 0}, {0, 120}}, Apart},
		"twice before the first event":                {[]endAt{{0, 0}, {0, 0}}, Rejected},
		"at the same point of a resumed answer":       {[]endAt{{0, 50}, {50, 50}, {50, 50}}, Rejected},
		"the last events of a run were lost":          {[]endAt{{0, 45}, {45, 50}, {50, 50}}, Rejected},
		"at the same point for three callers":         {[]endAt{{0, 50}, {0, 48}, {0, 51}}, Rejected},
		"far on, then three times before it goes on":  {[]endAt{{0, 100}, {100, 100}, {100, 100}}, Rejected},
		"six ends, each further on, are the most":     {[]endAt{{0, 30}, {30, 60}, {60, 90}, {90, 120}, {120, 150}, {150, 180}}, Rejected},
		"five ends, each further on, are not as many": {[]endAt{{0, 30}, {30, 60}, {60, 90}, {90, 120}, {120, 150}}, Apart},
	} {
		t.Run(name, func(t *testing.T) {
			if got := bookOf(test.ends).verdict(keyOf("a")); got != test.want {
				t.Errorf("the message is %s, want %s", got, test.want)
			}
		})
	}
}

// TestProgressIsShared: what a run had made reaches other nodes, in any order, and stays known where a node of another build passes the end on without it.
func TestProgressIsShared(t *testing.T) {
	now := time.Unix(1_000_100, 0)
	seen := bookOf([]endAt{{0, 47}, {47, 78}}).all(now)
	older := bookOf([]endAt{{0, 47}, {47, 78}}).all(now)
	for _, each := range older {
		for _, doubt := range each.Suspects {
			doubt.Progress, doubt.Reached = quarantinepb.Progress_PROGRESS_UNSPECIFIED, 0
		}
	}
	for name, order := range map[string][][]*quarantinepb.Incident{"older build first": {older, seen}, "older build last": {seen, older}} {
		told := newBook()
		for _, each := range order {
			told.join(each, now)
		}
		if got := told.count(keyOf("a")); got != 1 {
			t.Errorf("%s: %d ends count, want the last", name, got)
		}
	}
}

// TestEndsFromOtherBuildsAreNotStrong: nodes of other builds do not say what a run had made. Two ends of short runs from them do not reject a message; three do.
func TestEndsFromOtherBuildsAreNotStrong(t *testing.T) {
	now := time.Unix(1_000_100, 0)
	for ends, want := range map[int]Verdict{2: Apart, 3: Rejected} {
		encoded := bookOf(make([]endAt, ends)).all(now)
		for _, each := range encoded {
			each.Suspects[0].Progress = quarantinepb.Progress_PROGRESS_UNSPECIFIED
		}
		told := newBook()
		told.join(encoded, now)
		if got := told.verdict(keyOf("a")); got != want {
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
			next.book.add(1, time.Now(), key, suspect{ran: 300 * time.Millisecond, progressed: true, reached: 52, reachedKnown: true})
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
		encoded := bookOf([]endAt{{0, 100}, {100, 100}}).all(time.Unix(1_000_100, 0))
		for _, each := range encoded {
			each.AgeMillis = 1000 * each.Replica
			each.Suspects[0].Message, each.Suspects[0].Progress, each.Suspects[0].Reached = key[:], quarantinepb.Progress_PROGRESS_UNSPECIFIED, 0
		}
		at.join(&quarantinepb.Notice{Incidents: encoded}, time.Now())
		at.Recall(key, []RecordedEnd{{Replica: 1}, {Replica: 2}, {Replica: 3}}, 100)
		at.progressed(key, 100)
		time.Sleep(10 * refreshInterval)
		for _, each := range c.nodes {
			wantVerdict(t, each, key, Rejected)
		}
	})
}

package membership

import (
	"testing"
	"time"
)

func TestGrowthSettles(t *testing.T) {
	now := time.Unix(1000, 0)
	var growth JoinTracker
	for _, step := range []struct {
		after   time.Duration
		members int
		want    time.Duration
	}{
		{0, 1, 0},
		{300 * time.Millisecond, 1, 300 * time.Millisecond},
		{300 * time.Millisecond, 40, 0},
		{time.Second, 40, time.Second},
		{time.Second, 39, 2 * time.Second},
		{time.Second, 41, 0},
	} {
		now = now.Add(step.after)
		if got := growth.SettledFor(&View{Members: make([]Member, step.members)}, now); got != step.want {
			t.Errorf("settled for %s with %d members, want %s", got, step.members, step.want)
		}
	}
}

// Joining ends once no further members are learnt of, and at the latest after maxWait.
func TestJoiningEndsOnceTheMembersAreKnown(t *testing.T) {
	const least, longest = 600 * time.Millisecond, 3 * time.Second
	started := time.Unix(1000, 0)
	var growth JoinTracker
	for _, step := range []struct {
		since   time.Duration
		members int
		want    bool
	}{
		{0, 1, true},
		{500 * time.Millisecond, 10, true},
		{time.Second, 10, true},
		{1100 * time.Millisecond, 10, false},
		{2 * time.Second, 20, true},
		{3 * time.Second, 30, false},
	} {
		if got := growth.Joining(&View{Members: make([]Member, step.members)}, started.Add(step.since), step.since, least, longest); got != step.want {
			t.Errorf("joining %t after %s with %d members, want %t", got, step.since, step.members, step.want)
		}
	}
}

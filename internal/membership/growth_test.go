package membership

import (
	"testing"
	"time"
)

func TestGrowthSettles(t *testing.T) {
	now := time.Unix(1000, 0)
	var growth Growth
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

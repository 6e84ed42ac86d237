package membership

import "testing"

func TestPerViewWorksOutOnceAView(t *testing.T) {
	var kept ViewCache[int]
	worked := 0
	count := func(view *View) int {
		worked++
		return len(view.Members)
	}
	one, other := &View{Members: make([]Member, 1)}, &View{Members: make([]Member, 2)}
	for _, step := range []struct {
		view         *View
		want, worked int
	}{{one, 1, 1}, {one, 1, 1}, {other, 2, 2}, {other, 2, 2}, {one, 1, 3}} {
		if got := kept.Get(step.view, count); got != step.want || worked != step.worked {
			t.Errorf("value %d after %d computations, want %d after %d", got, worked, step.want, step.worked)
		}
	}
}

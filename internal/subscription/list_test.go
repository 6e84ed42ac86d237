package subscription

import "testing"

func TestNotifyReachesThoseThatAreNotRemoved(t *testing.T) {
	var list List[int]
	var first, second int
	var removeFirst func()
	removeFirst = list.Add(func(value int) {
		first += value
		removeFirst() // remove must work from within a call
	})
	list.Add(func(value int) { second += value })
	list.Notify(1)
	list.Notify(2)
	if first != 1 || second != 3 {
		t.Fatalf("first got %d, want 1; second got %d, want 3", first, second)
	}
}

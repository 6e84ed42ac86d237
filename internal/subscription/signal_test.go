package subscription

import "testing"

func TestSignalsAreMergedUntilOneIsTaken(t *testing.T) {
	channel := make(chan struct{}, 1)
	for range 2 {
		Signal(channel)
		Signal(channel)
		<-channel
		if len(channel) > 0 {
			t.Error("two pending signals, want the second to be merged into the first")
		}
	}
}

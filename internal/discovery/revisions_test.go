package discovery

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
)

// TestGatheringIsNoReasonToList: changes that the watching nodes gather for 600 ms come by themselves; a node that has not had them
// for longer lists anew.
func TestGatheringIsNoReasonToList(t *testing.T) {
	const gather = 600 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		known := newRevisions(func(int64) {}, zerolog.Nop())
		defer known.stop()
		known.saw(1)
		known.takeOthers(2)
		time.Sleep(gather + 50*time.Millisecond)
		known.saw(2)
		time.Sleep(time.Minute)
		if len(known.behind) != 0 {
			t.Error("a node whose watch brought the change lists anew")
		}
		known.takeOthers(3)
		time.Sleep(2 * gather)
		if len(known.behind) != 1 {
			t.Error("a node whose watch brings nothing does not list anew")
		}
	})
}

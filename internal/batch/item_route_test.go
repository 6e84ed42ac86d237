package batch

import (
	"testing"
	"testing/synctest"
	"time"

	batchpb "github.com/sloelift/sloelift/api/proto/batch"
	"github.com/sloelift/sloelift/internal/replica/replicatest"
)

// TestOwnerBehindTheConfigurationGivesNothingUp: an item was given up as one whose route is gone where its owner had not heard of the route yet: an edge that had the newer
// configuration had accepted the job, and the owner was cut off from it for over five seconds. Found by looking for items that are given up for good on a
// guess, after some that were held back on one.
func TestOwnerBehindTheConfigurationGivesNothingUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		owner := own(t, only(replicatest.Stream("s", true, false, eventOne)))
		defer owner.end()
		owner.routes.Offer(testTable(2, false))
		submission := batchOf("j", 1)
		submission.ConfigurationVersion = 3
		owner.mustSubmit(t, submission)
		time.Sleep(3 * routeMissingTimeout)
		if listed := owner.results(t, "j", 0, time.Second); len(listed) != 0 {
			t.Errorf("the item is %s before the owner knows the configuration by which it was accepted", listed[0].State)
		}
		owner.routes.Offer(testTable(3, true))
		if result := owner.results(t, "j", 1, 5*time.Second)[0]; result.State != batchpb.State_STATE_SUCCEEDED {
			t.Errorf("the item is %s", result.State)
		}
	})
}

// TestRouteThatComesBackIsNotMissing: the time for which an item's route is missing went on counting while the route was there and no replica had room, so that a second
// short absence gave the item up.
func TestRouteThatComesBackIsNotMissing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		owner := own(t, only(replicatest.Stream("s", true, false, eventOne)))
		defer owner.end()
		owner.routes.Offer(testTable(2, false))
		owner.mustSubmit(t, batchOf("j", 1))
		time.Sleep(2 * time.Second)
		owner.pauseItem(itemKey{job: "j"}, 0)
		for _, handle := range owner.service.directory.View().Of("s") {
			for range handle.Info().Slots {
				defer handle.Acquire()()
			}
		}
		owner.routes.Offer(testTable(3, true))
		time.Sleep(2 * routeMissingTimeout)
		owner.routes.Offer(testTable(4, false))
		time.Sleep(routeMissingTimeout / 2)
		if listed := owner.results(t, "j", 0, time.Second); len(listed) != 0 {
			t.Errorf("the item is %s though its route was missing for less than %s", listed[0].State, routeMissingTimeout)
		}
	})
}

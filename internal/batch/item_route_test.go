package batch

import (
	"testing"
	"testing/synctest"
	"time"

	batchpb "github.com/sloelift/sloelift/api/proto/batch"
	"github.com/sloelift/sloelift/internal/replica/replicatest"
)

// TestOwnerWithOlderConfigurationGivesUpNoItem guards against giving up an item as one without a route if its owner does not know
// the route yet: an edge with a newer configuration had accepted the job, and the owner was cut off from that configuration for over
// five seconds.
func TestOwnerWithOlderConfigurationGivesUpNoItem(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		owner := startOwner(t, singleReplica(replicatest.Stream("s", true, false, eventOne)))
		defer owner.stop()
		owner.routes.Offer(testTable(2, false))
		submission := testSubmission("j", 1)
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

// TestRouteThatComesBackIsNotMissing guards against adding up separate absences of an item's route: the time continued to count
// while the route was back and no replica had room, so that a second short absence gave the item up.
func TestRouteThatComesBackIsNotMissing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		owner := startOwner(t, singleReplica(replicatest.Stream("s", true, false, eventOne)))
		defer owner.stop()
		owner.routes.Offer(testTable(2, false))
		owner.mustSubmit(t, testSubmission("j", 1))
		time.Sleep(2 * time.Second)
		owner.pauseItem(itemKey{job: "j"}, 0)
		for _, handle := range owner.service.directory.View().ForService("s") {
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

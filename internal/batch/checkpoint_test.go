package batch

import (
	"bytes"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sloelift/sloelift/internal/replica/replicatest"
)

// TestSubmissionWaitsBehindCheckpoints checks that a job is accepted soon while many items run: the text of all of them,
// logged at once, occupies the owner's link for longer than a submission may take.
func TestSubmissionWaitsBehindCheckpoints(t *testing.T) {
	const (
		running       = 500
		eventInterval = 36 * time.Millisecond
		eventBytes    = 75
		// storeBytesPerSecond is what remains for each of four other stores on a link of 120 Mbit/s.
		storeBytesPerSecond = 15_000_000 / 4
		submissionBytes     = 80_000
		// acceptanceLimit is a quarter of the shortest time that a route allows for the answer to a submission.
		acceptanceLimit = 100 * time.Millisecond
	)
	synctest.Test(t, func(t *testing.T) {
		owner := startOwner(t, singleReplica(replicatest.Hang()), acceptanceRecords(testSubmission("running", running), time.Now().UnixMilli())...)
		defer owner.stop()
		owner.service.options.MaxBytes = 1 << 30
		owner.owned.bytesPerSecond = storeBytesPerSecond
		event := bytes.Repeat([]byte("x"), eventBytes)
		owner.generateText("running", running, nil)
		ended := time.Now().Add(6 * time.Second)
		longest := time.Duration(0)
		for number := 0; time.Now().Before(ended); number++ {
			for range 4 {
				time.Sleep(eventInterval)
				owner.generateText("running", running, event)
			}
			submission := testSubmission(fmt.Sprint("job-", number), 1)
			submission.Items[0].Body = make([]byte, submissionBytes)
			began := time.Now()
			owner.mustSubmit(t, submission)
			longest = max(longest, time.Since(began))
		}
		if longest > acceptanceLimit {
			t.Errorf("a submission took %s, want at most %s", longest, acceptanceLimit)
		}
	})
}

// TestCheckpointInPartsLogsEachItemInTime checks that the text of an item is in the log soon after checkpointInterval, whatever
// the number of running items.
func TestCheckpointInPartsLogsEachItemInTime(t *testing.T) {
	const (
		running = 500
		// logTime is the longest time that one append takes.
		logTime = 100 * time.Millisecond
	)
	synctest.Test(t, func(t *testing.T) {
		owner := startOwner(t, singleReplica(replicatest.Hang()), acceptanceRecords(testSubmission("running", running), time.Now().UnixMilli())...)
		defer owner.stop()
		owner.service.options.MaxBytes = 1 << 30
		owner.owned.bytesPerSecond = 15_000_000 / 4
		owner.generateText("running", running, bytes.Repeat([]byte("x"), 3_000))
		time.Sleep(checkpointInterval + 5*logTime)
		owner.mutex.RLock()
		for number := range running {
			if len(owner.state.jobs["running"].items[number].loggedText()) == 0 {
				t.Errorf("no text of item %d is in the log", number)
				break
			}
		}
		owner.mutex.RUnlock()
	})
}

// generateText appends text to what each of the first count items of a job has generated. The items count as running.
func (o *testOwner) generateText(job string, count int, text []byte) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	for number := range count {
		run := o.ensureRun(itemKey{job: job, number: number})
		run.running = true
		run.text = append(run.text, text...)
	}
}

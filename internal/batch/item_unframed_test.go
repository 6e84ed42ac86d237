package batch

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	batchpb "github.com/sloelift/sloelift/api/proto/batch"
	"github.com/sloelift/sloelift/internal/replica/replicatest"
)

// unframed answers with neither a length nor chunks and closes the connection after the events that follow the request's last one,
// at most most of them.
func unframed(most int, events ...string) replicatest.Script {
	return func(connection net.Conn, request *http.Request) bool {
		_, _ = fmt.Fprintf(connection, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Signature: s\r\nContent-Type: text/event-stream\r\n\r\n", request.Header.Get("X-Id"))
		var last int
		_, _ = fmt.Sscan(request.Header.Get("Last-Event-Id"), &last)
		for _, event := range events[last:min(last+most, len(events))] {
			_, _ = io.WriteString(connection, event)
		}
		return false
	}
}

// TestItemIsDoneByAnswersWithoutALength guards items against being run for ever: an answer with neither a length nor chunks was never
// taken as whole, and the runs behind its last event, which bring nothing, counted against the item until it was held back.
func TestItemIsDoneByAnswersWithoutALength(t *testing.T) {
	const eventThree = "id: 3\ndata: c\n\n"
	for name, test := range map[string]struct {
		script replicatest.Script
		runs   int
	}{
		"whole":                       {unframed(3, eventOne, eventTwo, eventThree), 2},
		"broken off between events":   {unframed(1, eventOne, eventTwo, eventThree), 4},
		"broken off inside an event":  {replicatest.Then(unframed(2, eventOne, eventTwo[:8]), unframed(3, eventOne, eventTwo, eventThree)), 3},
		"broken off before any event": {replicatest.Then(unframed(0), unframed(3, eventOne, eventTwo, eventThree)), 3},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				owner := startOwner(t, singleReplica(test.script))
				defer owner.stop()
				owner.mustSubmit(t, testSubmission("j", 1))
				result := owner.results(t, "j", 1, 10*time.Second)[0]
				if result.State != batchpb.State_STATE_SUCCEEDED || result.Text != "a\nb\nc" {
					t.Errorf("the item is %s with the text %q", result.State, result.Text)
				}
				if runs := len(owner.replicas.Requests()); runs != test.runs {
					t.Errorf("%d runs, want %d", runs, test.runs)
				}
			})
		})
	}
}

// TestReplicaThatClosesBeforeAnyEventIsAvoided guards replicas against a run after the other without a pause: an answer without a length
// that brings nothing is a failure of its replica, unless the item's whole text was there before.
func TestReplicaThatClosesBeforeAnyEventIsAvoided(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		owner := startOwner(t, singleReplica(unframed(0, eventOne)))
		defer owner.stop()
		owner.mustSubmit(t, testSubmission("j", 1))
		time.Sleep(10 * time.Second)
		// A replica is avoided for 0.2 s at least after a failure; where it is the only one, that is the pause between two runs.
		const most = 10 * time.Second / (200 * time.Millisecond)
		if runs := len(owner.replicas.Requests()); runs > int(most) {
			t.Errorf("the replica got %d runs within 10 s, want %d at most", runs, most)
		}
		if owner.service.directory.View().Find("a").FailureRate() == 0 {
			t.Error("the answers do not count as failures of their replica")
		}
	})
}

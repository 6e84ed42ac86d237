package batch

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	batchpb "github.com/sloelift/sloelift/api/proto/batch"
)

// slowReplica sends one event per pace, up to number count, starting after the event that the request names, until the caller closes
// the connection.
func slowReplica(count int, pace time.Duration) func(connection net.Conn, request *http.Request) bool {
	return func(connection net.Conn, request *http.Request) bool {
		_, _ = fmt.Fprintf(connection, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Signature: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
			request.Header.Get("X-Id"))
		last, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
		for number := last + 1; number <= count; number++ {
			time.Sleep(pace)
			event := fmt.Sprintf("id: %d\ndata: %d\n\n", number, number)
			if _, err := fmt.Fprintf(connection, "%x\r\n%s\r\n", len(event), event); err != nil {
				return false
			}
		}
		_, err := connection.Write([]byte("0\r\n\r\n"))
		return err == nil
	}
}

// TestItemsRunUnderLeases checks that a long item runs in parts, each under a deadline that ends soon after its owner would be lost,
// and that the parts form the whole text.
func TestItemsRunUnderLeases(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const events = 50
		owner := startOwner(t, singleReplica(slowReplica(events, 100*time.Millisecond)))
		owner.mustSubmit(t, testSubmission("j", 1))
		result := owner.results(t, "j", 1, 20*time.Second)[0]
		var want []string
		for number := range events {
			want = append(want, strconv.Itoa(number+1))
		}
		if result.Text != strings.Join(want, "\n") {
			t.Errorf("text is %q", result.Text)
		}
		owner.stop()
		runs := owner.replicas.Requests()
		if len(runs) < 4 || len(runs) > 6 {
			t.Errorf("%d runs of an item of 5 s", len(runs))
		}
		for number, run := range runs {
			deadline, err := strconv.Atoi(run.Header.Get("X-Deadline"))
			if err != nil || time.Duration(deadline)*time.Millisecond > maxLease || (number > 0) != (run.Header.Get("Last-Event-Id") != "") {
				t.Errorf("run %d has %v", number, run.Header)
			}
		}
	})
}

// TestLeaseLength checks that, while slots are scarce, a lease covers about half of the remaining time, but is no shorter than the
// cost of its start allows; a short rest, or an item while slots are free, is covered by one lease.
func TestLeaseLength(t *testing.T) {
	const scarce, free = 0.9, 0.3
	for _, test := range []struct {
		name         string
		resume, left time.Duration
		taken        float64
		want         time.Duration
	}{
		{"half of what is left", 0, 8 * time.Second, scarce, 4 * time.Second},
		{"the rest at once", 0, 6 * time.Second, scarce, 8 * time.Second},
		{"an item that is almost done", 0, 10 * time.Millisecond, scarce, minLease},
		{"a costly begin", 40 * time.Millisecond, 18 * time.Second, scarce, 9 * time.Second},
		{"a costly begin and a short rest", 50 * time.Millisecond, 2 * time.Second, scarce, 5 * time.Second},
		{"a very costly begin", time.Second, 30 * time.Second, scarce, maxLease},
		{"a very long item", 0, time.Minute, scarce, maxLease},
		{"free slots", 0, 5 * time.Second, free, 6700 * time.Millisecond},
		{"a very long item with free slots", 0, time.Minute, free, maxLease},
	} {
		t.Run(test.name, func(t *testing.T) {
			sizer := &leaseSizer{}
			if test.resume > 0 {
				sizer.observe(test.resume)
			}
			if got := sizer.length(test.left, test.taken); got != test.want {
				t.Errorf("a lease of %s, want %s", got, test.want)
			}
		})
	}
}

// TestReplicaThatEndsBetweenLeasesCounts guards the bound of ended replicas: a replica that has ended when a further lease of an item is
// to start there ended under the item. An owner that was paused meanwhile finds the lease over and the replica gone at once.
func TestReplicaThatEndsBetweenLeasesCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		replicas := newCrashingReplicas(4)
		replicas.interval, replicas.closeConnections, replicas.endAtDial = 4*eventInterval, true, 2
		owner := startOwnerWithQuarantine(t, replicas)
		defer owner.stop()
		owner.mustSubmit(t, testSubmission("j", 1))
		owner.results(t, "j", 1, 60*time.Second)
		if ended, recorded := replicas.endedCount(), len(crashRecords(t, owner.owned.records)); ended != 1 || recorded != 1 {
			t.Errorf("%d ends are recorded of %d replicas that ended, want 1 of 1", recorded, ended)
		}
	})
}

// TestItemWhoseOwnerWasPausedIsRetriedAtALimitedRate guards the bound of three replicas for an item that ends them at an event of its answer. A replica
// ended at that event while the owner was paused, so that the owner had read fewer events when it found the lease over and the replica
// gone. The next run's progress ruled that end out.
func TestItemWhoseOwnerWasPausedIsRetriedAtALimitedRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		replicas := newCrashingReplicas(12)
		replicas.interval, replicas.closeConnections, replicas.endAtDial = 4*eventInterval, true, 2
		replicas.fatalEvent = 2 * int((minLease-leaseMargin)/replicas.interval)
		owner := startOwnerWithQuarantine(t, replicas)
		defer owner.stop()
		owner.mustSubmit(t, testSubmission("j", 1))
		last := owner.results(t, "j", 1, 90*time.Second)[0]
		if last.State != batchpb.State_STATE_DEAD_LETTER || replicas.endedCount() > mostEndedInRetention {
			t.Errorf("the item is %s after %d replicas ended, want a dead letter after %d at most", last.State, replicas.endedCount(), mostEndedInRetention)
		}
		// One of the first three ends is not that of fatalEvent.
		replicas.checkRetries(t, "/p/j-0", 2)
	})
}

// TestInnocentItemOfAPausedOwnerIsDone guards an item that ends no replica: one was gone when its owner found the lease over, at a point that
// no progress rules out, and two more end by chance under its later runs.
func TestInnocentItemOfAPausedOwnerIsDone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		replicas := newCrashingReplicas(12)
		replicas.interval, replicas.closeConnections, replicas.endAtDial = 4*eventInterval, true, 2
		replicas.endAfter = []time.Duration{time.Hour, 500 * time.Millisecond, 700 * time.Millisecond}
		owner := startOwnerWithQuarantine(t, replicas)
		defer owner.stop()
		owner.mustSubmit(t, testSubmission("j", 1))
		last := owner.results(t, "j", 1, 90*time.Second)[0]
		if last.State != batchpb.State_STATE_SUCCEEDED || replicas.endedCount() != 3 {
			t.Errorf("the item is %s after %d replicas ended, want it done after three", last.State, replicas.endedCount())
		}
	})
}

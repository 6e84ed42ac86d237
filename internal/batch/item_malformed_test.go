package batch

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	batchpb "github.com/sloelift/sloelift/api/proto/batch"
	"github.com/sloelift/sloelift/internal/replica/replicatest"
)

// TestEventsThatAreNotTextEndNoProcess guards storage nodes against bytes of a replica that no record can contain: the first record
// of such an item's text ended the process ("panic: encode record: string field contains invalid UTF-8").
func TestEventsThatAreNotTextEndNoProcess(t *testing.T) {
	const eventThree = "id: 3\ndata: c\n\n"
	for name, test := range map[string]struct {
		chunks []string
		whole  bool
		after  string
	}{
		"data, and the connection breaks off":  {[]string{eventOne, "id: 2\ndata: \xff\xfe\n\n"}, false, "1"},
		"data of the last event of an answer":  {[]string{eventOne, eventTwo, "id: 3\ndata: \xff\n\n"}, true, "2"},
		"data amid sound events in one piece":  {[]string{eventOne + "id: 2\ndata: \xff\n\n" + eventThree}, true, "1"},
		"an event's id":                        {[]string{eventOne, "id: \xff\ndata: b\n\n"}, true, "1"},
		"the first event":                      {[]string{"id: 1\ndata: \xc3\n\n"}, true, ""},
		"a character in two events, one piece": {[]string{eventOne + "data: \xc3\n\ndata: \xa4\n\n"}, true, "1"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				sound := map[string]string{"": eventOne + eventTwo + eventThree, "1": eventTwo + eventThree, "2": eventThree}[test.after]
				spoilt := replicatest.Stream("s", test.whole, false, test.chunks...)
				owner := startOwner(t, singleReplica(replicatest.Then(spoilt, replicatest.Stream("s", true, false, sound))))
				defer owner.stop()
				owner.mustSubmit(t, testSubmission("j", 1))
				result := owner.results(t, "j", 1, 10*time.Second)[0]
				if result.State != batchpb.State_STATE_SUCCEEDED || result.Text != "a\nb\nc" {
					t.Errorf("the item is %s with the text %q", result.State, result.Text)
				}
				if got := owner.replicas.Requests()[1].Header.Get("Last-Event-Id"); got != test.after {
					t.Errorf("the second run resumes after %q, want %q", got, test.after)
				}
				if owner.service.directory.View().Find("a").FailureRate() == 0 {
					t.Error("the answer does not count as a failure of its replica")
				}
			})
		})
	}
}

// TestEventsWithoutEndAreCutOff guards storage nodes against a replica that sends events without end: they were collected as the text
// of the item for as long as they came.
func TestEventsWithoutEndAreCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			most    = 8 << 20
			written = 32 << 20
		)
		sent := 0
		endless := func(connection net.Conn, request *http.Request) bool {
			event := "data: " + strings.Repeat("x", 64<<10) + "\n\n"
			_, err := fmt.Fprintf(connection, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Signature: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", request.Header.Get("X-Id"))
			for number := 1; err == nil && sent < written; number++ {
				numbered := fmt.Sprintf("id: %d\n%s", number, event)
				_, err = fmt.Fprintf(connection, "%x\r\n%s\r\n", len(numbered), numbered)
				sent += len(numbered)
			}
			return false
		}
		owner := startOwner(t, singleReplica(replicatest.Then(endless, replicatest.Stream("s", true, false, eventOne+eventTwo))))
		defer owner.stop()
		owner.mustSubmit(t, testSubmission("j", 1))
		result := owner.results(t, "j", 1, 10*time.Second)[0]
		if result.State != batchpb.State_STATE_SUCCEEDED || result.Text != "a\nb" {
			t.Errorf("the item is %s with a text of %d bytes", result.State, len(result.Text))
		}
		if sent > most {
			t.Errorf("%d bytes of events were read, want %d at most", sent, most)
		}
		if got := owner.replicas.Requests()[1].Header.Get("Last-Event-Id"); got != "" {
			t.Errorf("the second run resumes after %q", got)
		}
	})
}

// TestItemIsNotGivenUpForAnEventID: the id of an event that no header can hold made the item's next request invalid, and the item a dead
// letter.
func TestItemIsNotGivenUpForAnEventID(t *testing.T) {
	for name, id := range map[string]string{
		"control byte": "2\x01", "delete": "2\x7f", "carriage return": "2\r3", "without end": strings.Repeat("2", 8<<10),
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				spoilt := replicatest.Stream("s", false, false, eventOne, "id: "+id+"\ndata: b\n\n")
				owner := startOwner(t, singleReplica(replicatest.Then(spoilt, replicatest.Stream("s", true, false, eventTwo))))
				defer owner.stop()
				owner.mustSubmit(t, testSubmission("j", 1))
				result := owner.results(t, "j", 1, 10*time.Second)[0]
				if result.State != batchpb.State_STATE_SUCCEEDED || result.Text != "a\nb" {
					t.Fatalf("the item is %s with the text %q", result.State, result.Text)
				}
				if got := owner.replicas.Requests()[1].Header.Get("Last-Event-Id"); got != "1" {
					t.Errorf("the second run resumes after %.20q, want the last valid event", got)
				}
			})
		})
	}
}

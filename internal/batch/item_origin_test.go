package batch

import (
	"fmt"
	"math"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"

	batchpb "github.com/sloelift/sloelift/api/proto/batch"
	"github.com/sloelift/sloelift/internal/ledger"
	"github.com/sloelift/sloelift/internal/replica"
	"github.com/sloelift/sloelift/internal/replica/replicatest"
)

// versionedReplica writes events whose data names its version, one per pace; it closes the connection behind event breakAfter, 0 for never.
func versionedReplica(version string, events, breakAfter int, pace time.Duration) replicatest.Script {
	return func(connection net.Conn, request *http.Request) bool {
		_, _ = fmt.Fprintf(connection, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Signature: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
			request.Header.Get("X-Id"))
		last, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
		for number := last + 1; number <= events; number++ {
			time.Sleep(pace)
			event := fmt.Sprintf("id: %d\ndata: %s\n\n", number, versionedText(version, number))
			if _, err := fmt.Fprintf(connection, "%x\r\n%s\r\n", len(event), event); err != nil || number == breakAfter {
				return false
			}
		}
		_, err := connection.Write([]byte("0\r\n\r\n"))
		return err == nil
	}
}

func versionedText(version string, number int) string { return fmt.Sprintf("%s-%d", version, number) }

// versionedWhole returns the text of an item with so many events.
func versionedWhole(version string, events int) string {
	var lines []string
	for number := 1; number <= events; number++ {
		lines = append(lines, versionedText(version, number))
	}
	return strings.Join(lines, "\n")
}

// setVersions gives replicas other versions than v1.
func (o *testOwner) setVersions(versions map[string]string) {
	for id, version := range versions {
		info := replica.Info{ID: id, Service: "s", Version: version, Zone: "z", Address: o.service.directory.View().Find(id).Info().Address, Slots: 4}
		o.service.directory.Update(nil, []string{id})
		o.service.directory.Update([]replica.Info{info}, nil)
	}
}

// removeReplica removes a replica's entry, and closes its connections.
func (o *testOwner) removeReplica(id string) {
	address := o.service.directory.View().Find(id).Info().Address
	o.replicas.SetScript(address, replicatest.Lose())
	o.service.directory.Update(nil, []string{id})
}

const (
	versionedEvents = 20
	versionedPace   = 50 * time.Millisecond
)

// TestItemIsNotResumedAtAnotherVersion: an item whose replica is lost goes on at a replica of the same version, and is begun anew where there is
// none.
func TestItemIsNotResumedAtAnotherVersion(t *testing.T) {
	for _, test := range []struct {
		name     string
		versions map[string]string
		want     string
	}{
		{"no other replica of its version", map[string]string{"b": "v2", "c": "v2"}, "v2"},
		{"another replica of its version", map[string]string{"b": "v2"}, "v1"},
		{"a replica without a version", map[string]string{"b": "", "c": "v2"}, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				owner := startOwner(t, map[string]replicatest.Script{"a": replicatest.Hang()})
				defer owner.stop()
				owner.replicas.SetScript(owner.service.directory.View().Find("a").Info().Address, versionedReplica("v1", versionedEvents, 0, versionedPace))
				owner.mustSubmit(t, testSubmission("j", 1))
				time.Sleep(10 * versionedPace)
				for index, id := range []string{"b", "c"} {
					info := *owner.service.directory.View().Find("a").Info()
					info.ID, info.Address = id, netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(2000+index))
					version, changed := test.versions[id]
					if !changed {
						version = "v1"
					}
					info.Version = version
					owner.replicas.SetScript(info.Address, versionedReplica(version, versionedEvents, 0, versionedPace))
					owner.service.directory.Update([]replica.Info{info}, nil)
				}
				owner.removeReplica("a")
				owner.replicas.CloseConnections()
				text := owner.results(t, "j", 1, 20*time.Second)[0].Text
				if test.want != "" && text != versionedWhole(test.want, versionedEvents) {
					t.Errorf("text %q, want that of %s", text, test.want)
				}
				if text != versionedWhole("v2", versionedEvents) && text != versionedWhole("v1", versionedEvents) && text != versionedWhole("", versionedEvents) {
					t.Errorf("text %q is of several versions", text)
				}
			})
		})
	}
}

// TestNextOwnerKeepsToTheVersionOfTheLog: an owner goes on with the text of its log only at the version that began it, and begins an item anew
// if the log does not tell the version, as that of an older build.
func TestNextOwnerKeepsToTheVersionOfTheLog(t *testing.T) {
	logged := func(service, version string) ledger.Record {
		return newRecord(ledger.KindBatchProgress, &batchpb.Progress{
			JobId: "j", LastEvent: "3", Text: versionedWhole(version, 3), Service: service, Version: version,
		})
	}
	for _, test := range []struct {
		name   string
		record ledger.Record
		want   string
	}{
		{"of v2, which serves", logged("s", "v2"), "v2"},
		{"of v0, which is gone", logged("s", "v0"), "v1"},
		{"of another service", logged("t", "v1"), "v1"},
		{"not told", logged("", ""), "v1"},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				records := append(acceptanceRecords(testSubmission("j", 1), time.Now().UnixMilli()), test.record)
				owner := startOwner(t, map[string]replicatest.Script{
					"a": versionedReplica("v1", versionedEvents, 0, versionedPace), "b": versionedReplica("v2", versionedEvents, 0, versionedPace),
				}, records...)
				defer owner.stop()
				owner.setVersions(map[string]string{"b": "v2"})
				text := owner.results(t, "j", 1, 20*time.Second)[0].Text
				if text != versionedWhole("v1", versionedEvents) && text != versionedWhole("v2", versionedEvents) {
					t.Errorf("text %q is of several versions", text)
				}
				if test.want == "v2" && text != versionedWhole("v2", versionedEvents) {
					t.Errorf("text %q, want it to go on at v2", text)
				}
				// The log of the whole ownership has the same text, after a snapshot too.
				restored := newState()
				for index, record := range owner.owned.records {
					if err := restored.apply(ledger.Position(index+1), record); err != nil {
						t.Fatal(err)
					}
				}
				if item := restored.jobs["j"].items[0]; !item.listed || item.text != text || item.state != batchpb.State_STATE_SUCCEEDED {
					t.Errorf("the log has %+v", item)
				}
			})
		})
	}
}

// TestRewrittenItemInTheLog: the text of an item that was begun anew is kept beside the one before, on which owners of an older build go on, so
// that both builds list the same text at the same position, whoever lists it.
func TestRewrittenItemInTheLog(t *testing.T) {
	rewritten := newRecord(ledger.KindBatchRewritten, &batchpb.Progress{
		JobId: "j", LastEvent: "1", Text: "new", Service: "s", Version: "v2", Rewritten: true,
	})
	whole := newRecord(ledger.KindBatchResult, &batchpb.Result{JobId: "j", State: batchpb.State_STATE_SUCCEEDED_WHOLE, Text: "new\nmore"})
	for _, test := range []struct {
		name    string
		records []ledger.Record
		resumes string
		listed  string
	}{
		{"the present build lists it", []ledger.Record{rewritten, whole}, "new", "new\nmore"},
		{"it was begun anew and nothing logged", []ledger.Record{whole}, "a\nb", "new\nmore"},
		{"an older build goes on and lists it", []ledger.Record{rewritten, progressRecord("j", 0, 3, "\nc"), successRecord("j", 0, 5, "\nd")}, "new", "a\nb\nc\nd"},
	} {
		t.Run(test.name, func(t *testing.T) {
			log := newLog(t)
			log.add(acceptanceRecords(plainSubmission("j", 1), 1)...)
			log.add(progressRecord("j", 0, 0, "a\nb"))
			for _, record := range test.records[:len(test.records)-1] {
				log.add(record)
			}
			encoded, err := log.state.snapshot()
			if err != nil {
				t.Fatal(err)
			}
			restored, err := restoreState(encoded)
			if err != nil {
				t.Fatal(err)
			}
			if got := restored.jobs["j"].items[0].loggedText(); got != test.resumes || restored.bytes != log.state.bytes {
				t.Errorf("resumes behind %q with %d bytes kept; want %q, %d", got, restored.bytes, test.resumes, log.state.bytes)
			}
			log.state = restored
			log.add(test.records[len(test.records)-1])
			if text, listed := log.text("j", 0); !listed || text != test.listed {
				t.Errorf("listed %t as %q, want %q", listed, text, test.listed)
			}
		})
	}
}

// TestFailedCheckpointOfAnItemThatBeganAnew guards that an owner outlives a checkpoint that fails after the item of its records was begun anew:
// the log then has more text than the item.
func TestFailedCheckpointOfAnItemThatBeganAnew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		records := append(acceptanceRecords(testSubmission("j", 1), time.Now().UnixMilli()), progressRecord("j", 0, 0, "a long text"))
		owner := startOwner(t, map[string]replicatest.Script{"a": replicatest.Hang()}, records...)
		defer owner.stop()
		key := itemKey{job: "j"}
		owner.mutex.Lock()
		run := owner.ensureRun(key)
		run.text, run.lastEvent, run.origin = []byte("new"), "1", replica.Origin{Service: "s", Version: "v1"}
		owner.mutex.Unlock()
		owner.forgetUnlogged([]itemKey{key})
		_, logged := owner.unloggedProgress(func(*itemRun) bool { return true }, math.MaxInt)
		if len(logged) != 1 || logged[0].Kind != ledger.KindBatchRewritten {
			t.Fatalf("records %v, want the whole text", logged)
		}
		var progress batchpb.Progress
		if err := proto.Unmarshal(logged[0].Payload, &progress); err != nil || progress.Text != "new" || progress.Offset != 0 {
			t.Errorf("record %v, %v", &progress, err)
		}
	})
}

// TestAppendThatTakesEffectAfterTheItemBeganAnew guards that a text that reaches the log late, after its append had failed, is not joined to
// that of another version.
func TestAppendThatTakesEffectAfterTheItemBeganAnew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		owner := startOwner(t, map[string]replicatest.Script{"a": replicatest.Hang()}, acceptanceRecords(testSubmission("j", 1), time.Now().UnixMilli())...)
		defer owner.stop()
		key := itemKey{job: "j"}
		owner.mutex.Lock()
		run := owner.ensureRun(key)
		run.text, run.lastEvent = []byte("v1-1"), "1"
		run.beginAnew()
		run.text, run.lastEvent, run.origin = []byte("v2-1\nv2-2"), "2", replica.Origin{Service: "s", Version: "v2"}
		late := progressRecord("j", 0, 0, "v1-1")
		if err := owner.state.apply(100, late); err != nil {
			t.Fatal(err)
		}
		run.finishing = true
		owner.mutex.Unlock()
		result := owner.resultRecord(key, batchpb.State_STATE_SUCCEEDED, string(run.text))
		owner.mutex.Lock()
		defer owner.mutex.Unlock()
		if err := owner.state.apply(101, result); err != nil {
			t.Fatal(err)
		}
		if item := owner.state.jobs["j"].items[0]; !item.listed || item.text != "v2-1\nv2-2" {
			t.Errorf("listed %t as %q", item.listed, item.text)
		}
	})
}

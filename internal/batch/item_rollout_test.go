package batch

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"google.golang.org/protobuf/proto"

	batchpb "github.com/sloelift/sloelift/api/proto/batch"
	quarantinepb "github.com/sloelift/sloelift/api/proto/quarantine"
	"github.com/sloelift/sloelift/internal/ledger"
	"github.com/sloelift/sloelift/internal/quarantine"
	"github.com/sloelift/sloelift/internal/replica"
	"github.com/sloelift/sloelift/internal/replica/replicatest"
	"github.com/sloelift/sloelift/internal/transport"
	"github.com/sloelift/sloelift/internal/transport/memory"
)

const (
	noticeMethod transport.Method = "quarantine.notice"
	// lapsedRun is the number of a run; a keeper of an older build reports the lapse of its grant as the end of a replica with
	// that key. lapsedRunDuration is the length that it assumes for such a run.
	lapsedRun         replica.Key = 0x4eaa6c7e892ef421
	lapsedRunDuration             = 3 * time.Second
)

// reportedEnd is the end of a replica under the item "j-0" as another node reports it.
type reportedEnd struct {
	// replica is the number of a replica that has ended; -1 for the lapse of a grant at a keeper of an older build. sender is the
	// number of the node that reports it, at once: the item's owner at that time, or the keeper.
	replica  int
	sender   int
	age, ran time.Duration
	granted  bool
	// reached is the number of events that a node of this build reports; nodes of an older build report none.
	reached *uint32
}

// rollout is what an owner of this build finds when it takes over an item whose runs ended with their replicas at other owners.
type rollout struct {
	ends []reportedEnd
	// log lists the item's records in order: a replica that ended under it, or the number of events to which its text grew.
	log []loggedStep
}

// loggedStep is the end of a replica if text is 0, and the growth of the text to that number of events otherwise.
type loggedStep struct {
	replica int
	reached *uint32
	text    int
}

// endedAddress returns the address of the replica with the number; newCrashingReplicas numbers them from 0.
func endedAddress(number int) netip.AddrPort {
	return netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(1000+number))
}

// startOwnerAfterRollout starts a node to which other nodes report the ends of the history as they happen, and which takes the item
// "j-0" over afterwards, when these nodes are gone. It ends the replicas of the history.
func startOwnerAfterRollout(t *testing.T, replicas *crashingReplicas, history rollout) *testOwner {
	t.Helper()
	service, fleet, _, routes := newService(nil)
	routes.Table().Routes[0].Retention = time.Minute
	service.directory.Replace(replicas.infos())
	service.client = replica.NewClient(replicas, replicatest.Headers)
	nodes := memory.NewNetwork(1)
	startRegister(t, service, replicas, nodes)
	keyOf := func(number int) replica.Key {
		if number < 0 {
			return lapsedRun
		}
		replicas.end(endedAddress(number))
		return service.directory.View().Find(endedAddress(number).String()).Key()
	}
	submission := testSubmission("j", 1)
	message := messageKey(submission, 0, service.client.Headers())
	// The job is accepted before the series.
	const acceptedBefore = 5 * time.Second
	takenOverAt := time.Now().Add(acceptedBefore)
	records := acceptanceRecords(submission, time.Now().UnixMilli())
	for _, end := range history.ends {
		time.Sleep(time.Until(takenOverAt.Add(-end.age)))
		end.report(t, nodes, message, keyOf(end.replica))
	}
	time.Sleep(time.Until(takenOverAt))
	return startPartition(t, unconfined, service, fleet, replicas.Network, routes, append(records, history.records(keyOf)...)...)
}

// report sends the end to the node at registerAddress as its sender does.
func (e reportedEnd) report(t *testing.T, nodes *memory.Network, message quarantine.Key, ended replica.Key) {
	t.Helper()
	suspected := &quarantinepb.Suspect{Message: message[:], RanMillis: uint32(e.ran.Milliseconds()), Granted: e.granted}
	incident := &quarantinepb.Incident{Replica: uint64(ended), Suspects: []*quarantinepb.Suspect{suspected}}
	if e.reached != nil {
		suspected.Item, suspected.Progress, suspected.Reached, incident.Service = true, quarantinepb.Progress_PROGRESS_MADE, *e.reached, "s"
	}
	address := netip.AddrPortFrom(registerAddress.Addr(), registerAddress.Port()+uint16(e.sender))
	sender, err := memory.NewTransport(nodes, address, prometheus.NewRegistry())
	if err != nil {
		t.Fatal(err)
	}
	sender.Start()
	if err := sender.Send(registerAddress, noticeMethod, &quarantinepb.Notice{Incidents: []*quarantinepb.Incident{incident}}); err != nil {
		t.Fatal(err)
	}
	synctest.Wait()
	sender.Stop()
}

// records returns the item's records; keyOf returns the key of a replica.
func (r rollout) records(keyOf func(number int) replica.Key) []ledger.Record {
	var records []ledger.Record
	logged := ""
	for _, step := range r.log {
		if step.text == 0 {
			records = append(records, newRecord(ledger.KindBatchCrashed, &batchpb.Crashed{JobId: "j", Replica: uint64(keyOf(step.replica)), Reached: step.reached}))
			continue
		}
		text := streamText(step.text)
		records = append(records, newRecord(ledger.KindBatchProgress, &batchpb.Progress{
			JobId: "j", LastEvent: fmt.Sprint(step.text), Offset: uint64(len(logged)), Text: strings.TrimPrefix(text, logged),
		}))
		logged = text
	}
	return records
}

// streamText returns the text of the first events of crashingReplicas.
func streamText(events int) string {
	var data []string
	for number := range events {
		data = append(data, fmt.Sprint(number+1))
	}
	return strings.Join(data, "\n")
}

// The histories below are ends within 4 s in a series of crashes. An owner of an older build records no number of events.
var (
	// lapseHistory has one end at an old owner, one at an owner of this build, and the lapse of a grant at an old keeper.
	lapseHistory = rollout{
		ends: []reportedEnd{
			{replica: 0, sender: 1, age: 4 * time.Second, ran: 387 * time.Millisecond},
			{replica: 1, sender: 2, age: 800 * time.Millisecond, ran: 266 * time.Millisecond, reached: proto.Uint32(74)},
			{replica: -1, sender: 3, age: 245 * time.Millisecond, ran: lapsedRunDuration},
		},
		log: []loggedStep{{replica: 0}, {text: 40}, {replica: 1, reached: proto.Uint32(74)}},
	}
	// passedHistory has three ends at old owners, the first two at one that lost no text. Its log shows that the first one was at
	// event 31 at most, and that the text grew to event 120 later.
	passedHistory = rollout{
		ends: []reportedEnd{
			{replica: 0, sender: 1, age: 3500 * time.Millisecond, ran: 207 * time.Millisecond},
			{replica: 1, sender: 1, age: 2400 * time.Millisecond, ran: 24 * time.Millisecond, granted: true},
			{replica: 2, sender: 2, age: 100 * time.Millisecond, ran: 730 * time.Millisecond, granted: true},
		},
		log: []loggedStep{{replica: 0}, {text: 31}, {replica: 1}, {replica: 2}, {text: 120}},
	}
	// unloggedHistory is passedHistory, but the last old owner was killed before it logged the third end and the text.
	unloggedHistory = rollout{ends: passedHistory.ends, log: []loggedStep{{replica: 0}, {text: 31}, {replica: 1}}}
	// twoEndsHistory has two ends at old owners.
	twoEndsHistory = rollout{ends: passedHistory.ends[:2], log: []loggedStep{{replica: 0}, {text: 31}, {replica: 1}}}
)

// withoutGrants returns the ends as those of runs that no keeper granted.
func withoutGrants(ends []reportedEnd) []reportedEnd {
	ends = slices.Clone(ends)
	for index := range ends {
		ends[index].granted = false
	}
	return ends
}

// TestItemOutlivesEndsAtOwnersOfTheBuildBefore guards an item that ends no replica against being held back until its route's
// retention is over, for three ends that nodes of an older build met in a series of crashes and reported without its progress.
func TestItemOutlivesEndsAtOwnersOfTheBuildBefore(t *testing.T) {
	for name, history := range map[string]rollout{
		"one is the lapse of a grant":                    lapseHistory,
		"the answer went on after the second":            passedHistory,
		"the answer went on after the second, no grants": {withoutGrants(passedHistory.ends), passedHistory.log},
		"two ends only":                                  twoEndsHistory,
	} {
		t.Run(name, func(t *testing.T) {
			wantItemDone(t, history)
		})
	}
}

// TestItemOutlivesAnUnloggedEndAtTheBuildBefore guards an item that ends no replica as above, if neither its third end nor the text of
// its third run was logged; of what other nodes report only the lengths of its runs tell it from an item that ends replicas.
func TestItemOutlivesAnUnloggedEndAtTheBuildBefore(t *testing.T) {
	for name, ends := range map[string][]reportedEnd{"granted": unloggedHistory.ends, "no grants": withoutGrants(unloggedHistory.ends)} {
		t.Run(name, func(t *testing.T) {
			wantItemDone(t, rollout{ends, unloggedHistory.log})
		})
	}
}

// wantItemDone checks that an item that ends no replica is done after the history.
func wantItemDone(t *testing.T, history rollout) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		replicas := newCrashingReplicas(12)
		owner := startOwnerAfterRollout(t, replicas, history)
		defer owner.stop()
		before, startedAt := replicas.endedCount(), time.Now()
		result := owner.results(t, "j", 1, 90*time.Second)[0]
		if result.State != batchpb.State_STATE_SUCCEEDED {
			t.Errorf("the item is %s after %s, in %d runs that ended %d replicas, want succeeded",
				result.State, time.Since(startedAt).Round(time.Second), replicas.runs, replicas.endedCount()-before)
		}
	})
}

// TestItemThatEndsItsReplicasEndsOneMoreAfterARollout guards the bound of ended replicas for an item that ends each replica that runs
// it, if owners of an older build met some of these ends: it may end one more, in its deciding run, before it is retried ever later.
func TestItemThatEndsItsReplicasEndsOneMoreAfterARollout(t *testing.T) {
	const most = 1
	steps := func(all ...loggedStep) []loggedStep { return all }
	ends := func(count int, ran time.Duration) []reportedEnd {
		var made []reportedEnd
		for number := range count {
			age := time.Duration(count-number)*1200*time.Millisecond - time.Second
			made = append(made, reportedEnd{replica: number, sender: 1, age: age, ran: ran, granted: number > 0})
		}
		return made
	}
	atOwnOwners := func(made []reportedEnd) []reportedEnd {
		for index := range made {
			made[index].sender = index + 1
		}
		return made
	}
	for name, test := range map[string]struct {
		history    rollout
		fatalEvent int
	}{
		"two ends before any event":   {rollout{ends(2, 50*time.Millisecond), steps(loggedStep{replica: 0}, loggedStep{replica: 1})}, 0},
		"three ends before any event": {rollout{ends(3, 50*time.Millisecond), steps(loggedStep{replica: 0}, loggedStep{replica: 1}, loggedStep{replica: 2})}, 0},
		"two ends at an event": {rollout{ends(2, 200*time.Millisecond),
			steps(loggedStep{replica: 0}, loggedStep{text: 40}, loggedStep{replica: 1})}, 40},
		"three ends at an event": {rollout{ends(3, 200*time.Millisecond),
			steps(loggedStep{replica: 0}, loggedStep{text: 40}, loggedStep{replica: 1}, loggedStep{replica: 2})}, 40},
		"three ends at an event, the third not logged": {rollout{ends(3, 200*time.Millisecond),
			steps(loggedStep{replica: 0}, loggedStep{text: 40}, loggedStep{replica: 1})}, 40},
		"three ends at an event, no grants": {rollout{withoutGrants(ends(3, 200*time.Millisecond)),
			steps(loggedStep{replica: 0}, loggedStep{text: 40}, loggedStep{replica: 1}, loggedStep{replica: 2})}, 40},
		// An old owner that recalls ends from its log reports them like lapses, but under the keys of the replicas.
		"three ends that an old owner recalled": {rollout{withoutGrants(ends(3, lapsedRunDuration)),
			steps(loggedStep{replica: 0}, loggedStep{text: 40}, loggedStep{replica: 1}, loggedStep{replica: 2})}, 40},
		// Each owner was killed and its text was lost, so that the next one ran the answer again from event 31 at most. The log is that
		// of an item whose answer went on behind an end.
		"three ends at an event, text lost twice": {rollout{atOwnOwners(ends(3, 600*time.Millisecond)), passedHistory.log}, 120},
		"two ends at an event, text lost once": {rollout{atOwnOwners(ends(2, 600*time.Millisecond)),
			steps(loggedStep{replica: 0}, loggedStep{text: 31}, loggedStep{replica: 1}, loggedStep{text: 120})}, 120},
		// The lapse of a grant is no end, so that two replicas have ended.
		"two ends and the lapse of a grant": {lapseHistory, 74},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				replicas := newCrashingReplicas(12)
				replicas.fatalEvent, replicas.closeConnections = test.fatalEvent, true
				owner := startOwnerAfterRollout(t, replicas, test.history)
				defer owner.stop()
				before := replicas.endedCount()
				last := owner.results(t, "j", 1, 90*time.Second)[0]
				ended := replicas.endedCount() - before
				t.Logf("the item ended %d more replicas in %d runs", ended, replicas.runs)
				if last.State != batchpb.State_STATE_DEAD_LETTER || ended > mostEndedInRetention-3+most {
					t.Errorf("the item is %s after %d more replicas ended", last.State, ended)
				}
				replicas.checkRetries(t, "/p/j-0", most)
			})
		})
	}
}

// TestItemOutlivesAnEndOfThisBuildThatAnOldNodePassedOn guards an item that ends no replica: its first owner, of this build, logged an end
// with its progress and was killed, and a node of an older build passes that end on without its progress. Two owners of an older build
// met the other ends, so that no deciding run was made. The log must not turn the first end into that of a request.
func TestItemOutlivesAnEndOfThisBuildThatAnOldNodePassedOn(t *testing.T) {
	ends := []reportedEnd{
		{replica: 0, sender: 1, age: 3500 * time.Millisecond, ran: 207 * time.Millisecond},
		{replica: 1, sender: 1, age: 2400 * time.Millisecond, ran: 24 * time.Millisecond, granted: true},
		{replica: 2, sender: 1, age: 100 * time.Millisecond, ran: 30 * time.Millisecond, granted: true},
	}
	log := []loggedStep{{replica: 0, reached: proto.Uint32(34)}, {text: 31}, {replica: 1}, {replica: 2}}
	for name, history := range map[string]rollout{
		"granted":        {ends, log},
		"no grants":      {withoutGrants(ends), log},
		"known from log": {nil, log},
	} {
		t.Run(name, func(t *testing.T) { wantItemDone(t, history) })
	}
}

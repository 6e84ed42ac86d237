package batch

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	batchpb "github.com/sloelift/sloelift/api/proto/batch"
	"github.com/sloelift/sloelift/internal/ledger"
	"github.com/sloelift/sloelift/internal/membership"
	"github.com/sloelift/sloelift/internal/membership/membershiptest"
	"github.com/sloelift/sloelift/internal/quarantine"
	"github.com/sloelift/sloelift/internal/replica"
	"github.com/sloelift/sloelift/internal/replica/replicatest"
	"github.com/sloelift/sloelift/internal/transport/memory"
)

const (
	// eventInterval is the time between two events of an item's stream, streamEvents the number of events.
	eventInterval = 5 * time.Millisecond
	streamEvents  = 300
	// Values of fatalEvent: replicas end before the first event, or after the event of that number.
	fatalBeforeFirstEvent = 0
	fatalMidStream        = 40
)

// crashingReplicas are replicas in memory whose processes may end: their connections break and new ones are refused.
type crashingReplicas struct {
	*replicatest.Network
	mutex sync.Mutex
	ended map[netip.AddrPort]chan struct{}
	runs  int
	// endTimes contains the times at which replicas ended at fatalEvent, in order, by the path of the item.
	endTimes map[string][]time.Time
	// endAfter contains, for each run in order, the time from its start to the end of its replica; later runs end no replica.
	endAfter []time.Duration
	// fatalEvent makes every run end its replica after the event of that number; negative for none.
	fatalEvent int
	// interval is the time between two events.
	interval time.Duration
	// endAtDial ends a replica as the connection with that number is made to it, without accepting it; 0 for none. Only the first such
	// replica ends.
	endAtDial int
	dials     map[netip.AddrPort]int
	// closeConnections makes replicas close each connection after the answer, since a connection in memory does not show that its
	// other end is gone.
	closeConnections bool
}

func newCrashingReplicas(count int) *crashingReplicas {
	replicas := &crashingReplicas{
		Network: &replicatest.Network{Scripts: map[netip.AddrPort]replicatest.Script{}}, ended: map[netip.AddrPort]chan struct{}{},
		fatalEvent: -1, interval: eventInterval, dials: map[netip.AddrPort]int{}, closeConnections: true,
		endTimes: map[string][]time.Time{},
	}
	for number := range count {
		address := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(1000+number))
		replicas.ended[address] = make(chan struct{})
		replicas.Scripts[address] = func(connection net.Conn, request *http.Request) bool {
			return replicas.answer(address, connection, request)
		}
	}
	return replicas
}

func (m *crashingReplicas) infos() []replica.Info {
	var infos []replica.Info
	for address := range m.Scripts {
		infos = append(infos, replica.Info{ID: address.String(), Service: "s", Version: "v1", Zone: "z", Address: address, Slots: 4})
	}
	return infos
}

// living returns the replicas that have not ended, as the platform lists them.
func (m *crashingReplicas) living() []replica.Info {
	return slices.DeleteFunc(m.infos(), func(info replica.Info) bool { return !m.alive(info.Address) })
}

// Dial refuses connections to a replica that has ended.
func (m *crashingReplicas) Dial(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	m.mutex.Lock()
	m.dials[address]++
	ends := m.endAtDial > 0 && m.dials[address] == m.endAtDial
	if ends {
		m.endAtDial = 0
	}
	m.mutex.Unlock()
	if ends {
		m.end(address)
	}
	select {
	case <-m.ended[address]:
		return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
	default:
		return m.Network.Dial(ctx, address)
	}
}

func (m *crashingReplicas) end(address netip.AddrPort) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	select {
	case <-m.ended[address]:
	default:
		close(m.ended[address])
	}
}

// endUnder ends the replica at address under the item with the path.
func (m *crashingReplicas) endUnder(path string, address netip.AddrPort) {
	if !m.alive(address) {
		return
	}
	m.end(address)
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.endTimes[path] = append(m.endTimes[path], time.Now())
}

// checkRetries checks that the item with the path ended at most the given number of replicas before its message was rejected, and
// then one in each retry, which come at a limited rate.
func (m *crashingReplicas) checkRetries(t *testing.T, path string, beforeRejection int) {
	t.Helper()
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for index, endedAt := range m.endTimes[path] {
		if index < max(1, beforeRejection) {
			continue
		}
		want := quarantine.RetryDelay(index - beforeRejection)
		if waited := endedAt.Sub(m.endTimes[path][index-1]); waited < want {
			t.Errorf("%s ended replica %d only %s after the one before, want %s at least", path, index+1, waited, want)
		}
	}
}

// alive reports whether the replica at address has not ended.
func (m *crashingReplicas) alive(address netip.AddrPort) bool {
	select {
	case <-m.ended[address]:
		return false
	default:
		return true
	}
}

// endedCount returns how many replicas have ended.
func (m *crashingReplicas) endedCount() int {
	count := 0
	for address := range m.ended {
		if !m.alive(address) {
			count++
		}
	}
	return count
}

// answer streams the events after the last one that the request names, until the replica ends.
func (m *crashingReplicas) answer(address netip.AddrPort, connection net.Conn, request *http.Request) bool {
	closing := ""
	if m.closeConnections {
		closing = "Connection: close\r\n"
	}
	if request.Method == http.MethodGet {
		return replicatest.Answer(http.StatusOK, closing, "")(connection, request) && !m.closeConnections
	}
	m.mutex.Lock()
	if m.runs < len(m.endAfter) {
		time.AfterFunc(m.endAfter[m.runs], func() { m.end(address) })
	}
	m.runs++
	m.mutex.Unlock()
	_, _ = fmt.Fprintf(connection, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Signature: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n%s\r\n", request.Header.Get("X-Id"), closing)
	// The first run of an item names no event.
	last, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
	for number := last + 1; number <= streamEvents; number++ {
		if m.fatalEvent >= 0 && number > m.fatalEvent {
			m.endUnder(request.URL.Path, address)
		}
		select {
		case <-m.ended[address]:
			return false
		case <-time.After(m.interval):
		}
		event := fmt.Sprintf("id: %d\ndata: %d\n\n", number, number)
		if _, err := fmt.Fprintf(connection, "%x\r\n%s\r\n", len(event), event); err != nil {
			return false
		}
	}
	_, err := connection.Write([]byte("0\r\n\r\n"))
	return err == nil && !m.closeConnections
}

// startOwnerWithQuarantine starts a partition for the replicas, with a quarantine register that has no other nodes.
func startOwnerWithQuarantine(t *testing.T, replicas *crashingReplicas, records ...ledger.Record) *testOwner {
	t.Helper()
	service, fleet, _, routes := newService(nil)
	routes.Table().Routes[0].Retention = time.Minute
	service.directory.Replace(replicas.infos())
	service.client = replica.NewClient(replicas, replicatest.Headers)
	startRegister(t, service, replicas, memory.NewNetwork(1))
	return startPartition(t, unconfined, service, fleet, replicas.Network, routes, records...)
}

// registerAddress is the address of the node whose register startRegister starts.
var registerAddress = netip.MustParseAddrPort("127.0.0.1:9000")

// startRegister starts a quarantine register for the service, of a node that knows no other members.
func startRegister(t *testing.T, service *Service, replicas *crashingReplicas, nodes *memory.Network) {
	t.Helper()
	connected, err := memory.NewTransport(nodes, registerAddress, prometheus.NewRegistry())
	if err != nil {
		t.Fatal(err)
	}
	self := membership.Member{ID: "n", State: membership.Alive, PeerAddress: registerAddress}
	register := quarantine.NewService(quarantine.Options{
		Network: replicas, Directory: service.directory, Viewer: membershiptest.NewViewer(&membership.View{Self: "n", Members: []membership.Member{self}}),
		Caller: connected, Registrar: connected, Registerer: prometheus.NewRegistry(), Logger: zerolog.Nop(),
	})
	connected.Start()
	register.Start()
	service.options.Quarantine = register
	t.Cleanup(func() {
		register.Stop()
		connected.Stop()
	})
}

// TestItemWithProgressIsDone guards against holding back harmless items. Replicas crashed some seconds apart for other reasons, and
// an item that ran on two of them in turn was blamed: suspected after a run of 1959 ms, rejected 2.5 s later after a resumed run of
// 1483 ms. It was sent to no replica any more and was listed neither as done nor as given up. In all observed cases, each run of
// the item had produced events (5807 bytes in one case) and had progressed past the point at which the previous run ended, so that
// point cannot have been the cause. Messages that did end replicas had produced at most one event.
func TestItemWithProgressIsDone(t *testing.T) {
	for name, endAfter := range map[string][]time.Duration{
		"two ends, the second run longer":  {290 * time.Millisecond, 1100 * time.Millisecond},
		"two ends, the second run shorter": {900 * time.Millisecond, 400 * time.Millisecond},
		"three ends":                       {500 * time.Millisecond, 400 * time.Millisecond, 450 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				replicas := newCrashingReplicas(12)
				replicas.endAfter = endAfter
				owner := startOwnerWithQuarantine(t, replicas)
				defer owner.stop()
				owner.mustSubmit(t, testSubmission("j", 1))
				result := owner.results(t, "j", 1, 20*time.Second)[0]
				if result.State != batchpb.State_STATE_SUCCEEDED || replicas.endedCount() != len(endAfter) {
					t.Errorf("the item is %s after %d replicas ended", result.State, replicas.endedCount())
				}
			})
		})
	}
}

// TestItemThatEndsItsReplicasIsRetriedAtALimitedRate checks that an item that does end each of its replicas, at once or at a point of its
// answer, ends three at most, however many events its first run produced, and then one in each retry.
func TestItemThatEndsItsReplicasIsRetriedAtALimitedRate(t *testing.T) {
	for name, fatalEvent := range map[string]int{"at once": fatalBeforeFirstEvent, "at an event": fatalMidStream} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				replicas := newCrashingReplicas(12)
				replicas.fatalEvent = fatalEvent
				owner := startOwnerWithQuarantine(t, replicas)
				defer owner.stop()
				owner.mustSubmit(t, testSubmission("j", 1))
				last := owner.results(t, "j", 1, 90*time.Second)[0]
				if last.State != batchpb.State_STATE_DEAD_LETTER || replicas.endedCount() > mostEndedInRetention {
					t.Errorf("the item is %s after %d replicas ended", last.State, replicas.endedCount())
				}
				replicas.checkRetries(t, "/p/j-0", 3)
			})
		})
	}
}

// mostEndedInRetention is the number of replicas that an item may end within a retention of a minute: three, and those of the
// retries whose delays fit into it.
var mostEndedInRetention = 3 + retriesWithin(time.Minute)

// retriesWithin returns the number of retries whose delays fit into a time.
func retriesWithin(span time.Duration) int {
	retries := 0
	for waited := quarantine.RetryDelay(0); waited <= span; waited += quarantine.RetryDelay(retries) {
		retries++
	}
	return retries
}

// TestItemThatEndsItsReplicasLateIsRetriedAtALimitedRate guards the same bound for an item whose first run is long and produces events
// before it ends its replica, also if the next owner continues it.
func TestItemThatEndsItsReplicasLateIsRetriedAtALimitedRate(t *testing.T) {
	for name, owners := range map[string]int{"one owner": 1, "two owners": 2} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				replicas := newCrashingReplicas(12)
				replicas.fatalEvent, replicas.interval, replicas.closeConnections = 150, 4*eventInterval, true
				owner := startOwnerWithQuarantine(t, replicas)
				owner.mustSubmit(t, testSubmission("j", 1))
				for range owners - 1 {
					for replicas.endedCount() == 0 {
						time.Sleep(time.Millisecond)
					}
					time.Sleep(100 * time.Millisecond)
					records := owner.owned.records
					owner.stop()
					owner = startOwnerWithQuarantine(t, replicas, records...)
				}
				defer owner.stop()
				last := owner.results(t, "j", 1, 90*time.Second)[0]
				if last.State != batchpb.State_STATE_DEAD_LETTER || replicas.endedCount() > mostEndedInRetention {
					t.Errorf("the item is %s after %d replicas ended", last.State, replicas.endedCount())
				}
				replicas.checkRetries(t, "/p/j-0", 3)
			})
		})
	}
}

// TestRecordedEndsBeforeLaterProgressAreNotRecalled guards against holding back an item after a change of owners although each of
// its runs progressed further. After all storage nodes had been killed, the new owner rejected such an item with three ends: two
// recalled from the log (runs of 3 s each), and a grant that had lapsed 135 ms before. The log showed that the item's text was
// longer each time, yet the recorded ends of replicas counted in full.
func TestRecordedEndsBeforeLaterProgressAreNotRecalled(t *testing.T) {
	text := func(events int) string { return strings.TrimSuffix(strings.Repeat("x\n", events), "\n") }
	for name, test := range map[string]struct {
		reached      []*uint32
		loggedEvents int
		fatalEvent   int
		want         batchpb.State
	}{
		"it has come further":               {[]*uint32{proto.Uint32(8), proto.Uint32(38), proto.Uint32(120)}, 200, -1, batchpb.State_STATE_SUCCEEDED},
		"records of another build":          {[]*uint32{nil, nil, nil}, 200, -1, batchpb.State_STATE_SUCCEEDED},
		"it ends replicas at one point":     {[]*uint32{proto.Uint32(198), proto.Uint32(200), proto.Uint32(200)}, 200, 200, batchpb.State_STATE_DEAD_LETTER},
		"it ends replicas before any event": {[]*uint32{proto.Uint32(0), proto.Uint32(0), proto.Uint32(0)}, 0, fatalBeforeFirstEvent, batchpb.State_STATE_DEAD_LETTER},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				records := acceptanceRecords(testSubmission("j", 1), time.Now().UnixMilli())
				for number, reached := range test.reached {
					records = append(records, newRecord(ledger.KindBatchCrashed, &batchpb.Crashed{JobId: "j", Replica: uint64(100 + number), Reached: reached}))
				}
				if test.loggedEvents > 0 {
					records = append(records, newRecord(ledger.KindBatchProgress, &batchpb.Progress{
						JobId: "j", Text: text(test.loggedEvents), LastEvent: fmt.Sprint(test.loggedEvents), Service: "s", Version: "v1",
					}))
				}
				replicas := newCrashingReplicas(12)
				replicas.fatalEvent = test.fatalEvent
				replicas.endTimes["/p/j-0"] = []time.Time{time.Now()}
				owner := startOwnerWithQuarantine(t, replicas, records...)
				defer owner.stop()
				if result := owner.results(t, "j", 1, 90*time.Second)[0]; result.State != test.want {
					t.Errorf("the item is %s, want %s", result.State, test.want)
				}
				// The recorded ends have rejected the message: this owner only retries it.
				replicas.checkRetries(t, "/p/j-0", 1)
			})
		})
	}
}

// TestItemWithProgressIsCleared guards against keeping an item suspected that has made progress. An item waited 15 s for a
// run apart on a busy service. A replica had ended under it at event 52; later runs, which were cut off to make room, progressed
// far past that event (10979 bytes), but counted no more in its favour than runs without progress.
func TestItemWithProgressIsCleared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		replicas := newCrashingReplicas(12)
		replicas.endAfter = []time.Duration{260 * time.Millisecond}
		owner := startOwnerWithQuarantine(t, replicas)
		defer owner.stop()
		owner.mustSubmit(t, testSubmission("j", 1))
		key := itemKey{job: "j"}
		for replicas.endedCount() == 0 {
			time.Sleep(time.Millisecond)
		}
		for owner.eventCount(key) < 2*52 {
			time.Sleep(time.Millisecond)
		}
		message := owner.messageKey(key)
		if got := owner.service.options.Quarantine.Check(message); got != quarantine.Apart {
			t.Fatalf("the message is %s while its second run is under way", got)
		}
		owner.interruptRun(key)
		time.Sleep(20 * time.Millisecond)
		if got := owner.service.options.Quarantine.Check(message); got != quarantine.Allowed {
			t.Errorf("the message is %s after a run with progress beyond the event of the crash", got)
		}
		owner.results(t, "j", 1, 5*time.Second)
	})
}

func (o *testOwner) eventCount(key itemKey) int {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return countEvents(o.ensureRun(key).text)
}

func (o *testOwner) messageKey(key itemKey) quarantine.Key {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.ensureRun(key).message
}

// interruptRun cuts off an item's run as if to make room.
func (o *testOwner) interruptRun(key itemKey) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.ensureRun(key).interrupt()
}

package batch

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
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
	// paceOfEvents is the time between two events of an item's stream, eventsOfStream their number.
	paceOfEvents   = 5 * time.Millisecond
	eventsOfStream = 300
	// endsAtOnce and endsAtEvent are streams that end their replica before the first event, and behind the one of that number.
	endsAtOnce  = 0
	endsAtEvent = 40
)

// mortalReplicas are replicas in memory whose processes end: their connections break and new ones are refused.
type mortalReplicas struct {
	*replicatest.Network
	mutex sync.Mutex
	ended map[netip.AddrPort]chan struct{}
	runs  int
	// endAfter are the times from the begin of each run after which its replica ends; later runs end nothing.
	endAfter []time.Duration
	// fatalEvent has every run end its replica behind the event of that number; negative for none.
	fatalEvent int
	// pace is the time between two events.
	pace time.Duration
	// closes has replicas close each connection after its answer: one in memory does not show that its other end is gone.
	closes bool
}

func newMortalReplicas(count int) *mortalReplicas {
	made := &mortalReplicas{Network: &replicatest.Network{Scripts: map[netip.AddrPort]replicatest.Script{}}, ended: map[netip.AddrPort]chan struct{}{}, fatalEvent: -1, pace: paceOfEvents}
	for number := range count {
		address := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(1000+number))
		made.ended[address] = make(chan struct{})
		made.Scripts[address] = func(connection net.Conn, request *http.Request) bool {
			return made.answer(address, connection, request)
		}
	}
	return made
}

func (m *mortalReplicas) infos() []replica.Info {
	var infos []replica.Info
	for address := range m.Scripts {
		infos = append(infos, replica.Info{ID: address.String(), Service: "s", Zone: "z", Address: address, Slots: 4})
	}
	return infos
}

// Dial refuses connections to a replica that has ended.
func (m *mortalReplicas) Dial(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	select {
	case <-m.ended[address]:
		return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
	default:
		return m.Network.Dial(ctx, address)
	}
}

func (m *mortalReplicas) end(address netip.AddrPort) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	select {
	case <-m.ended[address]:
	default:
		close(m.ended[address])
	}
}

// lives says that the replica at that address has not ended.
func (m *mortalReplicas) lives(address netip.AddrPort) bool {
	select {
	case <-m.ended[address]:
		return false
	default:
		return true
	}
}

// endedCount returns how many replicas have ended.
func (m *mortalReplicas) endedCount() int {
	count := 0
	for address := range m.ended {
		if !m.lives(address) {
			count++
		}
	}
	return count
}

// answer streams the events behind the last one that the request names, until the replica ends.
func (m *mortalReplicas) answer(address netip.AddrPort, connection net.Conn, request *http.Request) bool {
	closing := ""
	if m.closes {
		closing = "Connection: close\r\n"
	}
	if request.Method == http.MethodGet {
		return replicatest.Answer(http.StatusOK, closing, "")(connection, request) && !m.closes
	}
	m.mutex.Lock()
	if m.runs < len(m.endAfter) {
		time.AfterFunc(m.endAfter[m.runs], func() { m.end(address) })
	}
	m.runs++
	m.mutex.Unlock()
	_, _ = fmt.Fprintf(connection, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Signature: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n%s\r\n", request.Header.Get("X-Id"), closing)
	// A first run names no event.
	last, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
	for number := last + 1; number <= eventsOfStream; number++ {
		if m.fatalEvent >= 0 && number > m.fatalEvent {
			m.end(address)
		}
		select {
		case <-m.ended[address]:
			return false
		case <-time.After(m.pace):
		}
		event := fmt.Sprintf("id: %d\ndata: %d\n\n", number, number)
		if _, err := fmt.Fprintf(connection, "%x\r\n%s\r\n", len(event), event); err != nil {
			return false
		}
	}
	_, err := connection.Write([]byte("0\r\n\r\n"))
	return err == nil && !m.closes
}

// ownBefore starts a partition before the replicas, with a register of its own node alone.
func ownBefore(t *testing.T, replicas *mortalReplicas, records ...ledger.Record) *ownerUnderTest {
	t.Helper()
	service, fleet, _, routes := newService(nil)
	routes.Table().Routes[0].Retention = time.Minute
	service.directory.Replace(replicas.infos())
	service.client = replica.NewClient(replicas, replicatest.Headers)
	address := netip.MustParseAddrPort("127.0.0.1:9000")
	connected, err := memory.NewTransport(memory.NewNetwork(1), address, prometheus.NewRegistry())
	if err != nil {
		t.Fatal(err)
	}
	alone := membership.Member{ID: "n", State: membership.Alive, PeerAddress: address}
	register := quarantine.NewService(quarantine.Options{
		Network: replicas, Directory: service.directory, Viewer: membershiptest.NewViewer(&membership.View{Self: "n", Members: []membership.Member{alone}}),
		Caller: connected, Registrar: connected, Registerer: prometheus.NewRegistry(), Logger: zerolog.Nop(),
	})
	connected.Start()
	register.Start()
	service.options.Quarantine = register
	t.Cleanup(func() {
		register.Stop()
		connected.Stop()
	})
	return ownOf(t, anywhere, service, fleet, replicas.Network, routes, records...)
}

// TestItemThatComesOnIsDone: accepted items were listed neither as done nor as given up, though nothing was wrong with them. Replicas crashed some
// seconds apart for reasons of their own, and an item was on two of them in turn, which was taken for proof that it ends replicas:
// "message_suspected ran=1959 together=1 granted=false", then 2.5 s later, resumed, "ran=1483 together=4 granted=true verdict=rejected". From then on
// no replica got it. In each of the cases that were seen the item had made events in every one of its runs (made_bytes=5807), and each run went
// on behind the point at which the one before had ended, so that no such point can have been what ended it. Messages that did end replicas had made no
// event, or one, when they did.
func TestItemThatComesOnIsDone(t *testing.T) {
	for name, endAfter := range map[string][]time.Duration{
		"two ends, the second run longer":  {290 * time.Millisecond, 1100 * time.Millisecond},
		"two ends, the second run shorter": {900 * time.Millisecond, 400 * time.Millisecond},
		"three ends":                       {500 * time.Millisecond, 400 * time.Millisecond, 450 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				replicas := newMortalReplicas(12)
				replicas.endAfter = endAfter
				owner := ownBefore(t, replicas)
				defer owner.end()
				owner.mustSubmit(t, batchOf("j", 1))
				result := owner.results(t, "j", 1, 20*time.Second)[0]
				if result.State != batchpb.State_STATE_SUCCEEDED || replicas.endedCount() != len(endAfter) {
					t.Errorf("the item is %s after %d replicas ended", result.State, replicas.endedCount())
				}
			})
		})
	}
}

// TestItemThatEndsItsReplicasEndsThree: an item that does end each of its replicas, at once or at a point of its answer, ends three at most, however
// far its first run came.
func TestItemThatEndsItsReplicasEndsThree(t *testing.T) {
	for name, fatalEvent := range map[string]int{"at once": endsAtOnce, "at an event": endsAtEvent} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				replicas := newMortalReplicas(12)
				replicas.fatalEvent = fatalEvent
				owner := ownBefore(t, replicas)
				defer owner.end()
				owner.mustSubmit(t, batchOf("j", 1))
				last := owner.results(t, "j", 1, 90*time.Second)[0]
				if last.State != batchpb.State_STATE_DEAD_LETTER || replicas.endedCount() > 3 {
					t.Errorf("the item is %s after %d replicas ended", last.State, replicas.endedCount())
				}
			})
		})
	}
}

// TestItemThatEndsItsReplicasLateEndsThree guards the bound of three replicas where the first run is long and makes events before it ends its replica, also where the next owner goes on.
func TestItemThatEndsItsReplicasLateEndsThree(t *testing.T) {
	for name, owners := range map[string]int{"one owner": 1, "two owners": 2} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				replicas := newMortalReplicas(12)
				replicas.fatalEvent, replicas.pace, replicas.closes = 150, 4*paceOfEvents, true
				owner := ownBefore(t, replicas)
				owner.mustSubmit(t, batchOf("j", 1))
				for range owners - 1 {
					for replicas.endedCount() == 0 {
						time.Sleep(time.Millisecond)
					}
					time.Sleep(100 * time.Millisecond)
					records := owner.owned.records
					owner.end()
					owner = ownBefore(t, replicas, records...)
				}
				defer owner.end()
				last := owner.results(t, "j", 1, 90*time.Second)[0]
				if last.State != batchpb.State_STATE_DEAD_LETTER || replicas.endedCount() > 3 {
					t.Errorf("the item is %s after %d replicas ended", last.State, replicas.endedCount())
				}
			})
		})
	}
}

// TestRecordedEndsThatTheTextHasPassedAreNotRecalled: all storage nodes had been killed, and an item that had come on with each of its runs was held back by its new
// owner: "message_rejected digest=7121c7467eeb ended=3", of which two were recalled from the log ("ran=3s together=2 recalled", "ran=3s together=3 recalled")
// and the third was a grant of 135 ms before that had lapsed. The log had what the item had made, and that it had come further each time, yet its records of
// ended replicas counted in full.
func TestRecordedEndsThatTheTextHasPassedAreNotRecalled(t *testing.T) {
	text := func(events int) string { return strings.TrimSuffix(strings.Repeat("x\n", events), "\n") }
	for name, test := range map[string]struct {
		reached []*uint32
		made    int
		want    batchpb.State
	}{
		"it has come further":               {[]*uint32{proto.Uint32(8), proto.Uint32(38), proto.Uint32(120)}, 200, batchpb.State_STATE_SUCCEEDED},
		"records of another build":          {[]*uint32{nil, nil, nil}, 200, batchpb.State_STATE_DEAD_LETTER},
		"it ends replicas at one point":     {[]*uint32{proto.Uint32(198), proto.Uint32(200), proto.Uint32(200)}, 200, batchpb.State_STATE_DEAD_LETTER},
		"it ends replicas before any event": {[]*uint32{proto.Uint32(0), proto.Uint32(0), proto.Uint32(0)}, 0, batchpb.State_STATE_DEAD_LETTER},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				records := acceptanceRecords(batchOf("j", 1), time.Now().UnixMilli())
				for number, reached := range test.reached {
					records = append(records, newRecord(ledger.KindBatchCrashed, &batchpb.Crashed{JobId: "j", Replica: uint64(100 + number), Reached: reached}))
				}
				if test.made > 0 {
					records = append(records, newRecord(ledger.KindBatchProgress, &batchpb.Progress{JobId: "j", Text: text(test.made), LastEvent: fmt.Sprint(test.made)}))
				}
				owner := ownBefore(t, newMortalReplicas(12), records...)
				defer owner.end()
				if result := owner.results(t, "j", 1, 90*time.Second)[0]; result.State != test.want {
					t.Errorf("the item is %s, want %s", result.State, test.want)
				}
			})
		})
	}
}

// TestItemThatComesOnIsSuspectedNoLonger: an item waited for 15 s for a run apart on a busy service ("items_stalled reason=suspected lasted=15016 made_bytes=10979"). A replica had
// ended under it at event 52; it had come on far behind that under runs that were cut off to make room, which spoke for it no more than if they had made nothing.
func TestItemThatComesOnIsSuspectedNoLonger(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		replicas := newMortalReplicas(12)
		replicas.endAfter = []time.Duration{260 * time.Millisecond}
		owner := ownBefore(t, replicas)
		defer owner.end()
		owner.mustSubmit(t, batchOf("j", 1))
		key := itemKey{job: "j"}
		for replicas.endedCount() == 0 {
			time.Sleep(time.Millisecond)
		}
		for owner.madeEvents(key) < 2*52 {
			time.Sleep(time.Millisecond)
		}
		message := owner.messageOf(key)
		if got := owner.service.options.Quarantine.Check(message); got != quarantine.Apart {
			t.Fatalf("the message is %s while its second run is under way", got)
		}
		owner.yieldRun(key)
		time.Sleep(20 * time.Millisecond)
		if got := owner.service.options.Quarantine.Check(message); got != quarantine.Allowed {
			t.Errorf("the message is %s after a run that came on", got)
		}
		owner.results(t, "j", 1, 5*time.Second)
	})
}

func (o *ownerUnderTest) madeEvents(key itemKey) int {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return countEvents(o.ensureRun(key).text)
}

func (o *ownerUnderTest) messageOf(key itemKey) quarantine.Key {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.ensureRun(key).message
}

// yieldRun cuts an item's run off as one that makes room.
func (o *ownerUnderTest) yieldRun(key itemKey) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.ensureRun(key).interrupt()
}

package coldstart

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/sloelift/sloelift/internal/membership"
	"github.com/sloelift/sloelift/internal/membership/membershiptest"
	"github.com/sloelift/sloelift/internal/replica"
	"github.com/sloelift/sloelift/internal/route"
)

// Times of a scenario: the replicas turn cold at coldAt, are evacuated at evacuatedAt and return cold at restoredAt.
const (
	coldAt           = 2 * time.Second
	coldDuration     = 6 * time.Second
	evacuatedAt      = 11 * time.Second
	restoredAt       = 13 * time.Second
	scenarioDuration = 21 * time.Second
	requestInterval  = 60 * time.Millisecond
	coldZone         = "z1"
)

// testFleet simulates nodes that together have more requests for cold replicas than these can take.
type testFleet struct {
	rate  float64
	store *memoryStore
	nodes []*testNode
	began time.Time

	mutex sync.Mutex
	// random and arrivals are guarded by mutex; arrivals holds the arrival times of the requests at each replica.
	random   *rand.Rand
	arrivals map[netip.AddrPort][]time.Duration
}

// testNode is one process. Each start creates its own Service, Directory and membership view.
type testNode struct {
	fleet     *testFleet
	id        membership.NodeID
	limit     func(Limiter) Limiter
	store     *faultyStore
	members   *membershiptest.Viewer
	service   *Service
	directory *replica.Directory
	client    *replica.Client
	limiter   Limiter
	stop      context.CancelFunc
	// pausedUntil is guarded by the fleet's mutex.
	pausedUntil time.Time
	running     sync.WaitGroup
}

func (f *testFleet) randomBelow(below int) int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.random.IntN(below)
}

func (f *testFleet) elapsed() time.Duration { return time.Since(f.began) }

// address returns the address of a replica by number.
func address(number int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, 1}), uint16(8000+number))
}

func (f *testFleet) replicas(count int, cold time.Duration) []replica.Info {
	var infos []replica.Info
	for number := range count {
		infos = append(infos, replica.Info{
			ID: fmt.Sprintf("i-%d", number), Service: "s", Address: address(number), Zone: coldZone, Slots: 8, ColdFor: cold,
		})
	}
	return infos
}

// Listen always fails: the test fleet accepts no connections.
func (f *testFleet) Listen(context.Context, netip.AddrPort) (net.Listener, error) {
	return nil, errors.New("nothing listens here")
}

// Dial connects to a replica; 1 in 20 connections takes up to 1.2 s.
func (f *testFleet) Dial(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
	delay := time.Duration(1+f.randomBelow(5)) * time.Millisecond
	if f.randomBelow(20) == 0 {
		delay = time.Duration(f.randomBelow(1200)) * time.Millisecond
	}
	select {
	case <-time.After(delay):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	near, far := net.Pipe()
	go f.serve(far, to)
	return near, nil
}

// serve records one request and answers it.
func (f *testFleet) serve(connection net.Conn, at netip.AddrPort) {
	defer func() { _ = connection.Close() }()
	request, err := http.ReadRequest(bufio.NewReader(connection))
	if err != nil {
		return
	}
	f.mutex.Lock()
	f.arrivals[at] = append(f.arrivals[at], f.elapsed())
	f.mutex.Unlock()
	_, _ = fmt.Fprintf(connection, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", request.Header.Get("Id"))
}

// resume returns once the node's process is not paused.
func (n *testNode) resume() {
	for {
		n.fleet.mutex.Lock()
		until := n.pausedUntil
		n.fleet.mutex.Unlock()
		if !time.Now().Before(until) {
			return
		}
		time.Sleep(time.Until(until))
	}
}

// start starts the node's process with the given membership view and listed replicas.
func (n *testNode) start(view []membership.Member, listed []replica.Info) {
	routes := route.NewHolder()
	routes.Offer(route.NewTable(1, nil, []route.Service{{Name: "s", ColdStart: coldDuration, ColdRequestsPerSecond: n.fleet.rate}}, route.Limits{}))
	n.directory = replica.NewDirectory()
	n.members = membershiptest.NewViewer(&membership.View{Self: n.id, Members: view})
	n.service = New(Options{
		Bounds: Bounds{Burst: 1.5, Slack: 5}, Routes: routes, Directory: n.directory, Store: n.store, Viewer: n.members,
		Registerer: prometheus.NewRegistry(), Logger: zerolog.Nop(),
	})
	n.limiter = n.limit(n.service)
	n.client = replica.NewClient(n.fleet, replica.Headers{RequestID: "Id"})
	n.directory.Replace(listed)
	n.service.Start()
	ctx, cancel := context.WithCancel(context.Background())
	n.stop = cancel
	service, directory, limiter := n.service, n.directory, n.limiter
	n.running.Go(func() { n.sendRequests(ctx, directory, limiter) })
	n.running.Go(func() {
		<-ctx.Done()
		service.Stop()
	})
}

func (n *testNode) restart(view []membership.Member, listed []replica.Info) {
	n.stop()
	n.running.Wait()
	n.start(view, listed)
}

// sendRequests sends requests to cold replicas until ctx ends.
func (n *testNode) sendRequests(ctx context.Context, directory *replica.Directory, limiter Limiter) {
	var sending sync.WaitGroup
	defer sending.Wait()
	for request := 0; ctx.Err() == nil; request++ {
		time.Sleep(requestInterval/2 + time.Duration(n.fleet.randomBelow(int(requestInterval))))
		n.resume()
		handles := directory.View().ForService("s")
		if len(handles) == 0 {
			continue
		}
		handle := handles[n.fleet.randomBelow(len(handles))]
		handle.WantCold(time.Now())
		if !handle.Usable() || !limiter.Take(handle) {
			continue
		}
		n.resume()
		sending.Go(func() { n.send(ctx, handle, request) })
	}
}

func (n *testNode) send(ctx context.Context, handle *replica.Handle, request int) {
	id := fmt.Sprintf("%s-%d", n.id, request)
	header := http.Header{"Id": []string{id}}
	answer, err := n.client.Do(ctx, handle, replica.Call{Method: http.MethodGet, Target: "/", Host: "h", Header: header, RequestID: id, Fresh: true})
	if err == nil {
		answer.Close(true)
	}
}

// maxPerSecond returns the largest number of requests that arrived at one replica within one second of a cold period.
func (f *testFleet) maxPerSecond() int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	most := 0
	for _, times := range f.arrivals {
		slices.Sort(times)
		for _, cold := range []time.Duration{coldAt, restoredAt} {
			var within []time.Duration
			for _, arrivedAt := range times {
				if arrivedAt >= cold && arrivedAt < cold+coldDuration {
					within = append(within, arrivedAt)
				}
			}
			most = max(most, maxWithinSecond(within))
		}
	}
	return most
}

// maxWithinSecond returns the largest number of sorted times within one second.
func maxWithinSecond(times []time.Duration) int {
	most, first := 0, 0
	for last := range times {
		for times[last]-times[first] > time.Second {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

// meanRate returns the mean requests per second and replica in the first cold period without its first second.
func (f *testFleet) meanRate() float64 {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	count := 0
	for _, times := range f.arrivals {
		for _, arrivedAt := range times {
			if arrivedAt >= coldAt+time.Second && arrivedAt < coldAt+coldDuration {
				count++
			}
		}
	}
	return float64(count) / float64(len(f.arrivals)) / (coldDuration - time.Second).Seconds()
}

// faults are the faults that a scenario injects.
type faults struct {
	name string
	// unansweredShare is that of faultyStore; wrongViews gives each node an incomplete view of the members.
	unansweredShare float64
	wrongViews      bool
	// pauses, restarts and cuts are the numbers of affected nodes in each cold period; restartAll restarts all nodes at once.
	pauses, restarts, cuts int
	restartAll             bool
}

// runScenario runs a fleet through two cold periods of its replicas.
func runScenario(t *testing.T, seed uint64, nodes, replicas int, rate float64, injected faults, limit func(Limiter) Limiter) *testFleet {
	t.Helper()
	fleet := &testFleet{
		rate: rate, store: newMemoryStore(), began: time.Now(), random: rand.New(rand.NewPCG(seed, 1)), arrivals: map[netip.AddrPort][]time.Duration{},
	}
	members := testMembers(nodes)
	for number := range nodes {
		node := &testNode{fleet: fleet, id: members[2*number].ID, limit: limit}
		node.store = &faultyStore{
			store: fleet.store, resume: node.resume, random: rand.New(rand.NewPCG(seed, uint64(number))), unansweredShare: injected.unansweredShare,
		}
		fleet.nodes = append(fleet.nodes, node)
		node.start(fleet.viewOf(node, members, injected), nil)
	}
	events := fleet.events(members, replicas, injected)
	slices.SortStableFunc(events, func(a, b event) int { return int(a.at - b.at) })
	for _, scheduled := range events {
		time.Sleep(scheduled.at - fleet.elapsed())
		scheduled.do()
	}
	time.Sleep(scenarioDuration - fleet.elapsed())
	for _, node := range fleet.nodes {
		node.stop()
	}
	for _, node := range fleet.nodes {
		node.running.Wait()
	}
	// Waits for calls that take effect late.
	time.Sleep(10 * time.Second)
	return fleet
}

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

// Times of a play: the replicas turn cold at turnsCold, are taken out of service at leaves and come back cold at returns.
const (
	turnsCold = 2 * time.Second
	staysCold = 6 * time.Second
	leaves    = 11 * time.Second
	returns   = 13 * time.Second
	playTime  = 21 * time.Second
	wantEvery = 60 * time.Millisecond
	coldZone  = "z1"
)

// testFleet plays nodes that all want to send more to cold replicas than these bear.
type testFleet struct {
	rate  float64
	store *memoryStore
	nodes []*testNode
	began time.Time

	mutex sync.Mutex
	// random and arrivals are guarded by mutex; arrivals holds when requests arrived at each replica.
	random   *rand.Rand
	arrivals map[netip.AddrPort][]time.Duration
}

// testNode is one process. Each start has a Service, a Directory and a view of its own.
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

func (f *testFleet) drawn(below int) int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.random.IntN(below)
}

func (f *testFleet) elapsed() time.Duration { return time.Since(f.began) }

// address is that of the replica with a number.
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

// Listen fails: nothing is served here.
func (f *testFleet) Listen(context.Context, netip.AddrPort) (net.Listener, error) {
	return nil, errors.New("nothing listens here")
}

// Dial connects to a replica, sometimes after long.
func (f *testFleet) Dial(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
	delay := time.Duration(1+f.drawn(5)) * time.Millisecond
	if f.drawn(20) == 0 {
		delay = time.Duration(f.drawn(1200)) * time.Millisecond
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

// serve notes one request and answers it.
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

// resume returns once the node's process runs.
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

// start starts the node's process with what it is given to know.
func (n *testNode) start(view []membership.Member, listed []replica.Info) {
	routes := route.NewHolder()
	routes.Offer(route.NewTable(1, nil, []route.Service{{Name: "s", ColdStart: staysCold, ColdRequestsPerSecond: n.fleet.rate}}, route.Limits{}))
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
	n.running.Go(func() { n.want(ctx, directory, limiter) })
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

// want keeps sending to cold replicas.
func (n *testNode) want(ctx context.Context, directory *replica.Directory, limiter Limiter) {
	var sending sync.WaitGroup
	defer sending.Wait()
	for request := 0; ctx.Err() == nil; request++ {
		time.Sleep(wantEvery/2 + time.Duration(n.fleet.drawn(int(wantEvery))))
		n.resume()
		handles := directory.View().Of("s")
		if len(handles) == 0 {
			continue
		}
		handle := handles[n.fleet.drawn(len(handles))]
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

// most returns the largest number of requests that arrived at one replica within a second of one of its cold times.
func (f *testFleet) most() int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	most := 0
	for _, times := range f.arrivals {
		slices.Sort(times)
		for _, cold := range []time.Duration{turnsCold, returns} {
			var within []time.Duration
			for _, at := range times {
				if at >= cold && at < cold+staysCold {
					within = append(within, at)
				}
			}
			most = max(most, densest(within))
		}
	}
	return most
}

// densest returns the largest number of sorted times within one second.
func densest(times []time.Duration) int {
	most, first := 0, 0
	for last := range times {
		for times[last]-times[first] > time.Second {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

// used returns the mean number of requests a second and replica in the first cold time, but for its first second.
func (f *testFleet) used() float64 {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	count := 0
	for _, times := range f.arrivals {
		for _, at := range times {
			if at >= turnsCold+time.Second && at < turnsCold+staysCold {
				count++
			}
		}
	}
	return float64(count) / float64(len(f.arrivals)) / (staysCold - time.Second).Seconds()
}

// trouble is what strikes in a play.
type trouble struct {
	name string
	// lost is the part of the store's calls without an answer, wrongViews has nodes know some of the members only.
	lost       float64
	wrongViews bool
	// pauses, restarts and cuts are the numbers of nodes that are struck, herd says that all are started again together in each cold time.
	pauses, restarts, cuts int
	herd                   bool
}

// play runs a fleet through two cold times of its replicas.
func play(t *testing.T, seed uint64, nodes, replicas int, rate float64, struck trouble, limit func(Limiter) Limiter) *testFleet {
	t.Helper()
	fleet := &testFleet{
		rate: rate, store: newMemoryStore(), began: time.Now(), random: rand.New(rand.NewPCG(seed, 1)), arrivals: map[netip.AddrPort][]time.Duration{},
	}
	members := testMembers(nodes)
	for number := range nodes {
		node := &testNode{fleet: fleet, id: members[2*number].ID, limit: limit}
		node.store = &faultyStore{store: fleet.store, resume: node.resume, random: rand.New(rand.NewPCG(seed, uint64(number))), lost: struck.lost}
		fleet.nodes = append(fleet.nodes, node)
		node.start(fleet.viewOf(node, members, struck), nil)
	}
	events := fleet.events(members, replicas, struck)
	slices.SortStableFunc(events, func(one, other event) int { return int(one.at - other.at) })
	for _, each := range events {
		time.Sleep(each.at - fleet.elapsed())
		each.do()
	}
	time.Sleep(playTime - fleet.elapsed())
	for _, node := range fleet.nodes {
		node.stop()
	}
	for _, node := range fleet.nodes {
		node.running.Wait()
	}
	// Calls that are done late.
	time.Sleep(10 * time.Second)
	return fleet
}

package memory

import (
	"bytes"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/sloelift/sloelift/internal/transport"
)

// Conditions are those of one direction between two addresses.
type Conditions struct {
	Delay time.Duration
	// Jitter adds up to this much to Delay, evenly spread.
	Jitter time.Duration
	// Loss is the share of frames that vanish, 0 to 1.
	Loss float64
	// Cut loses every frame.
	Cut bool
}

// Network connects in-memory transports. It is safe for concurrent use.
type Network struct {
	// mutex guards all fields.
	mutex      sync.Mutex
	random     *rand.Rand
	conditions func(from, to netip.AddrPort) Conditions
	transports map[netip.AddrPort]*Transport
	// paused holds a channel for each paused address; Resume closes it.
	paused map[netip.AddrPort]chan struct{}
}

// NewNetwork returns a network without delay or loss; seed drives loss and jitter.
func NewNetwork(seed uint64) *Network {
	return &Network{
		random:     rand.New(rand.NewPCG(seed, seed)),
		conditions: func(netip.AddrPort, netip.AddrPort) Conditions { return Conditions{} },
		transports: make(map[netip.AddrPort]*Transport),
		paused:     make(map[netip.AddrPort]chan struct{}),
	}
}

// SetConditions replaces the function that gives the conditions of each frame. It is
// called with the network locked and must not call the network.
func (n *Network) SetConditions(conditions func(from, to netip.AddrPort) Conditions) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.conditions = conditions
}

// Pause stops the traffic of address as a paused process would: what is sent to it
// waits, and whoever sends from it blocks, until Resume.
func (n *Network) Pause(address netip.AddrPort) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.paused[address] == nil {
		n.paused[address] = make(chan struct{})
	}
}

// Resume ends a pause.
func (n *Network) Resume(address netip.AddrPort) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if gate := n.paused[address]; gate != nil {
		close(gate)
		delete(n.paused, address)
	}
}

// waitWhilePaused blocks while address is paused.
func (n *Network) waitWhilePaused(address netip.AddrPort) {
	for {
		n.mutex.Lock()
		gate := n.paused[address]
		n.mutex.Unlock()
		if gate == nil {
			return
		}
		<-gate
	}
}

func (n *Network) attach(t *Transport) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.transports[t.address] = t
}

// detach removes t and ends the calls that others have waiting on it.
func (n *Network) detach(t *Transport) {
	n.mutex.Lock()
	if n.transports[t.address] == t {
		delete(n.transports, t.address)
	}
	others := make([]*Transport, 0, len(n.transports))
	for _, other := range n.transports {
		others = append(others, other)
	}
	n.mutex.Unlock()
	for _, other := range others {
		other.exchange.LinkClosed(edge{local: other, peer: t.address}, errStopped)
	}
}

// carry takes one encoded frame and delivers it after its delay, or loses it. An
// absent receiver behind no cut is an error, as a refused connection would be.
func (n *Network) carry(from, to netip.AddrPort, encoded []byte) error {
	n.mutex.Lock()
	conditions := n.conditions(from, to)
	_, present := n.transports[to]
	lost := conditions.Cut || (conditions.Loss > 0 && n.random.Float64() < conditions.Loss)
	delay := conditions.Delay
	if conditions.Jitter > 0 {
		delay += time.Duration(n.random.Int64N(int64(conditions.Jitter)))
	}
	n.mutex.Unlock()
	if lost {
		return nil
	}
	if !present {
		return transport.KindNotSent.New("nothing listens on %s", to)
	}
	time.AfterFunc(delay, func() { n.deliver(from, to, encoded) })
	return nil
}

func (n *Network) deliver(from, to netip.AddrPort, encoded []byte) {
	n.waitWhilePaused(to)
	n.mutex.Lock()
	receiver := n.transports[to]
	n.mutex.Unlock()
	if receiver == nil {
		return
	}
	frame, size, err := transport.ReadFrame(bytes.NewReader(encoded))
	if err == nil {
		err = receiver.exchange.Receive(receiver.ctx, edge{local: receiver, peer: from}, frame, size)
	}
	if err != nil {
		panic("memory: a frame that this package encoded is malformed: " + err.Error())
	}
}

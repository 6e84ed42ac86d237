package memory

import (
	"bytes"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/puzpuzpuz/xsync/v4"

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

// ConditionsFunc gives the conditions of one frame. It is called from many goroutines.
type ConditionsFunc func(from, to netip.AddrPort) Conditions

// Network connects in-memory transports. It is safe for concurrent use; no lock is held
// while a frame passes, so that many nodes do not wait for each other.
type Network struct {
	seed       uint64
	draws      atomic.Uint64
	conditions atomic.Pointer[ConditionsFunc]
	transports *xsync.Map[netip.AddrPort, *Transport]
	// paused holds a channel for each paused address; Resume closes it.
	paused *xsync.Map[netip.AddrPort, chan struct{}]
}

// NewNetwork returns a network without delay or loss; seed drives loss and jitter.
func NewNetwork(seed uint64) *Network {
	network := &Network{
		seed:       seed,
		transports: xsync.NewMap[netip.AddrPort, *Transport](),
		paused:     xsync.NewMap[netip.AddrPort, chan struct{}](),
	}
	network.SetConditions(func(netip.AddrPort, netip.AddrPort) Conditions { return Conditions{} })
	return network
}

// SetConditions replaces the function that gives the conditions of each frame.
func (n *Network) SetConditions(conditions ConditionsFunc) { n.conditions.Store(&conditions) }

// Pause stops the traffic of address as a paused process would: what is sent to it
// waits, and whoever sends from it blocks, until Resume.
func (n *Network) Pause(address netip.AddrPort) {
	n.paused.LoadOrStore(address, make(chan struct{}))
}

// Resume ends a pause.
func (n *Network) Resume(address netip.AddrPort) {
	if gate, present := n.paused.LoadAndDelete(address); present {
		close(gate)
	}
}

// waitWhilePaused blocks while address is paused.
func (n *Network) waitWhilePaused(address netip.AddrPort) {
	for {
		gate, present := n.paused.Load(address)
		if !present {
			return
		}
		<-gate
	}
}

func (n *Network) attach(t *Transport) { n.transports.Store(t.address, t) }

// detach removes t and ends the calls that others have waiting on it.
func (n *Network) detach(t *Transport) {
	n.transports.Compute(t.address, func(present *Transport, loaded bool) (*Transport, xsync.ComputeOp) {
		if loaded && present == t {
			return nil, xsync.DeleteOp
		}
		return present, xsync.CancelOp
	})
	n.transports.Range(func(_ netip.AddrPort, other *Transport) bool {
		other.exchange.LinkClosed(edge{local: other, peer: t.address}, errStopped)
		return true
	})
}

// draw returns the next number of a stream that the seed determines, 0 to 1.
func (n *Network) draw() float64 {
	// This is the SplitMix64 generator, whose state is a counter.
	mixed := n.seed + n.draws.Add(1)*0x9e3779b97f4a7c15
	mixed = (mixed ^ mixed>>30) * 0xbf58476d1ce4e5b9
	mixed = (mixed ^ mixed>>27) * 0x94d049bb133111eb
	return float64((mixed^mixed>>31)>>11) / (1 << 53)
}

// carry takes one encoded frame and delivers it after its delay, or loses it. An
// absent receiver behind no cut is an error, as a refused connection would be.
func (n *Network) carry(from, to netip.AddrPort, encoded []byte) error {
	conditions := (*n.conditions.Load())(from, to)
	if conditions.Cut || conditions.Loss > 0 && n.draw() < conditions.Loss {
		return nil
	}
	if _, present := n.transports.Load(to); !present {
		return transport.KindNotSent.New("nothing listens on %s", to)
	}
	delay := conditions.Delay
	if conditions.Jitter > 0 {
		delay += time.Duration(n.draw() * float64(conditions.Jitter))
	}
	if delay <= 0 {
		go n.deliver(from, to, encoded)
		return nil
	}
	time.AfterFunc(delay, func() { n.deliver(from, to, encoded) })
	return nil
}

func (n *Network) deliver(from, to netip.AddrPort, encoded []byte) {
	n.waitWhilePaused(to)
	receiver, present := n.transports.Load(to)
	if !present {
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

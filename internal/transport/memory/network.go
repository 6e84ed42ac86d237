package memory

import (
	"bytes"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/puzpuzpuz/xsync/v4"

	"github.com/sloelift/sloelift/internal/transport"
)

// Conditions are the network conditions of one direction between two addresses.
type Conditions struct {
	Delay time.Duration
	// Jitter is the maximum of a uniformly distributed addition to Delay.
	Jitter time.Duration
	// Loss is the fraction of frames dropped, 0 to 1.
	Loss float64
	// Cut drops every frame.
	Cut bool
}

// ConditionsFunc returns the conditions for one frame. It is called concurrently.
type ConditionsFunc func(from, to netip.AddrPort) Conditions

// Network connects in-memory transports. It is safe for concurrent use; no lock is held
// while a frame is sent, so that many nodes do not contend.
type Network struct {
	seed        uint64
	randomDraws atomic.Uint64
	conditions  atomic.Pointer[ConditionsFunc]
	transports  *xsync.Map[netip.AddrPort, *Transport]
	// paused holds one channel per paused address; Resume closes it.
	paused *xsync.Map[netip.AddrPort, chan struct{}]
}

// NewNetwork returns a network without delay or loss; seed seeds the randomness of loss and jitter.
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

// Pause stops the traffic of address like a paused process: frames sent to it are held,
// and senders at it block, until Resume.
func (n *Network) Pause(address netip.AddrPort) {
	n.paused.LoadOrStore(address, make(chan struct{}))
}

// Resume ends a pause and delivers the held frames.
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

// detach removes t and fails the calls of other transports that wait for its answer.
func (n *Network) detach(t *Transport) {
	n.transports.Compute(t.address, func(present *Transport, loaded bool) (*Transport, xsync.ComputeOp) {
		if loaded && present == t {
			return nil, xsync.DeleteOp
		}
		return present, xsync.CancelOp
	})
	n.transports.Range(func(_ netip.AddrPort, other *Transport) bool {
		other.exchange.LinkClosed(link{local: other, peer: t.address}, errStopped)
		return true
	})
}

// randomFloat returns the next number in [0, 1) of the sequence determined by the seed.
func (n *Network) randomFloat() float64 {
	// SplitMix64: its state is a counter.
	mixed := n.seed + n.randomDraws.Add(1)*0x9e3779b97f4a7c15
	mixed = (mixed ^ mixed>>30) * 0xbf58476d1ce4e5b9
	mixed = (mixed ^ mixed>>27) * 0x94d049bb133111eb
	return float64((mixed^mixed>>31)>>11) / (1 << 53)
}

// transmit delivers one encoded frame after its delay, or drops it. If no transport is
// attached at the destination and the frame is not dropped, it returns KindNotSent, like a
// refused connection.
func (n *Network) transmit(from, to netip.AddrPort, encoded []byte) error {
	conditions := (*n.conditions.Load())(from, to)
	if conditions.Cut || conditions.Loss > 0 && n.randomFloat() < conditions.Loss {
		return nil
	}
	if _, present := n.transports.Load(to); !present {
		return transport.KindNotSent.New("nothing listens on %s", to)
	}
	delay := conditions.Delay
	if conditions.Jitter > 0 {
		delay += time.Duration(n.randomFloat() * float64(conditions.Jitter))
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
		err = receiver.exchange.Receive(receiver.ctx, link{local: receiver, peer: from}, frame, size)
	}
	if err != nil {
		panic("memory: a frame that this package encoded is malformed: " + err.Error())
	}
}

package snapshotcache

import (
	"context"
	"net/netip"
	"time"

	"google.golang.org/protobuf/proto"

	snapshotcachepb "github.com/sloelift/sloelift/api/proto/snapshotcache"
	"github.com/sloelift/sloelift/internal/clock"
	"github.com/sloelift/sloelift/internal/logging"
	"github.com/sloelift/sloelift/internal/platform"
	"github.com/sloelift/sloelift/internal/subscription"
	"github.com/sloelift/sloelift/internal/transport"
)

// Methods between nodes.
const (
	methodFetch transport.Method = "snapshotcache.fetch"
	methodOffer transport.Method = "snapshotcache.offer"
)

const (
	// listingPatience is how long the first listings are waited for before copies are asked for: the service answers within some
	// milliseconds, and a caller at a node without a configuration waits no longer than 250 ms.
	listingPatience = 40 * time.Millisecond
	// askedAtOnce is how many nodes are asked together, so that the newest of several answers counts and silent nodes cost no time.
	askedAtOnce = 3
	// askTimeout bounds the wait for one answer: a connection and two ways between regions, on a node that starts as well.
	askTimeout = 400 * time.Millisecond
	// askInterval is how often more nodes are asked while something is not known at all.
	askInterval = 100 * time.Millisecond
	// mostSent is the number of entries up to which a content is sent to another node: longer ones are no node's to keep whole.
	mostSent = 1024
	// renewInterval is how often newer copies are asked for while the service does not answer: it may answer other nodes, and changes
	// must be known everywhere within 2 s.
	renewInterval = 700 * time.Millisecond
)

func (c *Cache) register() {
	transport.Handle(c.options.Registrar, methodFetch, func() *snapshotcachepb.FetchRequest { return &snapshotcachepb.FetchRequest{} },
		func(_ context.Context, _ netip.AddrPort, request *snapshotcachepb.FetchRequest) (*snapshotcachepb.FetchResponse, error) {
			return c.newer(request), nil
		})
	c.options.Registrar.Handle(methodOffer, func() proto.Message { return &snapshotcachepb.Offer{} },
		func(_ context.Context, from netip.AddrPort, _ proto.Message) (proto.Message, error) {
			c.takeOffer(from)
			return nil, nil
		})
}

// newer returns the copies that are newer than what the asking node has.
func (c *Cache) newer(request *snapshotcachepb.FetchRequest) *snapshotcachepb.FetchResponse {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	response := &snapshotcachepb.FetchResponse{}
	for _, known := range request.GetKnown() {
		held := c.contents[known.GetPrefix()]
		if held != nil && held.entries != nil && len(held.entries) <= mostSent && held.revision > known.GetRevision() {
			response.Copies = append(response.Copies, held.message(known.GetPrefix()))
		}
	}
	c.metrics.served.Add(float64(len(response.Copies)))
	return response
}

// takeOffer has the node that offers copies asked next, and at once where something is missing here. It is also a contact through which
// this node can join the others.
func (c *Cache) takeOffer(from netip.AddrPort) {
	if c.listedAll() {
		return
	}
	c.mutex.Lock()
	c.peers.add(fromOffer, from)
	missing := c.missing()
	c.mutex.Unlock()
	c.options.Join(from)
	if missing {
		subscription.Signal(c.wake)
	}
}

// supply takes copies into use until the service has listed all prefixes.
func (c *Cache) supply(ctx context.Context) {
	if !c.wait(ctx, listingPatience, nil) {
		return
	}
	c.logger.Warn().Dur("waited", listingPatience).Msg("service_not_answering")
	c.handOver()
	for {
		c.ask(ctx)
		c.mutex.Lock()
		interval := renewInterval
		if c.missing() {
			interval = askInterval
		}
		c.mutex.Unlock()
		if !c.wait(ctx, interval, c.wake) {
			return
		}
	}
}

// wait waits for duration, or for a signal in wake, where it is not nil; false where there is nothing more to wait for.
func (c *Cache) wait(ctx context.Context, duration time.Duration, wake <-chan struct{}) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-wake:
	case <-c.complete:
		return false
	case <-ctx.Done():
		return false
	}
	return true
}

// missing says that of some prefix nothing is known, and copies of it are of use. The mutex is held.
func (c *Cache) missing() bool {
	for _, held := range c.contents {
		if held.entries == nil && !held.listed {
			return true
		}
	}
	return false
}

// ask asks some nodes, without waiting for their answers.
func (c *Cache) ask(ctx context.Context) {
	machines := c.machines()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, known := range machines {
		origin := fromOthers
		if known.store {
			origin = fromStores
		}
		if known.id != c.options.Viewer.View().Self {
			c.peers.add(origin, known.address)
		}
	}
	request := &snapshotcachepb.FetchRequest{}
	for prefix, held := range c.contents {
		if !held.listed {
			request.Known = append(request.Known, &snapshotcachepb.Known{Prefix: prefix, Revision: held.revision})
		}
	}
	for _, address := range c.peers.choose(askedAtOnce) {
		c.running.Go(func() { c.fetch(ctx, address, request) })
	}
}

// fetch takes the answer of one node.
func (c *Cache) fetch(ctx context.Context, address netip.AddrPort, request *snapshotcachepb.FetchRequest) {
	bounded, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	response := &snapshotcachepb.FetchResponse{}
	err := c.options.Caller.Call(bounded, address, methodFetch, request, response)
	c.mutex.Lock()
	c.peers.done(address)
	for _, message := range response.GetCopies() {
		c.takeCopy(message, address.String())
	}
	c.mutex.Unlock()
	if err != nil {
		c.logger.Debug().Err(err).Stringer(logging.FieldPeer, address).Msg("copies_not_fetched")
		return
	}
	c.handOver()
}

// handOver hands the copies that are newer than those in use to the take functions of their prefixes.
func (c *Cache) handOver() {
	c.taking.Lock()
	defer c.taking.Unlock()
	for _, fresh := range c.fresh(clock.Now()) {
		fresh.take(fresh.listing)
	}
}

// freshCopy is a copy to be taken into use.
type freshCopy struct {
	take    func(copied platform.Listing)
	listing platform.Listing
}

// fresh returns the copies that are newer than those in use, and notes that they are in use.
func (c *Cache) fresh(now time.Time) (all []freshCopy) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for prefix, held := range c.contents {
		if !held.listed && held.revision > held.supplied {
			held.supplied = held.revision
			all = append(all, freshCopy{held.take, held.listing()})
			c.metrics.taken.WithLabelValues(kindOf(held.source)).Inc()
			c.logger.Warn().Str(logging.FieldPrefix, prefix).Int64(logging.FieldRevision, held.revision).Int("entries", len(held.entries)).
				Dur("age", max(0, now.Sub(held.takenAt))).Str("source", held.source).Msg("serving_from_copy")
			subscription.Signal(c.unsaved)
		}
	}
	c.setInUse()
	return all
}

// kindOf is a source as the metrics name it: the disk, or any node.
func kindOf(source string) string {
	if source == sourceDisk {
		return sourceDisk
	}
	return "node"
}

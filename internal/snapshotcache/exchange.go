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
	// firstListingTimeout is how long to wait for the first listings before copies are fetched. The service normally answers within some
	// milliseconds, and a caller at a node without a configuration waits no longer than 250 ms.
	firstListingTimeout = 40 * time.Millisecond
	// peersPerRound is how many nodes are asked in parallel, so that the newest of several responses is used and a silent node causes no delay.
	peersPerRound = 3
	// fetchTimeout is the deadline of one fetch: connection setup and a round trip between regions, to a node that may be starting too.
	fetchTimeout = 400 * time.Millisecond
	// fetchInterval is the time between fetch rounds while the content of some prefix is unknown.
	fetchInterval = 100 * time.Millisecond
	// maxSentEntries is the largest number of entries of a prefix that is sent to another node. No node keeps longer lists as a whole.
	maxSentEntries = 1024
	// renewInterval is the time between fetch rounds for newer copies while the service does not answer this node. It may answer other
	// nodes, and changes must reach all nodes within 2 s.
	renewInterval = 700 * time.Millisecond
)

func (c *Cache) register() {
	transport.Handle(c.options.Registrar, methodFetch, func() *snapshotcachepb.FetchRequest { return &snapshotcachepb.FetchRequest{} },
		func(_ context.Context, _ netip.AddrPort, request *snapshotcachepb.FetchRequest) (*snapshotcachepb.FetchResponse, error) {
			return c.newerCopies(request), nil
		})
	c.options.Registrar.Handle(methodOffer, func() proto.Message { return &snapshotcachepb.Offer{} },
		func(_ context.Context, from netip.AddrPort, _ proto.Message) (proto.Message, error) {
			c.takeOffer(from)
			return nil, nil
		})
}

// newerCopies returns the copies that are newer than those of the requesting node.
func (c *Cache) newerCopies(request *snapshotcachepb.FetchRequest) *snapshotcachepb.FetchResponse {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	response := &snapshotcachepb.FetchResponse{}
	for _, known := range request.GetKnown() {
		cached := c.contents[known.GetPrefix()]
		if cached != nil && cached.entries != nil && len(cached.entries) <= maxSentEntries && cached.revision > known.GetRevision() {
			response.Copies = append(response.Copies, cached.message(known.GetPrefix()))
		}
	}
	c.metrics.served.Add(float64(len(response.Copies)))
	return response
}

// takeOffer makes the offering node the next one to fetch from, and starts a fetch round at once if the content of some prefix is unknown. The
// offering node also serves as a contact through which this node can join the cluster.
func (c *Cache) takeOffer(from netip.AddrPort) {
	if c.allListed() {
		return
	}
	c.mutex.Lock()
	c.peers.add(fromOffer, from)
	missing := c.hasUnknownPrefix()
	c.mutex.Unlock()
	c.options.Join(from)
	if missing {
		subscription.Signal(c.wake)
	}
}

// fetchUntilListed fetches copies and puts them into use until the service has listed all prefixes.
func (c *Cache) fetchUntilListed(ctx context.Context) {
	if !c.wait(ctx, firstListingTimeout, nil) {
		return
	}
	c.logger.Warn().Dur("waited", firstListingTimeout).Msg("service_not_answering")
	c.handOver()
	for {
		c.fetchRound(ctx)
		c.mutex.Lock()
		interval := renewInterval
		if c.hasUnknownPrefix() {
			interval = fetchInterval
		}
		c.mutex.Unlock()
		if !c.wait(ctx, interval, c.wake) {
			return
		}
	}
}

// wait waits for duration or for a signal on wake, which may be nil. It returns false if the service has listed all prefixes or ctx has ended.
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

// hasUnknownPrefix reports whether some prefix has neither a copy nor a listing. The mutex must be held.
func (c *Cache) hasUnknownPrefix() bool {
	for _, cached := range c.contents {
		if cached.entries == nil && !cached.listed {
			return true
		}
	}
	return false
}

// fetchRound starts fetches from peersPerRound nodes without waiting for the responses.
func (c *Cache) fetchRound(ctx context.Context) {
	machines := c.machines()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, node := range machines {
		origin := fromOtherMember
		if node.store {
			origin = fromStoreMember
		}
		if node.id != c.options.Viewer.View().Self {
			c.peers.add(origin, node.address)
		}
	}
	request := &snapshotcachepb.FetchRequest{}
	for prefix, cached := range c.contents {
		if !cached.listed {
			request.Known = append(request.Known, &snapshotcachepb.Known{Prefix: prefix, Revision: cached.revision})
		}
	}
	for _, address := range c.peers.choose(peersPerRound) {
		c.running.Go(func() { c.fetch(ctx, address, request) })
	}
}

// fetch fetches newer copies from one node and puts them into use.
func (c *Cache) fetch(ctx context.Context, address netip.AddrPort, request *snapshotcachepb.FetchRequest) {
	bounded, cancel := context.WithTimeout(ctx, fetchTimeout)
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

// handOver passes copies that are newer than those in use to the take functions of their prefixes.
func (c *Cache) handOver() {
	c.takeMutex.Lock()
	defer c.takeMutex.Unlock()
	for _, newer := range c.takeFreshCopies(clock.Now()) {
		newer.take(newer.listing)
	}
}

// freshCopy is a copy to be put into use.
type freshCopy struct {
	take    func(copied platform.Listing)
	listing platform.Listing
}

// takeFreshCopies returns the copies that are newer than those in use, and marks them as in use.
func (c *Cache) takeFreshCopies(now time.Time) (all []freshCopy) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for prefix, cached := range c.contents {
		if !cached.listed && cached.revision > cached.copyRevision {
			cached.copyRevision = cached.revision
			all = append(all, freshCopy{cached.take, cached.listing()})
			c.metrics.taken.WithLabelValues(sourceLabel(cached.source)).Inc()
			c.logger.Warn().Str(logging.FieldPrefix, prefix).Int64(logging.FieldRevision, cached.revision).Int("entries", len(cached.entries)).
				Dur("age", max(0, now.Sub(cached.takenAt))).Str("source", cached.source).Msg("serving_from_copy")
			subscription.Signal(c.unsaved)
		}
	}
	c.setInUse()
	return all
}

// sourceLabel returns the metric label of a source: "disk" or "node".
func sourceLabel(source string) string {
	if source == sourceDisk {
		return sourceDisk
	}
	return "node"
}

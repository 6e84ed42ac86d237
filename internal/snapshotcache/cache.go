package snapshotcache

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/sloelift/sloelift/internal/clock"
	"github.com/sloelift/sloelift/internal/logging"
	"github.com/sloelift/sloelift/internal/membership"
	"github.com/sloelift/sloelift/internal/platform"
	"github.com/sloelift/sloelift/internal/subscription"
	"github.com/sloelift/sloelift/internal/transport"
)

// olderListingTimeout is how long listings older than the copy in use are refused. The service never loses acknowledged writes, so a later
// listing is normally newer. After this time an older listing is accepted too: the service was restored from a backup.
const olderListingTimeout = 10 * time.Second

// Options of a Cache.
type Options struct {
	// Store is the key-value service that is cached. It serves all calls.
	Store     platform.KeyValue
	Caller    transport.Caller
	Registrar transport.Registrar
	Viewer    membership.Viewer
	// Join receives the address of a node through which this node can join the cluster.
	Join func(address netip.AddrPort)
	// ServiceUnanswered reports whether the service answers neither this node nor a node that watches on its behalf.
	ServiceUnanswered func() bool
	// Lister returns the node that reads long lists from the service on behalf of the other nodes; found is false if none is known. If Lister is
	// nil, each node reads them itself. A list is long if it has more than MaxShortEntries entries.
	Lister          func() (lister Lister, found bool)
	MaxShortEntries int
	// Seeds are nodes to fetch copies from; some may no longer exist.
	Seeds []netip.AddrPort
	// DataFolder is empty on a node without persistent storage; such a node offers no copies.
	DataFolder string
	// RandomSeed seeds the choice of the nodes to fetch from.
	RandomSeed uint64
	Registerer prometheus.Registerer
	Logger     zerolog.Logger
}

// Cache wraps a key-value service and keeps copies of the prefixes that are followed. It is safe for concurrent use.
type Cache struct {
	platform.KeyValue
	options Options
	logger  zerolog.Logger
	metrics *metrics
	file    *file

	cancel      context.CancelFunc
	unsubscribe func()
	running     sync.WaitGroup
	// complete is closed once the service has listed all prefixes. A signal on wake triggers a fetch round at once, one on unsaved a write of
	// the file.
	complete chan struct{}
	wake     chan struct{}
	unsaved  chan struct{}

	// targetCache is accessed only by the goroutine that offers copies.
	targetCache targetCache

	// takeMutex is held while copies are passed to take functions, and while a listing ends the use of copies, so that no copy is passed
	// after a listing.
	takeMutex sync.Mutex
	// mutex guards the fields below. Lock order: takeMutex before mutex.
	mutex    sync.Mutex
	contents map[string]*content
	peers    *peers
	// savedMachines are the nodes listed in the file.
	savedMachines []machine
	started       time.Time
	// confirmed is closed and replaced each time the service confirms the content of a prefix.
	confirmed chan struct{}
}

// New returns a Cache and registers its methods. Prefixes are added by CachePrefix before Start.
func New(options Options) (*Cache, error) {
	metrics, err := newMetrics(options.Registerer)
	if err != nil {
		return nil, err
	}
	cache := &Cache{
		KeyValue: options.Store, options: options, metrics: metrics, file: newFile(options.DataFolder),
		logger:   options.Logger.With().Str(logging.FieldSlice, "snapshotcache").Logger(),
		complete: make(chan struct{}), confirmed: make(chan struct{}), wake: make(chan struct{}, 1), unsaved: make(chan struct{}, 1),
		started: clock.Now(), contents: map[string]*content{}, peers: newPeers(rand.New(rand.NewPCG(options.RandomSeed, 0))),
	}
	cache.peers.add(fromSeed, options.Seeds...)
	cache.register()
	cache.handleSince()
	return cache, nil
}

// CachePrefix caches prefix and passes copies of its content to take, each newer than the previous one, until the service lists the prefix.
// take is called by one goroutine at a time, and not after List has returned.
func (c *Cache) CachePrefix(prefix string, take func(copied platform.Listing)) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.contents[prefix] = &content{take: take}
}

// Start loads the file and starts the background goroutines. It does not wait for the first listings.
func (c *Cache) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	c.cancel = cancel
	c.unsubscribe = func() {}
	if c.file != nil {
		c.load()
		c.unsubscribe = c.options.Viewer.Subscribe(func(*membership.View) { subscription.Signal(c.unsaved) })
		c.running.Go(func() { c.saveLoop(ctx) })
		c.running.Go(func() { c.offerCopies(ctx) })
	}
	c.running.Go(func() { c.fetchUntilListed(ctx) })
}

// Stop stops all goroutines: fetching from other nodes, offering copies and writing the file.
func (c *Cache) Stop() {
	c.unsubscribe()
	c.cancel()
	c.running.Wait()
}

// List reads all keys below prefix from the service; of a long list it reads only the changes, from the lister node. It ends the use of copies
// of prefix.
func (c *Cache) List(ctx context.Context, prefix string) (platform.Listing, error) {
	listing, answered := c.listFromLister(ctx, prefix)
	if !answered {
		var err error
		if listing, err = c.KeyValue.List(ctx, prefix); err != nil {
			return listing, err
		}
	}
	if err := c.takeListing(prefix, listing, clock.Now()); err != nil {
		return platform.Listing{}, err
	}
	return listing, nil
}

// DropCopies ends the use of copies of prefix and drops its cached content. It is called on a node that gets the content in another way.
func (c *Cache) DropCopies(prefix string) {
	c.takeMutex.Lock()
	defer c.takeMutex.Unlock()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	cached := c.contents[prefix]
	if cached == nil {
		return
	}
	cached.entries, cached.revision, cached.encoded = nil, 0, nil
	if !cached.listed {
		cached.listed = true
		c.noteListed()
	}
}

// takeListing stores a listing of the service. It returns an error if the copy in use is newer.
func (c *Cache) takeListing(prefix string, listing platform.Listing, now time.Time) error {
	c.takeMutex.Lock()
	defer c.takeMutex.Unlock()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	cached := c.contents[prefix]
	if cached == nil {
		return nil
	}
	if cached.refusesOlder(listing, now) {
		c.logger.Warn().Str(logging.FieldPrefix, prefix).Int64(logging.FieldRevision, listing.Revision).Int64("copy_revision", cached.copyRevision).
			Msg("service_older_than_copy")
		return platform.KindUnavailable.New("the service lists revision %d, which is older than the copy in use, revision %d",
			listing.Revision, cached.copyRevision)
	}
	if !cached.listed && cached.copyRevision > 0 {
		c.logger.Info().Str(logging.FieldPrefix, prefix).Int64(logging.FieldRevision, listing.Revision).Int64("copy_revision", cached.copyRevision).
			Str("source", cached.source).Msg("copy_confirmed")
	}
	cached.replace(listing, now, "")
	c.noteConfirmed(cached, now)
	if !cached.listed {
		cached.listed = true
		c.noteListed()
	}
	subscription.Signal(c.unsaved)
	return nil
}

// refusesOlder reports whether a listing is refused because it is older than the copy in use; after olderListingTimeout it is accepted.
func (c *content) refusesOlder(listing platform.Listing, now time.Time) bool {
	if c.listed || listing.Revision >= c.copyRevision {
		return false
	}
	if c.olderSince.IsZero() {
		c.olderSince = now
	}
	return now.Sub(c.olderSince) < olderListingTimeout
}

// noteListed updates the metric and closes complete once the service has listed all prefixes. The mutex must be held.
func (c *Cache) noteListed() {
	c.setInUse()
	for _, cached := range c.contents {
		if !cached.listed {
			return
		}
	}
	close(c.complete)
}

// setInUse updates the metric of the prefixes served from a copy. The mutex must be held.
func (c *Cache) setInUse() {
	inUse := 0
	for _, cached := range c.contents {
		if !cached.listed && cached.copyRevision > 0 {
			inUse++
		}
	}
	c.metrics.inUse.Set(float64(inUse))
}

// allListed reports whether the service has listed all prefixes.
func (c *Cache) allListed() bool {
	select {
	case <-c.complete:
		return true
	default:
		return false
	}
}

// Watch delivers the changes of the service and applies them to the cached content.
func (c *Cache) Watch(ctx context.Context, prefix string, fromRevision int64) (<-chan platform.WatchEvent, error) {
	source, err := c.KeyValue.Watch(ctx, prefix, fromRevision)
	if err != nil || !c.isCached(prefix) {
		return source, err
	}
	events := make(chan platform.WatchEvent)
	go func() {
		defer close(events)
		for event := range source {
			c.takeChange(prefix, event, clock.Now())
			select {
			case events <- event:
			case <-ctx.Done():
				// The source ends with ctx too. It is drained so that its sender does not block.
			}
		}
	}()
	return events, nil
}

// isCached reports whether prefix is cached.
func (c *Cache) isCached(prefix string) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.contents[prefix] != nil
}

// takeChange applies a watch event to the cached content.
func (c *Cache) takeChange(prefix string, event platform.WatchEvent, now time.Time) {
	if event.Err != nil {
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	cached := c.contents[prefix]
	if cached.entries == nil || event.Revision < cached.revision {
		// Events still buffered by an ended watch may be older than a later listing.
		return
	}
	if len(event.Changed)+len(event.Deleted) == 0 {
		cached.revision, cached.encoded = event.Revision, nil
		c.noteConfirmed(cached, now)
		return
	}
	cached.apply(event, now)
	c.noteConfirmed(cached, now)
	subscription.Signal(c.unsaved)
}

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

// olderPatience is how long listings that are older than the copy in use are refused. The service never loses what it has acknowledged,
// so that the next listing is newer; where it was restored from a backup it is followed all the same after this time.
const olderPatience = 10 * time.Second

// Options of a Cache.
type Options struct {
	// Store is followed, and answers all calls.
	Store     platform.KeyValue
	Caller    transport.Caller
	Registrar transport.Registrar
	Viewer    membership.Viewer
	// Join takes the address of a node through which this one can join the others.
	Join func(address netip.AddrPort)
	// Unanswered says that neither this node nor one that watches for it gets answers of the service.
	Unanswered func() bool
	// Lister returns the node that reads long lists from the service for the others that keep them; found is false where none is known. nil has each
	// node read them. A list of up to MostShort entries is not long.
	Lister    func() (lister Lister, found bool)
	MostShort int
	// Seeds are nodes to ask; some may be gone.
	Seeds []netip.AddrPort
	// DataFolder is empty on a node that keeps nothing; such a node offers no copies.
	DataFolder string
	// RandomSeed drives the choice of whom to ask.
	RandomSeed uint64
	Registerer prometheus.Registerer
	Logger     zerolog.Logger
}

// Cache is a key-value service that keeps what is followed. It is safe for concurrent use.
type Cache struct {
	platform.KeyValue
	options Options
	logger  zerolog.Logger
	metrics *metrics
	file    *file

	cancel      context.CancelFunc
	unsubscribe func()
	running     sync.WaitGroup
	// complete is closed once all prefixes are listed. A signal in wake has other nodes asked at once, one in unsaved has the file written.
	complete chan struct{}
	wake     chan struct{}
	unsaved  chan struct{}

	// offersBy belongs to the goroutine that offers copies.
	offersBy offersBy

	// taking is held while copies are handed to take functions, and while a listing ends the use of copies, so that no copy comes after a
	// listing.
	taking sync.Mutex
	// mutex guards the fields below; it may be taken while taking is held.
	mutex    sync.Mutex
	contents map[string]*content
	peers    *peers
	// remembered are the nodes that the file named.
	remembered []machine
	started    time.Time
	// confirmed is closed when the service has answered what is below a prefix, and another one takes its place.
	confirmed chan struct{}
}

// New returns a Cache and registers its methods. Prefixes are added by Supply before Start.
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

// Supply has copies of what lies below prefix kept, and given to take, each newer than the one before, until the service lists the prefix.
// take is called by one goroutine at a time, and not after List has returned.
func (c *Cache) Supply(prefix string, take func(copied platform.Listing)) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.contents[prefix] = &content{take: take}
}

// Start reads the file and begins to wait for the first listings. It does not wait for them.
func (c *Cache) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	c.cancel = cancel
	c.unsubscribe = func() {}
	if c.file != nil {
		c.load()
		c.unsubscribe = c.options.Viewer.Subscribe(func(*membership.View) { subscription.Signal(c.unsaved) })
		c.running.Go(func() { c.keepSaved(ctx) })
		c.running.Go(func() { c.offerCopies(ctx) })
	}
	c.running.Go(func() { c.supply(ctx) })
}

// Stop ends the questions to other nodes and the writing of the file.
func (c *Cache) Stop() {
	c.unsubscribe()
	c.cancel()
	c.running.Wait()
}

// List reads all keys below prefix from the service, or what has changed of a long list from the node that does so for others; it ends the use of
// copies of prefix.
func (c *Cache) List(ctx context.Context, prefix string) (platform.Listing, error) {
	listing, caughtUp := c.catchUp(ctx, prefix)
	if !caughtUp {
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

// Settle ends the use of copies of prefix, and keeps none of it, on a node that learns in another way what lies below it.
func (c *Cache) Settle(prefix string) {
	c.taking.Lock()
	defer c.taking.Unlock()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	held := c.contents[prefix]
	if held == nil {
		return
	}
	held.entries, held.revision, held.encoded = nil, 0, nil
	if !held.listed {
		held.listed = true
		c.noteListed()
	}
}

// takeListing takes in what the service lists; an error says that the copy in use is newer.
func (c *Cache) takeListing(prefix string, listing platform.Listing, now time.Time) error {
	c.taking.Lock()
	defer c.taking.Unlock()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	held := c.contents[prefix]
	if held == nil {
		return nil
	}
	if held.older(listing, now) {
		c.logger.Warn().Str(logging.FieldPrefix, prefix).Int64(logging.FieldRevision, listing.Revision).Int64("copy_revision", held.supplied).
			Msg("service_older_than_copy")
		return platform.KindUnavailable.New("listed at revision %d, the copy in use is of %d", listing.Revision, held.supplied)
	}
	if !held.listed && held.supplied > 0 {
		c.logger.Info().Str(logging.FieldPrefix, prefix).Int64(logging.FieldRevision, listing.Revision).Int64("copy_revision", held.supplied).
			Str("source", held.source).Msg("copy_confirmed")
	}
	held.replace(listing, now, "")
	c.noteConfirmed(held, now)
	if !held.listed {
		held.listed = true
		c.noteListed()
	}
	subscription.Signal(c.unsaved)
	return nil
}

// older says that a listing is behind the copy in use, and not for long.
func (c *content) older(listing platform.Listing, now time.Time) bool {
	if c.listed || listing.Revision >= c.supplied {
		return false
	}
	if c.olderSince.IsZero() {
		c.olderSince = now
	}
	return now.Sub(c.olderSince) < olderPatience
}

// noteListed closes complete once no prefix is left that the service has not listed. The mutex is held.
func (c *Cache) noteListed() {
	c.setInUse()
	for _, held := range c.contents {
		if !held.listed {
			return
		}
	}
	close(c.complete)
}

// setInUse sets the number of prefixes of which a copy is in use. The mutex is held.
func (c *Cache) setInUse() {
	inUse := 0
	for _, held := range c.contents {
		if !held.listed && held.supplied > 0 {
			inUse++
		}
	}
	c.metrics.inUse.Set(float64(inUse))
}

// listedAll says that the service has listed all prefixes.
func (c *Cache) listedAll() bool {
	select {
	case <-c.complete:
		return true
	default:
		return false
	}
}

// Watch delivers changes as the service does, and keeps them.
func (c *Cache) Watch(ctx context.Context, prefix string, fromRevision int64) (<-chan platform.WatchEvent, error) {
	source, err := c.KeyValue.Watch(ctx, prefix, fromRevision)
	if err != nil || !c.keeps(prefix) {
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
				// The source ends with ctx too; what it still has is read, so that it is not held up.
			}
		}
	}()
	return events, nil
}

// keeps says that copies of prefix are kept.
func (c *Cache) keeps(prefix string) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.contents[prefix] != nil
}

// takeChange takes in an event of a watch.
func (c *Cache) takeChange(prefix string, event platform.WatchEvent, now time.Time) {
	if event.Err != nil {
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	held := c.contents[prefix]
	if held.entries == nil || event.Revision < held.revision {
		// What a watch that has ended still holds may be older than a listing since.
		return
	}
	if len(event.Changed)+len(event.Deleted) == 0 {
		held.revision, held.encoded = event.Revision, nil
		c.noteConfirmed(held, now)
		return
	}
	held.apply(event, now)
	c.noteConfirmed(held, now)
	subscription.Signal(c.unsaved)
}

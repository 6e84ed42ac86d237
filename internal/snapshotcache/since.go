package snapshotcache

import (
	"context"
	"maps"
	"net/netip"
	"time"

	snapshotcachepb "github.com/sloelift/sloelift/api/proto/snapshotcache"
	"github.com/sloelift/sloelift/internal/clock"
	"github.com/sloelift/sloelift/internal/logging"
	"github.com/sloelift/sloelift/internal/outcome"
	"github.com/sloelift/sloelift/internal/platform"
	"github.com/sloelift/sloelift/internal/transport"
)

const methodSince transport.Method = "snapshotcache.since"

const (
	// sinceMaxWait limits how long a request for changes waits until the service has confirmed the cached content. The service confirms it to a
	// watching node once a second.
	sinceMaxWait = 1200 * time.Millisecond
	// sinceTimeout is the deadline of the call. The response contains all keys of a long list.
	sinceTimeout = sinceMaxWait + 300*time.Millisecond
)

// Lister is the node that reads long lists from the service on behalf of the others.
type Lister struct {
	Address netip.AddrPort
	Self    bool
}

// handleSince registers the method by which other nodes request the changes of a long list.
func (c *Cache) handleSince() {
	transport.Handle(c.options.Registrar, methodSince, func() *snapshotcachepb.SinceRequest { return &snapshotcachepb.SinceRequest{} },
		func(ctx context.Context, _ netip.AddrPort, request *snapshotcachepb.SinceRequest) (*snapshotcachepb.SinceResponse, error) {
			return c.answerSince(ctx, request)
		})
}

// answerSince waits until the service has confirmed the content of the prefix after the request arrived. The response is then as recent as a
// listing by the requesting node would have been.
func (c *Cache) answerSince(ctx context.Context, request *snapshotcachepb.SinceRequest) (*snapshotcachepb.SinceResponse, error) {
	receivedAt := clock.Now()
	timeout := time.NewTimer(sinceMaxWait)
	defer timeout.Stop()
	for {
		response, confirmed := c.since(request, receivedAt)
		if response != nil {
			return response, nil
		}
		select {
		case <-confirmed:
		case <-timeout.C:
			return nil, outcome.New(outcome.NotRun, outcome.ReasonUnavailable, "the key-value service does not confirm the list here")
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// since returns the response; nil while the content is not confirmed. confirmed is closed at the next confirmation.
func (c *Cache) since(request *snapshotcachepb.SinceRequest, receivedAt time.Time) (response *snapshotcachepb.SinceResponse, confirmed <-chan struct{}) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	cached := c.contents[request.GetPrefix()]
	if cached == nil || !cached.listed || cached.entries == nil || !cached.confirmedAt.After(receivedAt) {
		return nil, c.confirmed
	}
	response = &snapshotcachepb.SinceResponse{Revision: cached.revision}
	for key, entry := range cached.entries {
		response.Keys = append(response.Keys, key)
		if entry.ModRevision > request.GetRevision() {
			response.Changed = append(response.Changed, encodeEntry(entry))
		}
	}
	return response, nil
}

// noteConfirmed records that the service has just confirmed the content of a prefix. The mutex must be held.
func (c *Cache) noteConfirmed(cached *content, now time.Time) {
	cached.confirmedAt = now
	close(c.confirmed)
	c.confirmed = make(chan struct{})
}

// listFromLister updates a cached long list with the changes that this node has missed, read from the lister node, since each listing of it by
// the service takes many calls. It returns false if the service must be asked.
func (c *Cache) listFromLister(ctx context.Context, prefix string) (platform.Listing, bool) {
	known, revision := c.longContent(prefix)
	if known == nil {
		return platform.Listing{}, false
	}
	lister, found := c.options.Lister()
	if !found || lister.Self {
		return platform.Listing{}, false
	}
	bounded, cancel := context.WithTimeout(ctx, sinceTimeout)
	defer cancel()
	response := &snapshotcachepb.SinceResponse{}
	request := &snapshotcachepb.SinceRequest{Prefix: prefix, Revision: revision}
	if err := c.options.Caller.Call(bounded, lister.Address, methodSince, request, response); err != nil {
		c.logger.Info().Err(err).Stringer(logging.FieldPeer, lister.Address).Msg("changes_not_fetched")
		return platform.Listing{}, false
	}
	return merge(known, revision, response)
}

// longContent returns the entries and the revision of a prefix that the service has listed; nil if the list is not long.
func (c *Cache) longContent(prefix string) (map[string]platform.Entry, int64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	cached := c.contents[prefix]
	if cached == nil || !cached.listed || c.options.Lister == nil || len(cached.entries) <= c.options.MaxShortEntries {
		return nil, 0
	}
	return maps.Clone(cached.entries), cached.revision
}

// merge applies a response to known, the entries at revision, and returns the resulting listing. complete is false if the response is older
// than revision or an entry is missing.
func merge(known map[string]platform.Entry, revision int64, response *snapshotcachepb.SinceResponse) (listing platform.Listing, complete bool) {
	if response.GetRevision() < revision {
		return platform.Listing{}, false
	}
	for _, entry := range response.GetChanged() {
		known[entry.GetKey()] = decodeEntry(entry)
	}
	listing.Revision = response.GetRevision()
	for _, key := range response.GetKeys() {
		entry, present := known[key]
		if !present {
			return platform.Listing{}, false
		}
		listing.Entries = append(listing.Entries, entry)
	}
	return listing, true
}

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
	// sinceHold is how long a question for changes is held until the service has confirmed what is known: it answers a node that watches it once
	// a second.
	sinceHold = 1200 * time.Millisecond
	// sinceTimeout bounds the wait for the answer, which has all keys of a long list.
	sinceTimeout = sinceHold + 300*time.Millisecond
)

// Lister is the node that reads a long list from the service for the others that keep it.
type Lister struct {
	Address netip.AddrPort
	Self    bool
}

// handleSince answers other nodes that keep a long list.
func (c *Cache) handleSince() {
	transport.Handle(c.options.Registrar, methodSince, func() *snapshotcachepb.SinceRequest { return &snapshotcachepb.SinceRequest{} },
		func(ctx context.Context, _ netip.AddrPort, request *snapshotcachepb.SinceRequest) (*snapshotcachepb.SinceResponse, error) {
			return c.answerSince(ctx, request)
		})
}

// answerSince waits until the service has confirmed what is known of the prefix since the question came: the answer is then as new as a listing of
// the asking node would have been.
func (c *Cache) answerSince(ctx context.Context, request *snapshotcachepb.SinceRequest) (*snapshotcachepb.SinceResponse, error) {
	came := clock.Now()
	over := time.NewTimer(sinceHold)
	defer over.Stop()
	for {
		response, confirmed := c.since(request, came)
		if response != nil {
			return response, nil
		}
		select {
		case <-confirmed:
		case <-over.C:
			return nil, outcome.New(outcome.NotRun, outcome.ReasonUnavailable, "the key-value service does not confirm the list here")
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// since returns the answer, nil while it is not confirmed; confirmed is closed at the next confirmation.
func (c *Cache) since(request *snapshotcachepb.SinceRequest, came time.Time) (response *snapshotcachepb.SinceResponse, confirmed <-chan struct{}) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	held := c.contents[request.GetPrefix()]
	if held == nil || !held.listed || held.entries == nil || !held.confirmedAt.After(came) {
		return nil, c.confirmed
	}
	response = &snapshotcachepb.SinceResponse{Revision: held.revision}
	for key, entry := range held.entries {
		response.Keys = append(response.Keys, key)
		if entry.ModRevision > request.GetRevision() {
			response.Changed = append(response.Changed, encodeEntry(entry))
		}
	}
	return response, nil
}

// noteConfirmed notes that the service has just answered what is below a prefix. The mutex is held.
func (c *Cache) noteConfirmed(held *content, now time.Time) {
	held.confirmedAt = now
	close(c.confirmed)
	c.confirmed = make(chan struct{})
}

// catchUp brings a long list, which this node keeps and has missed changes of, up to date at the node that reads it from the service for all:
// each reading takes many calls. It returns false where the service is to be asked.
func (c *Cache) catchUp(ctx context.Context, prefix string) (platform.Listing, bool) {
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

// longContent returns what is known of a prefix that the service has listed, and its revision; nil where that is not long.
func (c *Cache) longContent(prefix string) (map[string]platform.Entry, int64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	held := c.contents[prefix]
	if held == nil || !held.listed || c.options.Lister == nil || len(held.entries) <= c.options.MostShort {
		return nil, 0
	}
	return maps.Clone(held.entries), held.revision
}

// merge returns the listing that known, as of revision, becomes by an answer; whole is false where the answer is older, or lacks something.
func merge(known map[string]platform.Entry, revision int64, response *snapshotcachepb.SinceResponse) (listing platform.Listing, whole bool) {
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

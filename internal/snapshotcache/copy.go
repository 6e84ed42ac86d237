package snapshotcache

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	snapshotcachepb "github.com/sloelift/sloelift/api/proto/snapshotcache"
	"github.com/sloelift/sloelift/internal/platform"
)

// content is the cached content of one prefix. The cache's mutex guards it.
type content struct {
	// entries are the entries at revision, by key; nil while nothing is known. takenAt is the wall-clock time at which a node read them from
	// the service. source is "disk" or the address of the node that sent them; empty for the service.
	entries  map[string]platform.Entry
	revision int64
	takenAt  time.Time
	source   string
	// confirmedAt is when the service last confirmed the content, by a listing or by an event of a watch.
	confirmedAt time.Time
	// listed is set once the service has listed the prefix to this process; from then on copies are ignored.
	listed bool
	// take receives the copies; copyRevision is the revision of the last one, 0 if there was none.
	take         func(copied platform.Listing)
	copyRevision int64
	// olderSince is when the service first listed an older revision than the copy in use; zero if it has not.
	olderSince time.Time
	// encoded caches the message built from entries, revision and takenAt; nil after one of them changed.
	encoded *snapshotcachepb.Copy
}

// replace replaces the content with a listing.
func (c *content) replace(listing platform.Listing, takenAt time.Time, source string) {
	c.entries = make(map[string]platform.Entry, len(listing.Entries))
	for _, entry := range listing.Entries {
		c.entries[entry.Key] = entry
	}
	c.revision, c.takenAt, c.source, c.encoded = listing.Revision, takenAt, source, nil
}

// apply applies a watch event of the service.
func (c *content) apply(event platform.WatchEvent, now time.Time) {
	for _, entry := range event.Changed {
		c.entries[entry.Key] = entry
	}
	for _, key := range event.Deleted {
		delete(c.entries, key)
	}
	c.revision, c.takenAt, c.encoded = max(c.revision, event.Revision), now, nil
}

// listing returns the content as the service would list it.
func (c *content) listing() platform.Listing {
	entries := slices.SortedFunc(maps.Values(c.entries), func(a, b platform.Entry) int { return cmp.Compare(a.Key, b.Key) })
	return platform.Listing{Revision: c.revision, Entries: entries}
}

// message returns the encoded content, as it is sent and saved. The caller must not modify it.
func (c *content) message(prefix string) *snapshotcachepb.Copy {
	if c.encoded != nil {
		return c.encoded
	}
	listing := c.listing()
	message := &snapshotcachepb.Copy{Prefix: prefix, Revision: c.revision, TakenUnixMicros: c.takenAt.UnixMicro()}
	for _, entry := range listing.Entries {
		message.Entries = append(message.Entries, encodeEntry(entry))
	}
	c.encoded = message
	return message
}

// decode decodes a copy. valid is false if it contains a key outside its prefix or an entry newer than its revision, or has no revision.
func decode(message *snapshotcachepb.Copy) (listing platform.Listing, takenAt time.Time, valid bool) {
	listing.Revision = message.GetRevision()
	for _, entry := range message.GetEntries() {
		if !strings.HasPrefix(entry.GetKey(), message.GetPrefix()) || entry.GetModRevision() > message.GetRevision() {
			return platform.Listing{}, time.Time{}, false
		}
		listing.Entries = append(listing.Entries, decodeEntry(entry))
	}
	return listing, time.UnixMicro(message.GetTakenUnixMicros()), listing.Revision > 0
}

func encodeEntry(entry platform.Entry) *snapshotcachepb.Entry {
	return &snapshotcachepb.Entry{
		Key:            entry.Key,
		Value:          entry.Value,
		CreateRevision: entry.CreateRevision,
		ModRevision:    entry.ModRevision,
	}
}

func decodeEntry(entry *snapshotcachepb.Entry) platform.Entry {
	return platform.Entry{
		Key:            entry.GetKey(),
		Value:          entry.GetValue(),
		CreateRevision: entry.GetCreateRevision(),
		ModRevision:    entry.GetModRevision(),
	}
}

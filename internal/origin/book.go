package origin

import (
	"time"
	"unicode/utf8"

	originpb "github.com/sloelift/sloelift/api/proto/origin"
	"github.com/sloelift/sloelift/internal/replica"
)

const (
	// maxRecords bounds the records of one node; at about 275 bytes each they take 27 MB.
	maxRecords = 100_000
	// maxRequestBytes bounds the length of a request ID whose stream can be resumed.
	maxRequestBytes = 128
	// maxLifetime bounds how long a record is kept.
	maxLifetime = 2 * time.Hour
)

// record is what a node knows of one stream's origin.
type record struct {
	origin replica.Origin
	// disputed is set once two origins were recorded for the same request; origin is then zero.
	disputed  bool
	expiresAt time.Time
}

// book holds the records that this node keeps, by request ID. It is not safe for concurrent use.
type book struct {
	records map[string]record
}

func newBook() *book { return &book{records: map[string]record{}} }

// add keeps a record, and reports whether it is kept. A record never changes, except that a second origin for its request makes it disputed.
func (b *book) add(requestID string, began replica.Origin, disputed bool, lifetime time.Duration, now time.Time) bool {
	if requestID == "" || len(requestID) > maxRequestBytes || !utf8.ValidString(requestID) || lifetime <= 0 {
		return false
	}
	added := record{origin: began, disputed: disputed, expiresAt: now.Add(min(lifetime, maxLifetime))}
	known, exists := b.find(requestID, now)
	if !exists && len(b.records) >= maxRecords {
		return false
	}
	if exists {
		added.disputed = added.disputed || known.disputed || known.origin != added.origin
		if known.expiresAt.After(added.expiresAt) {
			added.expiresAt = known.expiresAt
		}
	}
	if added.disputed {
		added.origin = replica.Origin{}
	}
	b.records[requestID] = added
	return true
}

// find returns the record of a request unless it has expired.
func (b *book) find(requestID string, now time.Time) (known record, exists bool) {
	known, exists = b.records[requestID]
	return known, exists && now.Before(known.expiresAt)
}

// expire deletes the records whose time is over.
func (b *book) expire(now time.Time) {
	for requestID, known := range b.records {
		if !now.Before(known.expiresAt) {
			delete(b.records, requestID)
		}
	}
}

func (r record) encode(requestID string, now time.Time) *originpb.Record {
	return &originpb.Record{
		Request: requestID, Service: r.origin.Service, Version: r.origin.Version, Incarnation: uint64(r.origin.Incarnation),
		LifetimeMillis: uint64(max(1, r.expiresAt.Sub(now).Milliseconds())), Disputed: r.disputed,
	}
}

func decodeOrigin(message *originpb.Record) replica.Origin {
	return replica.Origin{
		Service: message.GetService(), Version: message.GetVersion(), Incarnation: replica.Key(message.GetIncarnation()),
	}
}

func lifetimeOf(message *originpb.Record) time.Duration {
	return time.Duration(min(message.GetLifetimeMillis(), uint64(maxLifetime/time.Millisecond))) * time.Millisecond
}

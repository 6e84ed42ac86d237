package relay

import (
	"errors"
	"maps"

	"github.com/cespare/xxhash/v2"
)

// Limits of the deltas that a node keeps for peers that are behind.
const (
	maxKeptDeltas     = 64
	maxKeptDeltaBytes = 256 << 10
)

// errDamaged is the error of a document whose content does not match its hash.
var errDamaged = errors.New("the content of the document does not match its hash")

// document is the whole configuration at one revision, in its stored form. It is immutable.
type document struct {
	revision int64
	// storeRevision is a revision of the key-value service at which this document was
	// current; a watch continues at the next one. 0 means unknown.
	storeRevision int64
	// objects are the stored declarations, by key relative to config.KeyPrefix.
	objects map[string][]byte
	// hash is the sum of the objects' hashes.
	hash uint64
	// deltas are the most recent changes, contiguous up to revision.
	deltas []*delta
}

// delta turns the document of revision-1 into that of revision. It is immutable.
type delta struct {
	revision      int64
	storeRevision int64
	changed       map[string][]byte
	withdrawn     []string
	// hash is the hash of the document after the change.
	hash uint64
}

func newDocument(revision, storeRevision int64, objects map[string][]byte) *document {
	created := &document{revision: revision, storeRevision: storeRevision, objects: objects}
	for key, value := range objects {
		created.hash += hashObject(key, value)
	}
	return created
}

// hashObject hashes key and value, separated by a byte that no key contains.
func hashObject(key string, value []byte) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(key)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.Write(value)
	return digest.Sum64()
}

// apply returns the document that results from next, whose revision must be
// d.revision+1. The hash is computed from the content, not copied from next.
func (d *document) apply(next *delta) *document {
	objects := maps.Clone(d.objects)
	if objects == nil {
		objects = make(map[string][]byte, len(next.changed))
	}
	hash := d.hash
	remove := func(key string) {
		if value, present := objects[key]; present {
			hash -= hashObject(key, value)
			delete(objects, key)
		}
	}
	for _, key := range next.withdrawn {
		remove(key)
	}
	for key, value := range next.changed {
		remove(key)
		objects[key] = value
		hash += hashObject(key, value)
	}
	return &document{
		revision:      next.revision,
		storeRevision: max(d.storeRevision, next.storeRevision),
		objects:       objects,
		hash:          hash,
		deltas:        appendDelta(d.deltas, next),
	}
}

// appendDelta returns a copy of kept with next appended, without the oldest deltas
// beyond the limits.
func appendDelta(kept []*delta, next *delta) []*delta {
	all := append(append(make([]*delta, 0, len(kept)+1), kept...), next)
	bytes := 0
	first := len(all)
	for first > 0 && len(all)-first < maxKeptDeltas {
		bytes += all[first-1].size()
		if bytes > maxKeptDeltaBytes {
			break
		}
		first--
	}
	return all[first:]
}

func (d *delta) size() int {
	size := 0
	for key, value := range d.changed {
		size += len(key) + len(value)
	}
	for _, key := range d.withdrawn {
		size += len(key)
	}
	return size
}

// deltasAfter returns the deltas after revision; complete is false if some are no longer kept.
func (d *document) deltasAfter(revision int64) (deltas []*delta, complete bool) {
	missing := d.revision - revision
	if missing < 0 || missing > int64(len(d.deltas)) {
		return nil, false
	}
	return d.deltas[int64(len(d.deltas))-missing:], true
}

// withStoreRevision returns the same configuration, known to be current at storeRevision.
func (d *document) withStoreRevision(storeRevision int64) *document {
	changed := *d
	changed.storeRevision = max(d.storeRevision, storeRevision)
	return &changed
}

package relay

import (
	"errors"
	"maps"

	"github.com/cespare/xxhash/v2"
)

// Bounds of the deltas that a node keeps for peers that are behind.
const (
	maxKeptDeltas     = 64
	maxKeptDeltaBytes = 256 << 10
)

// errDamaged is the error of a document whose content does not give the hash that came with it.
var errDamaged = errors.New("the document does not have the hash it was sent with")

// document is the whole configuration of one revision as stored. It is immutable.
type document struct {
	revision int64
	// storeRevision is a revision of the key-value service at which this document was the
	// present one; a watch goes on right behind it. 0 is not known.
	storeRevision int64
	// objects holds the stored declarations by key relative to config.KeyPrefix.
	objects map[string][]byte
	// hash is the sum of the objects' hashes.
	hash uint64
	// deltas are the last changes, contiguous up to revision.
	deltas []*delta
}

// delta turns the document of revision-1 into that of revision. It is immutable.
type delta struct {
	revision      int64
	storeRevision int64
	changed       map[string][]byte
	withdrawn     []string
	// hash is the document's after the change.
	hash uint64
}

func newDocument(revision, storeRevision int64, objects map[string][]byte) *document {
	made := &document{revision: revision, storeRevision: storeRevision, objects: objects}
	for key, value := range objects {
		made.hash += hashObject(key, value)
	}
	return made
}

// hashObject hashes key and value with a separator that no key contains.
func hashObject(key string, value []byte) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(key)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.Write(value)
	return digest.Sum64()
}

// apply returns the document after next, whose revision is d.revision+1. Its hash is
// computed from the content, not taken from next.
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
		deltas:        keepDeltas(d.deltas, next),
	}
}

// keepDeltas appends next to a copy and drops the oldest over the bounds.
func keepDeltas(kept []*delta, next *delta) []*delta {
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

// deltasAfter returns the deltas from revision on; complete is false where some are no longer kept.
func (d *document) deltasAfter(revision int64) (deltas []*delta, complete bool) {
	missing := d.revision - revision
	if missing < 0 || missing > int64(len(d.deltas)) {
		return nil, false
	}
	return d.deltas[int64(len(d.deltas))-missing:], true
}

// withStoreRevision returns the same configuration, known to be the present one at storeRevision.
func (d *document) withStoreRevision(storeRevision int64) *document {
	changed := *d
	changed.storeRevision = max(d.storeRevision, storeRevision)
	return &changed
}

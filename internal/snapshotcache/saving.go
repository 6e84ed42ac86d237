package snapshotcache

import (
	"cmp"
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	snapshotcachepb "github.com/sloelift/sloelift/api/proto/snapshotcache"
	"github.com/sloelift/sloelift/internal/logging"
	"github.com/sloelift/sloelift/internal/membership"
	"github.com/sloelift/sloelift/internal/pause"
)

const (
	// saveInterval bounds how often the file is written: each write is two syncs on the disk on which jobs are recorded, and during a
	// release the replicas change several times a second.
	saveInterval = time.Second
	// sourceDisk is the source of a copy from this node's own file.
	sourceDisk = "disk"
)

// machine is another node, or this one.
type machine struct {
	id      membership.NodeID
	address netip.AddrPort
	store   bool
}

// load takes in the file. Its copies are handed to nodes that ask, and taken into use where the service does not answer.
func (c *Cache) load() {
	saved, err := c.file.load()
	if err != nil {
		c.logger.Warn().Err(err).Msg("saved_copies_unusable")
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, message := range saved.GetCopies() {
		c.takeCopy(message, sourceDisk)
	}
	for _, named := range saved.GetMachines() {
		address, err := netip.ParseAddrPort(named.GetAddress())
		if err != nil {
			c.logger.Warn().Err(err).Str("machine", named.GetId()).Msg("saved_machine_unusable")
			continue
		}
		known := machine{id: membership.NodeID(named.GetId()), address: address, store: named.GetStore()}
		c.remembered = append(c.remembered, known)
	}
}

// keepSaved writes the file after changes, until ctx ends.
func (c *Cache) keepSaved(ctx context.Context) {
	last := uint64(0)
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.unsaved:
		}
		last = c.save(last)
		if !pause.Sleep(ctx, saveInterval) {
			return
		}
	}
}

// save writes the file unless its content is the one with the digest last. It returns the digest of what the file holds.
func (c *Cache) save(last uint64) uint64 {
	saved := c.saved()
	if len(saved.Copies) == 0 {
		return last
	}
	encoded, err := proto.MarshalOptions{Deterministic: true}.Marshal(saved)
	digest := xxhash.Sum64(encoded)
	if err == nil && digest == last {
		return last
	}
	if err == nil {
		err = c.file.save(encoded)
	}
	if err != nil {
		c.metrics.saves.WithLabelValues(saveFailed).Inc()
		c.logger.Warn().Err(err).Msg("copies_not_saved")
		return last
	}
	c.metrics.saves.WithLabelValues(saveDone).Inc()
	return digest
}

// saved is what the file is to hold.
func (c *Cache) saved() *snapshotcachepb.Saved {
	machines := c.machines()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	saved := &snapshotcachepb.Saved{}
	for prefix, held := range c.contents {
		if held.entries != nil {
			saved.Copies = append(saved.Copies, held.message(prefix))
		}
	}
	slices.SortFunc(saved.Copies, func(a, b *snapshotcachepb.Copy) int { return cmp.Compare(a.Prefix, b.Prefix) })
	for _, known := range machines {
		saved.Machines = append(saved.Machines, &snapshotcachepb.Machine{Id: string(known.id), Address: known.address.String(), Store: known.store})
	}
	return saved
}

// takeCopy takes in a copy from source where it is newer than what is known and the service has listed nothing yet. The mutex is held.
func (c *Cache) takeCopy(message *snapshotcachepb.Copy, source string) {
	held := c.contents[message.GetPrefix()]
	if held == nil || held.listed || message.GetRevision() <= held.revision {
		return
	}
	listing, takenAt, sound := decode(message)
	if !sound {
		c.logger.Warn().Str(logging.FieldPrefix, message.GetPrefix()).Int64(logging.FieldRevision, message.GetRevision()).Str("source", source).
			Msg("copy_unsound")
		return
	}
	held.replace(listing, takenAt, source)
}

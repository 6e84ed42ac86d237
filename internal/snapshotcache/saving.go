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
	// saveInterval is the minimum time between writes of the file. Each write takes two syncs on the disk that also stores the jobs, and
	// during a release the replicas change several times a second.
	saveInterval = time.Second
	// sourceDisk is the source of a copy from this node's own file.
	sourceDisk = "disk"
)

// machine is a node of the cluster; store is set if it has a data folder.
type machine struct {
	id      membership.NodeID
	address netip.AddrPort
	store   bool
}

// load reads the file. Its copies are served to other nodes, and used here if the service does not answer.
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
		c.savedMachines = append(c.savedMachines, known)
	}
}

// saveLoop writes the file after changes, until ctx ends.
func (c *Cache) saveLoop(ctx context.Context) {
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

// save writes the file unless the digest of its content is last. It returns the digest of the file's content.
func (c *Cache) save(last uint64) uint64 {
	saved := c.fileContent()
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

// fileContent returns the content to be written to the file.
func (c *Cache) fileContent() *snapshotcachepb.Saved {
	machines := c.machines()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	saved := &snapshotcachepb.Saved{}
	for prefix, cached := range c.contents {
		if cached.entries != nil {
			saved.Copies = append(saved.Copies, cached.message(prefix))
		}
	}
	slices.SortFunc(saved.Copies, func(a, b *snapshotcachepb.Copy) int { return cmp.Compare(a.Prefix, b.Prefix) })
	for _, node := range machines {
		saved.Machines = append(saved.Machines, &snapshotcachepb.Machine{
			Id: string(node.id), Address: node.address.String(), Store: node.store,
		})
	}
	return saved
}

// takeCopy stores a copy from source if it is newer than the cached content and the service has not listed the prefix yet. The mutex must be
// held.
func (c *Cache) takeCopy(message *snapshotcachepb.Copy, source string) {
	cached := c.contents[message.GetPrefix()]
	if cached == nil || cached.listed || message.GetRevision() <= cached.revision {
		return
	}
	listing, takenAt, valid := decode(message)
	if !valid {
		c.logger.Warn().Str(logging.FieldPrefix, message.GetPrefix()).Int64(logging.FieldRevision, message.GetRevision()).Str("source", source).
			Msg("copy_unsound")
		return
	}
	cached.replace(listing, takenAt, source)
}

package ledger

import (
	"context"
	"fmt"
	"strings"
	"sync"

	"github.com/oklog/ulid/v2"
	"google.golang.org/protobuf/proto"

	ledgerpb "github.com/sloelift/sloelift/api/proto/ledger"
	"github.com/sloelift/sloelift/internal/ledger/protocol"
	"github.com/sloelift/sloelift/internal/ledger/wire"
	"github.com/sloelift/sloelift/internal/platform"
)

// Keys of the key-value service.
const (
	keyPrefix         = "/sloelift/ledger/"
	headKey           = keyPrefix + "head"
	ensemblePrefix    = keyPrefix + "ensembles/"
	changesPerRequest = 32
)

func ensembleKey(partition PartitionID) string {
	return fmt.Sprintf("%s%05d", ensemblePrefix, partition)
}

// head holds the ledger's parameters that are fixed when it is first formed.
type head struct {
	partitions, replicas, writeQuorum int
}

// directory holds the head and the newest ensembles that this node has learned from the
// key-value service, from stores or from other nodes. Newer versions replace older ones from any source, so
// it stays usable during an outage of the service. It is safe for concurrent use.
type directory struct {
	keyValue platform.KeyValue

	// mutex guards the fields below.
	mutex     sync.RWMutex
	head      head
	ensembles map[PartitionID]protocol.Ensemble
	// published holds, by partition, the ensemble version that the key-value service is known to have.
	published map[PartitionID]uint64
}

func newDirectory(keyValue platform.KeyValue) *directory {
	return &directory{keyValue: keyValue, ensembles: map[PartitionID]protocol.Ensemble{}, published: map[PartitionID]uint64{}}
}

// fixed returns the head; ok is false while it is unknown.
func (d *directory) fixed() (known head, ok bool) {
	d.mutex.RLock()
	defer d.mutex.RUnlock()
	return d.head, d.head.partitions > 0
}

// ensemble returns the newest known ensemble.
func (d *directory) ensemble(partition PartitionID) (protocol.Ensemble, bool) {
	d.mutex.RLock()
	defer d.mutex.RUnlock()
	ensemble, known := d.ensembles[partition]
	return ensemble, known
}

// all returns every known ensemble.
func (d *directory) all() []protocol.Ensemble {
	d.mutex.RLock()
	defer d.mutex.RUnlock()
	ensembles := make([]protocol.Ensemble, 0, len(d.ensembles))
	for _, ensemble := range d.ensembles {
		ensembles = append(ensembles, ensemble)
	}
	return ensembles
}

// complete reports whether the head and the ensembles of all its partitions are known.
func (d *directory) complete() bool {
	d.mutex.RLock()
	defer d.mutex.RUnlock()
	if d.head.partitions == 0 {
		return false
	}
	headEnsembles := len(d.ensembles)
	for partition := range d.ensembles {
		if IsConfined(partition) {
			headEnsembles--
		}
	}
	return headEnsembles >= d.head.partitions
}

// confined returns the known partitions that are confined to regions.
func (d *directory) confined() []PartitionID {
	d.mutex.RLock()
	defer d.mutex.RUnlock()
	var found []PartitionID
	for partition := range d.ensembles {
		if IsConfined(partition) {
			found = append(found, partition)
		}
	}
	return found
}

// learn records an ensemble if it is newer than the known one.
func (d *directory) learn(ensemble protocol.Ensemble) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if ensemble.Version > d.ensembles[ensemble.Partition].Version {
		d.ensembles[ensemble.Partition] = ensemble
	}
}

func (d *directory) learnHead(message *ledgerpb.Head) {
	if message.GetPartitions() == 0 {
		return
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.head = head{partitions: int(message.Partitions), replicas: int(message.Replicas), writeQuorum: int(message.WriteQuorum)}
}

// export returns the head and all known ensembles, for another node.
func (d *directory) export() *ledgerpb.EnsemblesResponse {
	d.mutex.RLock()
	defer d.mutex.RUnlock()
	response := &ledgerpb.EnsemblesResponse{Head: &ledgerpb.Head{
		Partitions: uint32(d.head.partitions), Replicas: uint32(d.head.replicas), WriteQuorum: uint32(d.head.writeQuorum),
	}}
	for _, ensemble := range d.ensembles {
		response.Ensembles = append(response.Ensembles, wire.FromEnsemble(ensemble))
	}
	return response
}

// load reads the head and all ensembles from the key-value service.
func (d *directory) load(ctx context.Context) error {
	listing, err := d.keyValue.List(ctx, keyPrefix)
	if err != nil {
		return err
	}
	for _, entry := range listing.Entries {
		if err := d.applyEntry(entry); err != nil {
			return err
		}
	}
	return nil
}

func (d *directory) applyEntry(entry platform.Entry) error {
	if entry.Key == headKey {
		var message ledgerpb.Head
		if err := proto.Unmarshal(entry.Value, &message); err != nil {
			return fmt.Errorf("decode %s: %w", entry.Key, err)
		}
		d.learnHead(&message)
		return nil
	}
	if !strings.HasPrefix(entry.Key, ensemblePrefix) {
		return nil
	}
	var message ledgerpb.Ensemble
	if err := proto.Unmarshal(entry.Value, &message); err != nil {
		return fmt.Errorf("decode %s: %w", entry.Key, err)
	}
	ensemble := wire.ToEnsemble(&message)
	d.learn(ensemble)
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.published[ensemble.Partition] = max(d.published[ensemble.Partition], ensemble.Version)
	return nil
}

// publishedVersion returns the version that the key-value service is known to have.
func (d *directory) publishedVersion(partition PartitionID) uint64 {
	d.mutex.RLock()
	defer d.mutex.RUnlock()
	return d.published[partition]
}

// publish writes a decided ensemble to the key-value service unless a newer one is there.
func (d *directory) publish(ctx context.Context, ensemble protocol.Ensemble) error {
	key := ensembleKey(ensemble.Partition)
	before, err := d.keyValue.Get(ctx, key)
	if err != nil {
		return err
	}
	if err := d.applyEntry(before); err != nil || d.publishedVersion(ensemble.Partition) >= ensemble.Version {
		return err
	}
	value, err := proto.Marshal(wire.FromEnsemble(ensemble))
	if err != nil {
		return err
	}
	committed, err := d.keyValue.Commit(ctx, platform.Transaction{
		Conditions: []platform.Condition{{Key: key, ModRevision: before.ModRevision}},
		Changes:    []platform.Change{{Key: key, Value: value}},
	})
	if err != nil || !committed.Committed {
		return err
	}
	return d.applyEntry(platform.Entry{Key: key, Value: value})
}

// createHead writes the head unless one exists, and reads the directory back.
func (d *directory) createHead(ctx context.Context, wanted head) error {
	value, err := proto.Marshal(&ledgerpb.Head{
		Partitions: uint32(wanted.partitions), Replicas: uint32(wanted.replicas), WriteQuorum: uint32(wanted.writeQuorum),
	})
	if err != nil {
		return err
	}
	_, err = d.keyValue.Commit(ctx, platform.Transaction{
		Conditions: []platform.Condition{{Key: headKey}}, Changes: []platform.Change{{Key: headKey, Value: value}},
	})
	if err != nil {
		return err
	}
	return d.load(ctx)
}

// createEnsembles writes the first versions of ensembles, changesPerRequest at a time, unless they exist, and reads the
// directory back.
func (d *directory) createEnsembles(ctx context.Context, ensembles []protocol.Ensemble) error {
	for len(ensembles) > 0 {
		part := ensembles[:min(changesPerRequest, len(ensembles))]
		ensembles = ensembles[len(part):]
		var transaction platform.Transaction
		for _, ensemble := range part {
			ensemble.WriteID = ulid.Make().String()
			value, err := proto.Marshal(wire.FromEnsemble(ensemble))
			if err != nil {
				return err
			}
			key := ensembleKey(ensemble.Partition)
			transaction.Conditions = append(transaction.Conditions, platform.Condition{Key: key})
			transaction.Changes = append(transaction.Changes, platform.Change{Key: key, Value: value})
		}
		if _, err := d.keyValue.Commit(ctx, transaction); err != nil {
			return err
		}
	}
	return d.load(ctx)
}

// change makes next the ensemble if its predecessor is still current. It reports whether the change took effect, which it
// determines by reading back the write ID, so a lost answer is harmless. The current ensemble is learned in any case.
func (d *directory) change(ctx context.Context, next protocol.Ensemble) (bool, error) {
	key := ensembleKey(next.Partition)
	next.WriteID = ulid.Make().String()
	before, err := d.keyValue.Get(ctx, key)
	if err != nil {
		return false, err
	}
	if err := d.applyEntry(before); err != nil {
		return false, err
	}
	if known, _ := d.ensemble(next.Partition); known.Version != next.Version-1 {
		return false, nil
	}
	value, err := proto.Marshal(wire.FromEnsemble(next))
	if err != nil {
		return false, err
	}
	_, commitErr := d.keyValue.Commit(ctx, platform.Transaction{
		Conditions: []platform.Condition{{Key: key, ModRevision: before.ModRevision}},
		Changes:    []platform.Change{{Key: key, Value: value}},
	})
	after, err := d.keyValue.Get(ctx, key)
	if err != nil {
		return false, err
	}
	if err := d.applyEntry(after); err != nil {
		return false, err
	}
	known, _ := d.ensemble(next.Partition)
	if known.WriteID == next.WriteID {
		return true, nil
	}
	return false, commitErr
}

package job

import (
	"github.com/puzpuzpuz/xsync/v4"
	"github.com/rs/zerolog"

	"github.com/sloelift/sloelift/internal/ledger"
)

// registry holds the partitions that this node owns. It is safe for concurrent use.
type registry struct {
	dispatcher *dispatcher
	logger     zerolog.Logger
	partitions *xsync.Map[ledger.PartitionID, *partition]
}

func newRegistry(dispatcher *dispatcher, logger zerolog.Logger) *registry {
	return &registry{
		dispatcher: dispatcher, logger: logger,
		partitions: xsync.NewMap[ledger.PartitionID, *partition](),
	}
}

// factory is the ledger.Factory.
func (r *registry) factory(id ledger.PartitionID) ledger.StateMachine {
	return newPartition(id, r.dispatcher, r, r.logger)
}

// find returns the partition if this node owns it; the error is NotRun/not_owner.
func (r *registry) find(id uint32) (*partition, error) {
	found, owned := r.partitions.Load(ledger.PartitionID(id))
	if !owned {
		return nil, errNotOwner()
	}
	return found, nil
}

func (r *registry) add(served *partition) { r.partitions.Store(served.id, served) }

// remove forgets a partition unless a later ownership has taken its place.
func (r *registry) remove(lost *partition) {
	r.partitions.Compute(lost.id, func(present *partition, loaded bool) (*partition, xsync.ComputeOp) {
		if loaded && present == lost {
			return nil, xsync.DeleteOp
		}
		return present, xsync.CancelOp
	})
}

// stop stops all partitions.
func (r *registry) stop() {
	var owned []*partition
	r.partitions.Range(func(_ ledger.PartitionID, present *partition) bool {
		owned = append(owned, present)
		return true
	})
	for _, present := range owned {
		present.Stop()
	}
}

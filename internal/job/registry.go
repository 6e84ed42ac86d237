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

// factory implements ledger.Factory.
func (r *registry) factory(id ledger.PartitionID) ledger.StateMachine {
	return newPartition(id, r.dispatcher, r, r.logger)
}

// find returns the partition if this node owns it, else the error NotRun/not_owner.
func (r *registry) find(id uint32) (*partition, error) {
	found, owned := r.partitions.Load(ledger.PartitionID(id))
	if !owned {
		return nil, errNotOwner()
	}
	return found, nil
}

func (r *registry) add(served *partition) { r.partitions.Store(served.id, served) }

// remove removes a partition unless a later ownership of it has been added since.
func (r *registry) remove(lost *partition) {
	r.partitions.Compute(lost.id, func(current *partition, loaded bool) (*partition, xsync.ComputeOp) {
		if loaded && current == lost {
			return nil, xsync.DeleteOp
		}
		return current, xsync.CancelOp
	})
}

// stop stops all partitions and waits for their goroutines.
func (r *registry) stop() {
	var owned []*partition
	r.partitions.Range(func(_ ledger.PartitionID, registered *partition) bool {
		owned = append(owned, registered)
		return true
	})
	for _, served := range owned {
		served.Stop()
	}
}

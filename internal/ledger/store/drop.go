package store

import (
	"context"
	"errors"
	"math"

	"github.com/cockroachdb/pebble/v2"

	"github.com/sloelift/sloelift/internal/ledger/protocol"
)

// Drop removes the partitions for which a newer ensemble is given that does not have this store as a member. It
// returns the number of removed partitions.
func (s *Store) Drop(ctx context.Context, ensembles []protocol.Ensemble) (int, error) {
	return run(ctx, s, 0, func(batch *pebble.Batch) (int, error) {
		dropped := 0
		for _, ensemble := range ensembles {
			state, present := s.states[ensemble.Partition]
			if !present {
				continue
			}
			effect := state.Drop(s.id, ensemble)
			if !effect.Changed {
				continue
			}
			dropped++
			delete(s.staging, ensemble.Partition)
			snapshots := batch.DeleteRange(snapshotKey(ensemble.Partition, 0, 0), snapshotEnd(ensemble.Partition, math.MaxUint64), nil)
			if err := errors.Join(snapshots, s.apply(batch, ensemble.Partition, effect)); err != nil {
				return dropped, err
			}
		}
		return dropped, nil
	})
}

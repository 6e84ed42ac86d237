package placement

import (
	"context"
	"encoding/json"

	"github.com/oklog/ulid/v2"

	"github.com/sloelift/sloelift/internal/platform"
)

// fencePrefix is where the fence tokens of services are kept.
const fencePrefix = "/sloelift/placement/fence/"

// fenceRecord is the value of a service's fence key.
type fenceRecord struct {
	Token   uint64 `json:"token"`
	Orderer string `json:"orderer"`
	// Revision is the highest configuration revision that was ordered by; an orderer that
	// has not heard of it yet gets no token, so that a rollout never goes back.
	Revision int64 `json:"revision"`
	// WriteID settles a lost answer.
	WriteID string `json:"write_id"`
}

// raiseFence takes a token above atLeast and above any that was ever given out.
func raiseFence(ctx context.Context, store platform.KeyValue, orderer string, wanted takeFence) (uint64, error) {
	key := fencePrefix + wanted.service
	entry, err := store.Get(ctx, key)
	if err != nil {
		return 0, err
	}
	var present fenceRecord
	if entry.ModRevision != 0 {
		if err := json.Unmarshal(entry.Value, &present); err != nil {
			return 0, platform.KindRefused.Wrap(err, "fence record of %s", wanted.service)
		}
	}
	if present.Revision > wanted.revision {
		return 0, platform.KindRefused.New("revision %d was ordered by, %d is known here", present.Revision, wanted.revision)
	}
	next := fenceRecord{
		Token: max(present.Token, wanted.atLeast) + 1, Orderer: orderer, Revision: wanted.revision, WriteID: ulid.Make().String(),
	}
	value, err := json.Marshal(next)
	if err != nil {
		return 0, err
	}
	result, err := platform.CommitSettled(ctx, store, platform.Transaction{
		Conditions: []platform.Condition{{Key: key, ModRevision: entry.ModRevision}},
		Changes:    []platform.Change{{Key: key, Value: value}},
	}, platform.WriteMark{Key: key, ID: next.WriteID})
	if err != nil {
		return 0, err
	}
	if !result.Committed {
		return 0, platform.KindRefused.New("another orderer took the fence of %s", wanted.service)
	}
	return next.Token, nil
}

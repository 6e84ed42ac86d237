package placement

import (
	"context"
	"encoding/json"

	"github.com/oklog/ulid/v2"

	"github.com/sloelift/sloelift/internal/platform"
)

// fencePrefix is the key prefix of the services' fence records in the key-value service.
const fencePrefix = "/sloelift/placement/fence/"

// fenceRecord is the value of a service's fence key.
type fenceRecord struct {
	Token   uint64 `json:"token"`
	Orderer string `json:"orderer"`
	// Revision is the highest configuration revision for which a token was taken. An orderer that only knows an older one gets no
	// token, so that a rollout never goes back.
	Revision int64 `json:"revision"`
	// WriteID identifies the write, so that its outcome can be determined if the answer is lost.
	WriteID string `json:"write_id"`
}

// raiseFence takes a fencing token above atLeast and above all tokens taken before.
func raiseFence(ctx context.Context, store platform.KeyValue, orderer string, request takeFence) (uint64, error) {
	key := fencePrefix + request.service
	entry, err := store.Get(ctx, key)
	if err != nil {
		return 0, err
	}
	var current fenceRecord
	if entry.ModRevision != 0 {
		if err := json.Unmarshal(entry.Value, &current); err != nil {
			return 0, platform.KindRefused.Wrap(err, "decode fence record of service %s", request.service)
		}
	}
	if current.Revision > request.revision {
		return 0, platform.KindRefused.New("revision %d was ordered by, %d is known here", current.Revision, request.revision)
	}
	next := fenceRecord{
		Token: max(current.Token, request.atLeast) + 1, Orderer: orderer, Revision: request.revision, WriteID: ulid.Make().String(),
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
		return 0, platform.KindRefused.New("another orderer took the fencing token of service %s", request.service)
	}
	return next.Token, nil
}

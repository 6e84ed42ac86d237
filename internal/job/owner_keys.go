package job

import (
	"context"
	"slices"
	"time"

	jobpb "github.com/sloelift/sloelift/api/proto/job"
	"github.com/sloelift/sloelift/internal/ledger"
	"github.com/sloelift/sloelift/internal/outcome"
)

// awaitHold is how long the owner delays the response to an await while there is no
// result (long polling).
const awaitHold = 8 * time.Second

// claimKey records the claim unless the key has one already, and returns the claim in
// force. A different fingerprint is a conflict.
func (p *partition) claimKey(ctx context.Context, request *jobpb.ClaimRequest) (*jobpb.ClaimResponse, error) {
	claim := request.GetClaim()
	name := idempotencyKey(claim.GetTenant(), claim.GetKey())
	existing, err := p.findKey(ctx, name)
	if err != nil {
		return nil, err
	}
	if existing == nil || existing.movedBy(claim) {
		claim.RecordedAtMicros = micros(time.Now())
		if err := p.propose(ctx, encodeRecord(ledger.KindKeyClaimed, claim)); err != nil {
			return nil, err
		}
		if existing, err = p.findKey(ctx, name); err != nil {
			return nil, err
		}
	}
	if existing == nil {
		return nil, outcome.New(outcome.NotRun, outcome.ReasonUnavailable, "the key was forgotten meanwhile")
	}
	if existing.claimed.GetFingerprint() != claim.GetFingerprint() {
		return nil, outcome.New(outcome.NotRun, outcome.ReasonConflict, "the key stands for a request of other content")
	}
	response, err := p.claimResponse(ctx, existing)
	if err != nil {
		return nil, err
	}
	response.Granted = response.Result == nil && existing.claimed.GetRequestId() == claim.GetRequestId()
	return response, nil
}

// movedBy reports whether claim moves the key to another replica under the same request id.
func (k *keyState) movedBy(claim *jobpb.KeyClaimed) bool {
	return k.result == 0 && k.claimed.GetRequestId() == claim.GetRequestId() && k.claimed.GetReplica() != claim.GetReplica()
}

// findKey returns a copy of the state of a key, nil if the key is unknown.
func (p *partition) findKey(ctx context.Context, name string) (*keyState, error) {
	var found *keyState
	err := p.query(ctx, func(state *partitionState) {
		if current := state.keys[name]; current != nil {
			copied := *current
			found = &copied
		}
	})
	return found, err
}

// claimResponse returns the claim of a key, with its result if it has one.
func (p *partition) claimResponse(ctx context.Context, key *keyState) (*jobpb.ClaimResponse, error) {
	response := &jobpb.ClaimResponse{RequestId: key.claimed.GetRequestId(), Replica: key.claimed.GetReplica()}
	if key.result == 0 {
		return response, nil
	}
	records, err := p.owned.Read(ctx, key.result, 1)
	if err != nil {
		return nil, outcome.Wrap(err, outcome.NotRun, outcome.ReasonUnavailable, "the key's result was not read")
	}
	completed, err := decodeAs[*jobpb.KeyCompleted](records, key.result)
	if err != nil {
		return nil, outcome.Wrap(err, outcome.NotRun, outcome.ReasonInternal, "the key's result was not read")
	}
	response.Result = completed.GetResult()
	return response, nil
}

// completeKey records the result of a key unless it has one. It returns the result in
// force, which is the first one.
func (p *partition) completeKey(ctx context.Context, request *jobpb.CompleteKeyRequest) (*jobpb.ClaimResponse, error) {
	completed := request.GetCompleted()
	name := idempotencyKey(completed.GetTenant(), completed.GetKey())
	existing, err := p.findKey(ctx, name)
	if err != nil {
		return nil, err
	}
	if existing == nil {
		return nil, p.notFound(ctx, completed.GetKey())
	}
	if existing.result == 0 {
		completed.RecordedAtMicros = micros(time.Now())
		if err := p.propose(ctx, encodeRecord(ledger.KindKeyCompleted, completed)); err != nil {
			return nil, err
		}
		if existing, err = p.findKey(ctx, name); err != nil {
			return nil, err
		}
	}
	if existing == nil {
		return nil, p.notFound(ctx, completed.GetKey())
	}
	return p.claimResponse(ctx, existing)
}

// awaitKey returns the claim of a key once it has its result, or without one after
// awaitHold.
func (p *partition) awaitKey(ctx context.Context, request *jobpb.AwaitKeyRequest) (*jobpb.ClaimResponse, error) {
	name := idempotencyKey(request.GetTenant(), request.GetKey())
	waiter := make(chan struct{})
	var existing *keyState
	err := p.query(ctx, func(state *partitionState) {
		found := state.keys[name]
		if found == nil {
			return
		}
		copied := *found
		existing = &copied
		if found.result == 0 {
			p.keyWaiters[name] = append(p.keyWaiters[name], waiter)
		}
	})
	if err != nil {
		return nil, err
	}
	if existing == nil {
		return nil, p.notFound(ctx, request.GetKey())
	}
	if existing.result != 0 {
		return p.claimResponse(ctx, existing)
	}
	holdTimer := time.NewTimer(awaitHold)
	defer holdTimer.Stop()
	select {
	case <-waiter:
	case <-holdTimer.C:
		p.removeWaiter(ctx, name, waiter)
	case <-p.stopped:
		return nil, errNotOwner()
	case <-ctx.Done():
		p.removeWaiter(context.WithoutCancel(ctx), name, waiter)
		return nil, contextError(ctx, outcome.NotRun)
	}
	if existing, err = p.findKey(ctx, name); err != nil {
		return nil, err
	}
	if existing == nil {
		return nil, p.notFound(ctx, request.GetKey())
	}
	return p.claimResponse(ctx, existing)
}

func (p *partition) removeWaiter(ctx context.Context, name string, waiter chan struct{}) {
	_ = p.send(ctx, func(*partitionState) {
		rest := slices.DeleteFunc(p.keyWaiters[name], func(other chan struct{}) bool { return other == waiter })
		if len(rest) == 0 {
			delete(p.keyWaiters, name)
			return
		}
		p.keyWaiters[name] = rest
	})
}

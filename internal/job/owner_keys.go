package job

import (
	"context"
	"slices"
	"time"

	jobpb "github.com/sloelift/sloelift/api/proto/job"
	"github.com/sloelift/sloelift/internal/ledger"
	"github.com/sloelift/sloelift/internal/outcome"
)

// awaitHold is how long the owner holds the answer to an await.
const awaitHold = 8 * time.Second

// claimKey records the claim unless the key has one, and tells whose it is.
func (p *partition) claimKey(ctx context.Context, request *jobpb.ClaimRequest) (*jobpb.ClaimResponse, error) {
	claim := request.GetClaim()
	name := idempotencyKey(claim.GetTenant(), claim.GetKey())
	present, err := p.key(ctx, name)
	if err != nil {
		return nil, err
	}
	if present == nil || present.movesTo(claim) {
		claim.RecordedAtMicros = micros(time.Now())
		if err := p.propose(ctx, encodeRecord(ledger.KindKeyClaimed, claim)); err != nil {
			return nil, err
		}
		if present, err = p.key(ctx, name); err != nil {
			return nil, err
		}
	}
	if present == nil {
		return nil, outcome.New(outcome.NotRun, outcome.ReasonUnavailable, "the key was forgotten meanwhile")
	}
	if present.claimed.GetFingerprint() != claim.GetFingerprint() {
		return nil, outcome.New(outcome.NotRun, outcome.ReasonConflict, "the key stands for a request of other content")
	}
	response, err := p.claimResponse(ctx, present)
	if err != nil {
		return nil, err
	}
	response.Granted = response.Result == nil && present.claimed.GetRequestId() == claim.GetRequestId()
	return response, nil
}

// movesTo tells whether claim is the holder's own, for another replica.
func (k *keyState) movesTo(claim *jobpb.KeyClaimed) bool {
	return k.result == 0 && k.claimed.GetRequestId() == claim.GetRequestId() && k.claimed.GetReplica() != claim.GetReplica()
}

// key returns a copy of the state of a key, nil where it has none.
func (p *partition) key(ctx context.Context, name string) (*keyState, error) {
	var found *keyState
	err := p.query(ctx, func(state *partitionState) {
		if present := state.keys[name]; present != nil {
			copied := *present
			found = &copied
		}
	})
	return found, err
}

// claimResponse tells the state of a key, with its result if it has one.
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

// completeKey records the result; the first one stands and is returned.
func (p *partition) completeKey(ctx context.Context, request *jobpb.CompleteKeyRequest) (*jobpb.ClaimResponse, error) {
	completed := request.GetCompleted()
	name := idempotencyKey(completed.GetTenant(), completed.GetKey())
	present, err := p.key(ctx, name)
	if err != nil {
		return nil, err
	}
	if present == nil {
		return nil, p.notFound(ctx, completed.GetKey())
	}
	if present.result == 0 {
		completed.RecordedAtMicros = micros(time.Now())
		if err := p.propose(ctx, encodeRecord(ledger.KindKeyCompleted, completed)); err != nil {
			return nil, err
		}
		if present, err = p.key(ctx, name); err != nil {
			return nil, err
		}
	}
	if present == nil {
		return nil, p.notFound(ctx, completed.GetKey())
	}
	return p.claimResponse(ctx, present)
}

// awaitKey returns the state of a key once it has its result, or after a hold.
func (p *partition) awaitKey(ctx context.Context, request *jobpb.AwaitKeyRequest) (*jobpb.ClaimResponse, error) {
	name := idempotencyKey(request.GetTenant(), request.GetKey())
	waiter := make(chan struct{})
	var present *keyState
	err := p.query(ctx, func(state *partitionState) {
		found := state.keys[name]
		if found == nil {
			return
		}
		copied := *found
		present = &copied
		if found.result == 0 {
			p.keyWaiters[name] = append(p.keyWaiters[name], waiter)
		}
	})
	if err != nil {
		return nil, err
	}
	if present == nil {
		return nil, p.notFound(ctx, request.GetKey())
	}
	if present.result != 0 {
		return p.claimResponse(ctx, present)
	}
	hold := time.NewTimer(awaitHold)
	defer hold.Stop()
	select {
	case <-waiter:
	case <-hold.C:
		p.dropWaiter(ctx, name, waiter)
	case <-p.stopped:
		return nil, errNotOwner()
	case <-ctx.Done():
		p.dropWaiter(context.WithoutCancel(ctx), name, waiter)
		return nil, contextError(ctx, outcome.NotRun)
	}
	if present, err = p.key(ctx, name); err != nil {
		return nil, err
	}
	if present == nil {
		return nil, p.notFound(ctx, request.GetKey())
	}
	return p.claimResponse(ctx, present)
}

func (p *partition) dropWaiter(ctx context.Context, name string, waiter chan struct{}) {
	_ = p.send(ctx, func(*partitionState) {
		rest := slices.DeleteFunc(p.keyWaiters[name], func(other chan struct{}) bool { return other == waiter })
		if len(rest) == 0 {
			delete(p.keyWaiters, name)
			return
		}
		p.keyWaiters[name] = rest
	})
}

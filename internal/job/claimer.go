package job

import (
	"context"

	jobpb "github.com/sloelift/sloelift/api/proto/job"
	"github.com/sloelift/sloelift/internal/engine"
	"github.com/sloelift/sloelift/internal/outcome"
	"github.com/sloelift/sloelift/internal/session"
)

// claimer implements session.Claimer by forwarding to the partition of the key.
type claimer struct {
	forwarder *forwarder
}

// Claim implements session.Claimer. The holder may claim again with the same request id
// to name another replica, after the previous one refused the request.
func (c *claimer) Claim(ctx context.Context, tenant, key, fingerprint, requestID, replica string) (session.Claim, error) {
	if key == "" || !validUTF8(tenant, key, fingerprint, requestID, replica) {
		return session.Claim{}, outcome.New(outcome.NotRun, outcome.ReasonInvalid, "idempotency key")
	}
	response, err := forward(ctx, c.forwarder, methodClaimKey, &jobpb.ClaimRequest{
		Partition: c.partitionOf(tenant, key),
		Claim: &jobpb.KeyClaimed{
			Tenant: tenant, Key: key, Fingerprint: fingerprint, RequestId: requestID, Replica: replica,
		},
	})
	return claimFromProto(response), err
}

// Complete implements session.Claimer.
func (c *claimer) Complete(ctx context.Context, tenant, key string, result session.Result) (session.Result, error) {
	response, err := forward(ctx, c.forwarder, methodCompleteKey, &jobpb.CompleteKeyRequest{
		Partition: c.partitionOf(tenant, key),
		Completed: &jobpb.KeyCompleted{Tenant: tenant, Key: key, Result: &jobpb.KeyResult{
			Outcome: result.Outcome, Text: result.Text, Finish: result.Finish,
			PromptTokens: int64(result.Usage.PromptTokens), CompletionTokens: int64(result.Usage.CompletionTokens),
			CachedTokens: int64(result.Usage.CachedTokens),
		}},
	})
	return claimFromProto(response).Result, err
}

// Await implements session.Claimer. It retries until ctx ends while the partition has
// no owner.
func (c *claimer) Await(ctx context.Context, tenant, key string) (session.Claim, error) {
	for {
		response, err := forward(ctx, c.forwarder, methodAwaitKey,
			&jobpb.AwaitKeyRequest{Partition: c.partitionOf(tenant, key), Tenant: tenant, Key: key})
		claim := claimFromProto(response)
		unavailable := err != nil && outcome.As(err).Reason == outcome.ReasonUnavailable && ctx.Err() == nil
		if claim.Done || err != nil && !unavailable {
			return claim, err
		}
	}
}

func (c *claimer) partitionOf(tenant, key string) uint32 {
	return uint32(c.forwarder.locator.PartitionOf(idempotencyKey(tenant, key)))
}

func claimFromProto(response *jobpb.ClaimResponse) session.Claim {
	claim := session.Claim{
		Granted: response.GetGranted(), RequestID: response.GetRequestId(), Replica: response.GetReplica(),
	}
	result := response.GetResult()
	if result == nil {
		return claim
	}
	claim.Done = true
	claim.Result = session.Result{
		Outcome: result.GetOutcome(), Text: result.GetText(), Finish: result.GetFinish(),
		Usage: engine.Usage{
			PromptTokens: int(result.GetPromptTokens()), CompletionTokens: int(result.GetCompletionTokens()),
			CachedTokens: int(result.GetCachedTokens()),
		},
	}
	return claim
}

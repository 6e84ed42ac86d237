package platform

import (
	"context"
	"net/netip"
	"time"

	"github.com/sloelift/sloelift/internal/network"
	"github.com/sloelift/sloelift/internal/platform/etcdjson"
)

// callTimeout bounds a call whose caller set no deadline.
const callTimeout = 5 * time.Second

// KeyValueHTTP is the adapter of KeyValue to the etcd v3 JSON gateway.
type KeyValueHTTP struct {
	caller  *httpCaller
	limiter *callLimiter
}

var _ KeyValue = (*KeyValueHTTP)(nil)

// NewKeyValueHTTP returns an adapter that tries addresses in turn and makes at
// most requestsPerSecond calls per second (0: no limit). It connects on first use.
func NewKeyValueHTTP(
	dialer network.Network, addresses []netip.AddrPort, requestsPerSecond float64,
) *KeyValueHTTP {
	return &KeyValueHTTP{caller: newHTTPCaller(dialer, addresses), limiter: newCallLimiter(requestsPerSecond)}
}

// Close closes idle connections.
func (k *KeyValueHTTP) Close() { k.caller.close() }

// request is one call; purpose is its rate-limit bucket, kind whether it may have side effects.
type request struct {
	path    string
	purpose string
	kind    effect
	body    any
}

// call makes one call within the rate limit and callTimeout.
func (k *KeyValueHTTP) call(ctx context.Context, spec request, response any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := k.limiter.wait(ctx, spec.purpose); err != nil {
		return err
	}
	return k.caller.post(ctx, spec.path, spec.kind, spec.body, response)
}

// Get reads one key.
func (k *KeyValueHTTP) Get(ctx context.Context, key string) (Entry, error) {
	var response etcdjson.RangeResponse
	err := k.call(ctx, request{
		path: etcdjson.PathRange, purpose: purposeOf(key), kind: readsOnly, body: etcdjson.RangeRequest{Key: []byte(key)},
	}, &response)
	if err != nil {
		return Entry{}, err
	}
	if len(response.KeyValues) == 0 {
		return Entry{Key: key}, nil
	}
	return entryOf(response.KeyValues[0]), nil
}

// List reads all keys below prefix.
func (k *KeyValueHTTP) List(ctx context.Context, prefix string) (Listing, error) {
	var response etcdjson.RangeResponse
	err := k.call(ctx, request{
		path: etcdjson.PathRange, purpose: purposeOf(prefix), kind: readsOnly,
		body: etcdjson.RangeRequest{Key: []byte(prefix), RangeEnd: etcdjson.PrefixEnd(prefix)},
	}, &response)
	if err != nil {
		return Listing{}, err
	}
	return Listing{Entries: entriesOf(response.KeyValues), Revision: response.Header.Revision}, nil
}

// Commit executes one transaction.
func (k *KeyValueHTTP) Commit(ctx context.Context, transaction Transaction) (CommitResult, error) {
	var response etcdjson.TxnResponse
	err := k.call(ctx, request{
		path: etcdjson.PathTxn, purpose: transactionPurpose(transaction), kind: changes, body: transactionRequest(transaction),
	}, &response)
	if err != nil {
		return CommitResult{}, err
	}
	result := CommitResult{Committed: response.Succeeded, Revision: response.Header.Revision}
	if response.Succeeded {
		return result, nil
	}
	for index, condition := range transaction.Conditions {
		current := Entry{Key: condition.Key}
		if index < len(response.Responses) {
			found := response.Responses[index].Range
			if found != nil && len(found.KeyValues) > 0 {
				current = entryOf(found.KeyValues[0])
			}
		}
		result.Current = append(result.Current, current)
	}
	return result, nil
}

// transactionPurpose returns the purpose of the first key; all keys of a transaction belong to one slice.
func transactionPurpose(transaction Transaction) string {
	switch {
	case len(transaction.Conditions) > 0:
		return purposeOf(transaction.Conditions[0].Key)
	case len(transaction.Changes) > 0:
		return purposeOf(transaction.Changes[0].Key)
	default:
		return ""
	}
}

func transactionRequest(transaction Transaction) etcdjson.TxnRequest {
	var result etcdjson.TxnRequest
	for _, condition := range transaction.Conditions {
		result.Compare = append(result.Compare, etcdjson.Compare{
			Key:         []byte(condition.Key),
			Target:      etcdjson.TargetMod,
			Result:      etcdjson.ResultEqual,
			ModRevision: condition.ModRevision,
		})
		result.Failure = append(result.Failure, etcdjson.RequestOperation{
			Range: &etcdjson.RangeRequest{Key: []byte(condition.Key)},
		})
	}
	for _, change := range transaction.Changes {
		result.Success = append(result.Success, changeOperation(change))
	}
	return result
}

func changeOperation(change Change) etcdjson.RequestOperation {
	if change.Delete {
		return etcdjson.RequestOperation{DeleteRange: &etcdjson.DeleteRangeRequest{Key: []byte(change.Key)}}
	}
	return etcdjson.RequestOperation{Put: &etcdjson.PutRequest{
		Key: []byte(change.Key), Value: change.Value, Lease: int64(change.LeaseID),
	}}
}

// callLease makes a call that names no key.
func (k *KeyValueHTTP) callLease(ctx context.Context, path string, kind effect, body, response any) error {
	return k.call(ctx, request{path: path, purpose: purposeLeases, kind: kind, body: body}, response)
}

// GrantLease creates a lease; timeToLive is rounded up to whole seconds.
func (k *KeyValueHTTP) GrantLease(ctx context.Context, timeToLive time.Duration) (LeaseID, error) {
	seconds := int64((timeToLive + time.Second - 1) / time.Second)
	var response etcdjson.LeaseResponse
	err := k.callLease(ctx, etcdjson.PathLeaseGrant, changes, etcdjson.LeaseGrantRequest{TimeToLive: seconds}, &response)
	return LeaseID(response.ID), err
}

// KeepAlive renews a lease and returns its time to live. It is idempotent, so it is sent as a read.
func (k *KeyValueHTTP) KeepAlive(ctx context.Context, lease LeaseID) (time.Duration, error) {
	var response etcdjson.KeepAliveResponse
	err := k.callLease(ctx, etcdjson.PathKeepAlive, readsOnly, etcdjson.LeaseRequest{ID: int64(lease)}, &response)
	if err != nil {
		return 0, err
	}
	if response.Result.TimeToLive == 0 {
		return 0, KindLeaseNotFound.New("lease %d has lapsed", lease)
	}
	return time.Duration(response.Result.TimeToLive) * time.Second, nil
}

// RevokeLease ends a lease and removes its keys.
func (k *KeyValueHTTP) RevokeLease(ctx context.Context, lease LeaseID) error {
	return k.callLease(ctx, etcdjson.PathRevoke, changes, etcdjson.LeaseRequest{ID: int64(lease)}, nil)
}

func entryOf(stored etcdjson.KeyValue) Entry {
	return Entry{
		Key:            string(stored.Key),
		Value:          stored.Value,
		CreateRevision: stored.CreateRevision,
		ModRevision:    stored.ModRevision,
		LeaseID:        LeaseID(stored.Lease),
	}
}

func entriesOf(stored []etcdjson.KeyValue) []Entry {
	entries := make([]Entry, 0, len(stored))
	for _, keyValue := range stored {
		entries = append(entries, entryOf(keyValue))
	}
	return entries
}

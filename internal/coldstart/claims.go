package coldstart

import (
	"context"
	"strconv"
	"time"

	"github.com/sloelift/sloelift/internal/clock"
	"github.com/sloelift/sloelift/internal/platform"
	"github.com/sloelift/sloelift/internal/replica"
)

const (
	// passPrefix is the key prefix of passes in the key-value service; replica ID and pass number follow.
	passPrefix = "/sloelift/cold/"
	// claimTimeout bounds one call to the key-value service; a replica is cold for only a few seconds.
	claimTimeout = time.Second
	// passHandover is the time before the end of its lease from which a pass is no longer used, so that requests sent with it and
	// requests of the next holder never arrive within the same second.
	passHandover = time.Second + replica.SendWithin
	// leaseMargin is added to a lease so that it also covers replicas that turn cold soon after: zones are restored and releases roll
	// out replica by replica, and each call to the service is a cost.
	leaseMargin = 2 * time.Second
	// minLease exceeds passHandover plus what is left of a pass when it is claimed again: a pass must not outlive its new lease if
	// the answer to the claim is lost. maxLease bounds how long the pass of a restarted node stays unused.
	minLease = claimRetryInterval + passHandover + 400*time.Millisecond
	maxLease = 30 * time.Second
	// maxClaimsPerTransaction is the number of passes that are claimed in one transaction.
	maxClaimsPerTransaction = 12
)

// claim is a pass that this node wants to hold.
type claim struct {
	handle *replica.Handle
	key    string
	// revision is that of this node's own key from an earlier claim; 0 if there is none.
	revision int64
	requests int
	coldFor  time.Duration
}

func passKey(replicaID string, number int) string {
	return passPrefix + replicaID + "/" + strconv.Itoa(number)
}

// claimer claims passes in the key-value service for one node. It is not safe for concurrent use.
type claimer struct {
	store platform.KeyValue
	node  string
	// lease is the latest lease; the passes under it are used until leaseUntil.
	lease      platform.LeaseID
	leaseUntil time.Time
}

// heldPass is a claim that was granted: the revision of its key, and the time until which the pass is used.
type heldPass struct {
	claim    claim
	revision int64
	until    time.Time
}

// claimAll claims the wanted passes under one lease and returns those that this node now holds. A call without an answer grants none,
// whether it took effect or not: a key that it wrote ends with its lease.
func (c *claimer) claimAll(ctx context.Context, wanted []claim) (held []heldPass, err error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	if err := c.ensureLease(ctx, wanted); err != nil {
		return nil, err
	}
	revision, granted, err := c.commit(ctx, wanted)
	if err != nil {
		// The lease may have expired.
		c.leaseUntil = time.Time{}
		return nil, err
	}
	for _, request := range granted {
		held = append(held, heldPass{claim: request, revision: revision, until: c.leaseUntil})
	}
	return held, nil
}

// ensureLease grants a lease that covers the wanted passes, unless the latest one does.
func (c *claimer) ensureLease(ctx context.Context, wanted []claim) error {
	coldFor := time.Duration(0)
	for _, request := range wanted {
		coldFor = max(coldFor, request.coldFor)
	}
	now := clock.Now()
	if c.leaseUntil.Sub(now) >= max(coldFor, claimRetryInterval) {
		return nil
	}
	timeToLive := min(max(minLease, coldFor+passHandover+leaseMargin), maxLease)
	lease, err := c.store.GrantLease(ctx, timeToLive)
	if err != nil {
		return err
	}
	// The service counts the lease from the arrival of the call, which is later than now.
	c.lease, c.leaseUntil = lease, now.Add(timeToLive-passHandover)
	return nil
}

// commit writes, under the latest lease, the keys of those wanted passes that no other node holds.
func (c *claimer) commit(ctx context.Context, wanted []claim) (revision int64, granted []claim, err error) {
	result, err := c.store.Commit(ctx, c.transaction(wanted))
	if err != nil || result.Committed {
		return result.Revision, wanted, err
	}
	free := unheldClaims(wanted, result.Current)
	if len(free) == 0 || len(free) == len(wanted) {
		return 0, nil, nil
	}
	result, err = c.store.Commit(ctx, c.transaction(free))
	if err != nil || !result.Committed {
		return 0, nil, err
	}
	return result.Revision, free, nil
}

func (c *claimer) transaction(wanted []claim) platform.Transaction {
	var result platform.Transaction
	for _, request := range wanted {
		result.Conditions = append(result.Conditions, platform.Condition{Key: request.key, ModRevision: request.revision})
		result.Changes = append(result.Changes, platform.Change{Key: request.key, Value: []byte(c.node), LeaseID: c.lease})
	}
	return result
}

// unheldClaims returns the claims whose keys have the expected revision.
func unheldClaims(wanted []claim, current []platform.Entry) []claim {
	revisions := make(map[string]int64, len(current))
	for _, entry := range current {
		revisions[entry.Key] = entry.ModRevision
	}
	var free []claim
	for _, request := range wanted {
		if revisions[request.key] == request.revision {
			free = append(free, request)
		}
	}
	return free
}

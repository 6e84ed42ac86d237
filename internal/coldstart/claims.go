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
	// passPrefix is where the passes of cold replicas stand in the key-value service, by replica and number.
	passPrefix = "/sloelift/cold/"
	// claimTimeout bounds one call to the key-value service: a replica is cold for a few seconds.
	claimTimeout = time.Second
	// handover is how long before its lease ends a pass is no longer used, so that what was sent with it and what the next holder sends
	// never fall into one second.
	handover = time.Second + replica.SendWithin
	// spareLease is added to a lease, so that replicas which turn cold soon after need no further one: zones return and releases go on
	// replica by replica, and each call to the service has a price.
	spareLease = 2 * time.Second
	// leastLease is longer than what is left of a pass that is claimed again, and handover: the pass never outlives its new lease, as it
	// must not where the answer to the claim is missing. With a longer one than longestLease the pass of a node that was started again would lie
	// unused for as long.
	leastLease   = claimAgain + handover + 400*time.Millisecond
	longestLease = 30 * time.Second
	// maxKeys is the number of passes that are claimed in one transaction.
	maxKeys = 12
)

// claim is a pass that this node wants.
type claim struct {
	handle *replica.Handle
	key    string
	// revision is that of this node's own key, which an earlier claim has written; 0 where there is none.
	revision int64
	requests int
	coldFor  time.Duration
}

func passKey(replicaID string, number int) string {
	return passPrefix + replicaID + "/" + strconv.Itoa(number)
}

// claimer claims passes in the key-value service for one node. It belongs to one goroutine.
type claimer struct {
	store platform.KeyValue
	node  string
	// lease is the latest one, whose passes end at leaseUntil.
	lease      platform.LeaseID
	leaseUntil time.Time
}

// won is a claim that brought a pass: the revision of its key, and until when the pass is used.
type won struct {
	claim    claim
	revision int64
	until    time.Time
}

// claimAll claims the wanted passes under one lease and returns those that this node holds from now on. A call whose answer is missing
// brings none, whatever became of it: the key then ends with its lease.
func (c *claimer) claimAll(ctx context.Context, wanted []claim) (held []won, err error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	if err := c.ensureLease(ctx, wanted); err != nil {
		return nil, err
	}
	revision, taken, err := c.commit(ctx, wanted)
	if err != nil {
		// The lease may be over.
		c.leaseUntil = time.Time{}
		return nil, err
	}
	for _, each := range taken {
		held = append(held, won{claim: each, revision: revision, until: c.leaseUntil})
	}
	return held, nil
}

// ensureLease makes a lease that covers the wanted passes, unless the latest one does.
func (c *claimer) ensureLease(ctx context.Context, wanted []claim) error {
	coldFor := time.Duration(0)
	for _, each := range wanted {
		coldFor = max(coldFor, each.coldFor)
	}
	now := clock.Now()
	if c.leaseUntil.Sub(now) >= max(coldFor, claimAgain) {
		return nil
	}
	timeToLive := min(max(leastLease, coldFor+handover+spareLease), longestLease)
	lease, err := c.store.GrantLease(ctx, timeToLive)
	if err != nil {
		return err
	}
	// The service counts the lease from the call's arrival, which is later.
	c.lease, c.leaseUntil = lease, now.Add(timeToLive-handover)
	return nil
}

// commit writes, under the latest lease, the keys of those wanted passes that nobody else holds.
func (c *claimer) commit(ctx context.Context, wanted []claim) (revision int64, taken []claim, err error) {
	result, err := c.store.Commit(ctx, c.transaction(wanted))
	if err != nil || result.Committed {
		return result.Revision, wanted, err
	}
	free := withoutHeld(wanted, result.Current)
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
	var made platform.Transaction
	for _, each := range wanted {
		made.Conditions = append(made.Conditions, platform.Condition{Key: each.key, ModRevision: each.revision})
		made.Changes = append(made.Changes, platform.Change{Key: each.key, Value: []byte(c.node), LeaseID: c.lease})
	}
	return made
}

// withoutHeld returns the claims whose keys stand as they were expected to.
func withoutHeld(wanted []claim, current []platform.Entry) []claim {
	standing := make(map[string]int64, len(current))
	for _, entry := range current {
		standing[entry.Key] = entry.ModRevision
	}
	var free []claim
	for _, each := range wanted {
		if standing[each.key] == each.revision {
			free = append(free, each)
		}
	}
	return free
}

package platform

import (
	"context"
	"time"

	"github.com/joomcode/errorx"

	"github.com/sloelift/sloelift/internal/pause"
)

const (
	// maxFollowBackoff bounds the delay between attempts to follow a prefix, which is below 1 s with its jitter.
	maxFollowBackoff = 650 * time.Millisecond
	// listTimeout bounds one listing, longListTimeout one of many entries, whose pages each have a bound of their own as well.
	listTimeout     = 3 * time.Second
	longListTimeout = 30 * time.Second
	// coalesceDelay is the pause after changes before more are read, so that several changes arrive in one answer: each answer costs a call.
	coalesceDelay = 200 * time.Millisecond
)

// Follower receives the content below a prefix and its changes.
type Follower struct {
	// Replace receives the complete content: first, and again after changes were missed.
	Replace func(listing Listing)
	// Update receives the changes of one revision; both lists are empty if only the revision has advanced.
	Update func(revision int64, changed []Entry, deleted []string)
	// OnError is called with each error; Follow then retries, except after KindTooLong.
	OnError func(err error)
	// ChangesMissed, if set, signals that changes were missed, so that the prefix is listed again.
	ChangesMissed <-chan struct{}
	// RetryNow, if set, signals that the service answers again, which ends the delay before the next attempt.
	RetryNow <-chan struct{}
	// MaxEntries is the maximum size of a listing if it is above 0: Follow ends if there are more entries.
	MaxEntries int
	// LongListTimeout allows listings longListTimeout instead of listTimeout.
	LongListTimeout bool
}

// Follow passes the content below prefix and its changes to follower, until ctx ends or there are too many entries. It lists once
// and then watches, each watch continuing where the last one ended. It lists again only if the service has compacted the revisions
// needed, or if ChangesMissed signals it.
func Follow(ctx context.Context, store KeyValue, prefix string, follower Follower) {
	retryBackoff := NewBackoffUpTo(maxFollowBackoff)
	revision := int64(0)
	for ctx.Err() == nil {
		var err error
		if revision == 0 {
			revision, err = listInto(ctx, store, prefix, follower)
		} else {
			revision, err = watchInto(ctx, store, prefix, revision, follower, retryBackoff)
		}
		if err == nil {
			retryBackoff.Reset()
			continue
		}
		if errorx.IsOfType(err, KindCompacted) {
			revision = 0
			retryBackoff.Reset()
		}
		if errorx.IsOfType(err, KindTooLong) {
			follower.OnError(err)
			return
		}
		if ctx.Err() == nil {
			follower.OnError(err)
		}
		if follower.waitToRetry(ctx, retryBackoff.Next()) {
			revision = 0
		}
	}
}

// waitToRetry waits for delay, or until the service is known to answer again. changesMissed reports whether the prefix has to be listed,
// because changes were missed meanwhile.
func (f Follower) waitToRetry(ctx context.Context, delay time.Duration) (changesMissed bool) {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-f.RetryNow:
	case <-f.ChangesMissed:
		return true
	case <-ctx.Done():
	}
	return false
}

// listInto passes one listing to follower and returns its revision.
func listInto(ctx context.Context, store KeyValue, prefix string, follower Follower) (int64, error) {
	timeout := listTimeout
	if follower.LongListTimeout {
		timeout = longListTimeout
	}
	if follower.MaxEntries > 0 {
		ctx = WithMaxEntries(ctx, follower.MaxEntries)
	}
	bounded, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	listing, err := store.List(bounded, prefix)
	if err != nil {
		return 0, err
	}
	follower.Replace(listing)
	return listing.Revision, nil
}

// watchInto passes the changes after revision to follower until the watch ends, and returns the revision up to which all have
// been passed on; 0 requests a new listing.
func watchInto(ctx context.Context, store KeyValue, prefix string, revision int64, follower Follower, retryBackoff *Backoff) (int64, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	events, err := store.Watch(ctx, prefix, revision+1)
	if err != nil {
		return revision, err
	}
	for {
		select {
		case event, open := <-events:
			if !open {
				return revision, ctx.Err()
			}
			if event.Err != nil {
				return revision, event.Err
			}
			retryBackoff.Reset()
			follower.Update(event.Revision, event.Changed, event.Deleted)
			revision = max(revision, event.Revision)
			if len(event.Changed)+len(event.Deleted) > 0 && !event.More && len(events) == 0 {
				pause.Sleep(ctx, coalesceDelay)
			}
		case <-follower.ChangesMissed:
			return 0, nil
		case <-ctx.Done():
			return revision, ctx.Err()
		}
	}
}

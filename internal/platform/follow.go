package platform

import (
	"context"
	"time"

	"github.com/joomcode/errorx"

	"github.com/sloelift/sloelift/internal/pause"
)

const (
	// followLongestWait bounds the wait between tries to follow a prefix, listTimeout one listing, longListTimeout one of many entries: each
	// of its pages has a bound of its own.
	followLongestWait = 700 * time.Millisecond
	listTimeout       = 3 * time.Second
	longListTimeout   = 30 * time.Second
	// gatherWait is how long changes are gathered before the service is asked for more: each answer costs a call.
	gatherWait = 200 * time.Millisecond
)

// Follower takes in the content below a prefix.
type Follower struct {
	// Replace is given the whole content, at first and after changes were missed.
	Replace func(listing Listing)
	// Update is given the changes of one revision; both lists are empty where only the revision has moved on.
	Update func(revision int64, changed []Entry, deleted []string)
	// Failed is told of each error; the Follower goes on by itself.
	Failed func(err error)
	// Behind says, where it is set, that changes were missed: the prefix is listed again.
	Behind <-chan struct{}
	// MostEntries bounds the listings, where it is above 0: Follow ends where there are more entries. Long gives them more time.
	MostEntries int
	Long        bool
}

// Follow keeps a Follower informed of what lies below prefix until ctx ends, or there are too many entries: one listing, then watches from
// where the last one ended. Only where the service has dropped its history, or Behind says so, is the prefix listed again.
func Follow(ctx context.Context, store KeyValue, prefix string, follower Follower) {
	waits := NewBackoffUpTo(followLongestWait)
	revision := int64(0)
	for ctx.Err() == nil {
		var err error
		if revision == 0 {
			revision, err = listInto(ctx, store, prefix, follower)
		} else {
			revision, err = watchInto(ctx, store, prefix, revision, follower, waits)
		}
		if err == nil {
			waits.Reset()
			continue
		}
		if errorx.IsOfType(err, KindCompacted) {
			revision = 0
		}
		if errorx.IsOfType(err, KindTooLong) {
			follower.Failed(err)
			return
		}
		if ctx.Err() == nil {
			follower.Failed(err)
		}
		_ = waits.Wait(ctx)
	}
}

func listInto(ctx context.Context, store KeyValue, prefix string, follower Follower) (int64, error) {
	timeout := listTimeout
	if follower.Long {
		timeout = longListTimeout
	}
	if follower.MostEntries > 0 {
		ctx = WithMostEntries(ctx, follower.MostEntries)
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

// watchInto delivers changes behind revision until the watch ends, and returns the revision up to which all are delivered;
// 0 asks for a listing.
func watchInto(ctx context.Context, store KeyValue, prefix string, revision int64, follower Follower, waits *Backoff) (int64, error) {
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
			waits.Reset()
			follower.Update(event.Revision, event.Changed, event.Deleted)
			revision = max(revision, event.Revision)
			if len(event.Changed)+len(event.Deleted) > 0 && !event.More && len(events) == 0 {
				pause.Sleep(ctx, gatherWait)
			}
		case <-follower.Behind:
			return 0, nil
		case <-ctx.Done():
			return revision, ctx.Err()
		}
	}
}

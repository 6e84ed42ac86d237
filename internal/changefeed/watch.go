package changefeed

import (
	"context"
	"slices"
	"time"

	changefeedpb "github.com/sloelift/sloelift/api/proto/changefeed"
	"github.com/sloelift/sloelift/internal/clock"
	"github.com/sloelift/sloelift/internal/pause"
	"github.com/sloelift/sloelift/internal/platform"
)

// Watch delivers changes like the service's own watch, either from the service or from the watchers, depending on whether this node
// currently has to watch the service. An event with an error of KindCompacted means that changes were missed.
func (f *Feed) Watch(ctx context.Context, prefix string, fromRevision int64) (<-chan platform.WatchEvent, error) {
	events := make(chan platform.WatchEvent)
	watch := &watch{feed: f, prefix: prefix, delivered: fromRevision - 1, events: events}
	go func() {
		defer close(events)
		for ctx.Err() == nil {
			open := false
			if f.shouldWatch(prefix, clock.Now()) {
				open = watch.watchService(ctx)
			} else {
				open = watch.followWatchers(ctx)
			}
			if !open {
				return
			}
		}
	}()
	return events, nil
}

// watch is one watch of a prefix. It belongs to one goroutine.
type watch struct {
	feed   *Feed
	prefix string
	// delivered is the revision up to which all changes have been delivered.
	delivered int64
	events    chan<- platform.WatchEvent
	// buffered holds, in order, the changes that watchers forwarded while this node watched the service itself. Those that the service
	// has not delivered by the end of that are applied afterwards.
	buffered []*changefeedpb.Changes
}

// deliver sends an event to the reader. It returns false if the watch has ended, by an error in the event or by ctx.
func (w *watch) deliver(ctx context.Context, event platform.WatchEvent) bool {
	select {
	case w.events <- event:
		return event.Err == nil
	case <-ctx.Done():
		return false
	}
}

// watchService delivers changes from the service until this node no longer has to watch it. It returns false if the watch has ended.
func (w *watch) watchService(ctx context.Context) bool {
	watchContext, cancel := context.WithCancel(ctx)
	defer cancel()
	events, err := w.feed.KeyValue.Watch(watchContext, w.prefix, w.delivered+1)
	if err != nil {
		w.feed.recordFailure()
		return w.deliver(ctx, platform.WatchEvent{Err: err})
	}
	inbox := w.feed.inbox(w.prefix)
	ticker := time.NewTicker(roleCheckInterval)
	defer ticker.Stop()
	var answer []platform.WatchEvent
	for {
		select {
		case event, open := <-events:
			if !open {
				return w.deliver(ctx, platform.WatchEvent{Err: platform.KindUnavailable.New("watch ended")})
			}
			answer = append(answer, event)
			if event.More {
				continue
			}
			if !w.handleAnswer(ctx, answer) {
				return false
			}
			answer = nil
			if !w.feed.shouldWatch(w.prefix, clock.Now()) {
				return true
			}
		case <-ticker.C:
			now := clock.Now()
			if !w.feed.shouldWatch(w.prefix, now) {
				return true
			}
		case changes := <-inbox:
			w.buffer(changes)
		case <-ctx.Done():
			return false
		}
	}
}

// buffer stores changes that a watcher forwarded and drops those that the service has delivered by now. Beyond inboxLength messages the
// oldest is dropped; the reader then detects a gap.
func (w *watch) buffer(changes *changefeedpb.Changes) {
	w.buffered = slices.DeleteFunc(append(w.buffered, changes), func(kept *changefeedpb.Changes) bool {
		return lastRevision(kept) <= w.delivered
	})
	if len(w.buffered) > inboxLength {
		w.buffered = w.buffered[1:]
	}
}

// lastRevision returns the revision of the last change; 0 if there are none.
func lastRevision(changes *changefeedpb.Changes) int64 {
	if len(changes.Changes) == 0 {
		return 0
	}
	return changes.Changes[len(changes.Changes)-1].Revision
}

// handleAnswer forwards and delivers one response of the service, and waits for batchDelay if it had changes. It returns false if the
// watch has ended.
func (w *watch) handleAnswer(ctx context.Context, answer []platform.WatchEvent) bool {
	if last := answer[len(answer)-1]; last.Err != nil {
		w.feed.recordFailure()
		return w.deliver(ctx, last)
	}
	change := merge(answer)
	w.feed.forwardChange(w.prefix, change, clock.Now())
	// Changes are batched here, so that the reader need not batch them as well.
	change.More = true
	if !w.deliver(ctx, change) {
		return false
	}
	w.delivered = max(w.delivered, change.Revision)
	changed := len(change.Changed)+len(change.Deleted) > 0
	return !changed || pause.Sleep(ctx, batchDelay)
}

// followWatchers delivers the changes that watchers forward until this node has to watch the service. It returns false if the watch has
// ended.
func (w *watch) followWatchers(ctx context.Context) bool {
	for _, changes := range w.buffered {
		if !w.applyChanges(ctx, changes) {
			return false
		}
	}
	w.buffered = nil
	inbox := w.feed.inbox(w.prefix)
	ticker := time.NewTicker(roleCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case changes := <-inbox:
			if !w.applyChanges(ctx, changes) {
				return false
			}
		case <-ticker.C:
			now := clock.Now()
			if w.feed.shouldWatch(w.prefix, now) {
				return true
			}
			if err := w.feed.gapError(w.prefix, w.delivered, now); err != nil {
				return w.deliver(ctx, platform.WatchEvent{Err: err})
			}
		case <-ctx.Done():
			return false
		}
	}
}

// applyChanges delivers those of the changes that are new. If the change before them has not been delivered, it ends the watch. It returns
// false if the watch has ended.
func (w *watch) applyChanges(ctx context.Context, changes *changefeedpb.Changes) bool {
	if lastRevision(changes) <= w.delivered {
		return true
	}
	if changes.Previous > w.delivered {
		return w.deliver(ctx, platform.WatchEvent{Err: platform.KindCompacted.New("a change from the watchers was missed")})
	}
	fresh := changes.Changes
	for len(fresh) > 0 && fresh[0].Revision <= w.delivered {
		fresh = fresh[1:]
	}
	for _, change := range fresh {
		event := platform.WatchEvent{Revision: change.Revision, Deleted: w.feed.deletedBy(w.prefix, change), More: true}
		for _, entry := range change.Changed {
			event.Changed = append(event.Changed, platform.Entry{
				Key: entry.Key, Value: entry.Value, CreateRevision: entry.CreateRevision, ModRevision: entry.ModRevision,
			})
		}
		if !w.deliver(ctx, event) {
			return false
		}
		w.delivered = change.Revision
		w.feed.recordChange(w.prefix, change)
	}
	return true
}

func (f *Feed) inbox(prefix string) <-chan *changefeedpb.Changes {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.state(prefix).inbox
}

// gapError returns the error that ends the watch of a reader that knows all changes up to known and has missed later ones; nil if it has
// missed none.
func (f *Feed) gapError(prefix string, known int64, now time.Time) error {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	state := f.state(prefix)
	if !state.hasMissed(known, now) {
		return nil
	}
	if limit, bounded := f.maxKeys[prefix]; bounded && state.tooManyKeys {
		return platform.KindTooLong.New("the prefix has more than %d keys by a watcher's position", limit)
	}
	return platform.KindCompacted.New("a watcher's position is ahead of the changes received")
}

// recordFailure records that the service failed to answer this node, which therefore stops sending heartbeats as a watcher.
func (f *Feed) recordFailure() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.lastAnswer = time.Time{}
}

// recordChange updates the state of the prefix by a change that a watcher forwarded.
func (f *Feed) recordChange(prefix string, change *changefeedpb.Change) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.state(prefix).applyChange(change)
}

// deletedBy returns the keys that a change removes from those known to this node.
func (f *Feed) deletedBy(prefix string, change *changefeedpb.Change) []string {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.state(prefix).deletedBy(change)
}

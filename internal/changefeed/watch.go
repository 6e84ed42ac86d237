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

// Watch delivers changes as the service's own watch does, from the service or from the nodes that watch it, whichever is this node's
// turn. An event of KindCompacted says that changes were missed.
func (f *Feed) Watch(ctx context.Context, prefix string, fromRevision int64) (<-chan platform.WatchEvent, error) {
	events := make(chan platform.WatchEvent)
	watch := &watch{feed: f, prefix: prefix, known: fromRevision - 1, events: events}
	go func() {
		defer close(events)
		for ctx.Err() == nil {
			goOn := false
			if f.watchesNow(prefix, clock.Now()) {
				goOn = watch.service(ctx)
			} else {
				goOn = watch.follow(ctx)
			}
			if !goOn {
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
	// known is the revision up to which all changes are delivered.
	known  int64
	events chan<- platform.WatchEvent
	// ahead is what watchers passed on while this node asked the service, in their order; what the service did not bring before the turn
	// to ask ended is taken then.
	ahead []*changefeedpb.Changes
}

// deliver hands on an event; false where the watch has ended, by it or before.
func (w *watch) deliver(ctx context.Context, event platform.WatchEvent) bool {
	select {
	case w.events <- event:
		return event.Err == nil
	case <-ctx.Done():
		return false
	}
}

// service watches the service until it is no longer this node's turn; false where the watch has ended.
func (w *watch) service(ctx context.Context) bool {
	own, cancel := context.WithCancel(ctx)
	defer cancel()
	events, err := w.feed.KeyValue.Watch(own, w.prefix, w.known+1)
	if err != nil {
		w.feed.notAnswered()
		return w.deliver(ctx, platform.WatchEvent{Err: err})
	}
	inbox := w.feed.inbox(w.prefix)
	ticker := time.NewTicker(turnInterval)
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
			if !w.takeAnswer(ctx, answer) {
				return false
			}
			answer = nil
			if !w.feed.watchesNow(w.prefix, clock.Now()) {
				return true
			}
		case <-ticker.C:
			now := clock.Now()
			if !w.feed.watchesNow(w.prefix, now) {
				return true
			}
		case changes := <-inbox:
			w.keep(changes)
		case <-ctx.Done():
			return false
		}
	}
}

// keep keeps what a watcher passed on, and drops what the service has brought by now. Of more than the inbox holds the oldest goes; the
// reader then finds a gap.
func (w *watch) keep(changes *changefeedpb.Changes) {
	w.ahead = slices.DeleteFunc(append(w.ahead, changes), func(kept *changefeedpb.Changes) bool { return lastRevision(kept) <= w.known })
	if len(w.ahead) > inboxLength {
		w.ahead = w.ahead[1:]
	}
}

// lastRevision is that of the last of changes; 0 where there are none.
func lastRevision(changes *changefeedpb.Changes) int64 {
	if len(changes.Changes) == 0 {
		return 0
	}
	return changes.Changes[len(changes.Changes)-1].Revision
}

// takeAnswer passes on and delivers one answer of the service, and waits for more changes where it had some; false where the watch has
// ended.
func (w *watch) takeAnswer(ctx context.Context, answer []platform.WatchEvent) bool {
	if last := answer[len(answer)-1]; last.Err != nil {
		w.feed.notAnswered()
		return w.deliver(ctx, last)
	}
	change := merge(answer)
	w.feed.passOn(w.prefix, change, clock.Now())
	// The reader need not gather either.
	change.More = true
	if !w.deliver(ctx, change) {
		return false
	}
	w.known = max(w.known, change.Revision)
	changed := len(change.Changed)+len(change.Deleted) > 0
	return !changed || pause.Sleep(ctx, gatherWait)
}

// follow takes what watchers pass on until it is this node's turn to watch; false where the watch has ended.
func (w *watch) follow(ctx context.Context) bool {
	for _, changes := range w.ahead {
		if !w.take(ctx, changes) {
			return false
		}
	}
	w.ahead = nil
	inbox := w.feed.inbox(w.prefix)
	ticker := time.NewTicker(turnInterval)
	defer ticker.Stop()
	for {
		select {
		case changes := <-inbox:
			if !w.take(ctx, changes) {
				return false
			}
		case <-ticker.C:
			now := clock.Now()
			if w.feed.watchesNow(w.prefix, now) {
				return true
			}
			if err := w.feed.missed(w.prefix, w.known, now); err != nil {
				return w.deliver(ctx, platform.WatchEvent{Err: err})
			}
		case <-ctx.Done():
			return false
		}
	}
}

// take delivers what is new of changes; where the change before them is not known, it ends the watch.
func (w *watch) take(ctx context.Context, changes *changefeedpb.Changes) bool {
	if lastRevision(changes) <= w.known {
		return true
	}
	if changes.Previous > w.known {
		return w.deliver(ctx, platform.WatchEvent{Err: platform.KindCompacted.New("a change was not passed on")})
	}
	fresh := changes.Changes
	for len(fresh) > 0 && fresh[0].Revision <= w.known {
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
		w.known = change.Revision
		w.feed.note(w.prefix, change)
	}
	return true
}

func (f *Feed) inbox(prefix string) <-chan *changefeedpb.Changes {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.state(prefix).inbox
}

// missed returns why a reader who knows all changes up to known is to learn of the others in another way; nil where none are missing.
func (f *Feed) missed(prefix string, known int64, now time.Time) error {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	state := f.state(prefix)
	if !state.missed(known, now) {
		return nil
	}
	if most, bounded := f.mostKept[prefix]; bounded && state.long {
		return platform.KindTooLong.New("a watcher knows more than %d keys", most)
	}
	return platform.KindCompacted.New("a watcher's position is ahead of what came")
}

// notAnswered notes that the service failed this node, which then is no use as a watcher.
func (f *Feed) notAnswered() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.answered = time.Time{}
}

// note keeps what a change that a watcher passed on says of the prefix.
func (f *Feed) note(prefix string, change *changefeedpb.Change) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.state(prefix).takeChange(change)
}

// deletedBy returns the keys that a change removes from what this node knows.
func (f *Feed) deletedBy(prefix string, change *changefeedpb.Change) []string {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.state(prefix).deletedBy(change)
}

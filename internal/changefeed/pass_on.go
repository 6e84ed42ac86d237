package changefeed

import (
	"cmp"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	changefeedpb "github.com/sloelift/sloelift/api/proto/changefeed"
	"github.com/sloelift/sloelift/internal/clock"
	"github.com/sloelift/sloelift/internal/logging"
	"github.com/sloelift/sloelift/internal/membership"
	"github.com/sloelift/sloelift/internal/platform"
)

// merge joins the changes of one answer of the service, in their order, into one that leaves each key as the last of them does. What
// lies between is needed by nobody: eleven versions of a configuration of 8 KB are over maxPassedOn, the last one is not.
func merge(answer []platform.WatchEvent) platform.WatchEvent {
	var merged platform.WatchEvent
	changed := map[string]platform.Entry{}
	deleted := map[string]bool{}
	for _, event := range answer {
		merged.Revision = max(merged.Revision, event.Revision)
		for _, entry := range event.Changed {
			changed[entry.Key] = entry
			delete(deleted, entry.Key)
		}
		for _, key := range event.Deleted {
			deleted[key] = true
			delete(changed, key)
		}
	}
	for _, entry := range changed {
		merged.Changed = append(merged.Changed, entry)
	}
	slices.SortFunc(merged.Changed, func(a, b platform.Entry) int { return cmp.Compare(a.ModRevision, b.ModRevision) })
	for key := range deleted {
		merged.Deleted = append(merged.Deleted, key)
	}
	slices.Sort(merged.Deleted)
	return merged
}

// passOn notes that the service answered with change, which may be empty, and sends it to the other nodes where this node is a watcher.
func (f *Feed) passOn(prefix string, change platform.WatchEvent, now time.Time) {
	f.mutex.Lock()
	f.answered = now
	if len(change.Changed)+len(change.Deleted) == 0 {
		f.mutex.Unlock()
		return
	}
	encoded := encodeChange(change)
	state := f.state(prefix)
	message := &changefeedpb.Changes{Prefix: prefix, Previous: state.newest, Changes: []*changefeedpb.Change{encoded}}
	state.takeChange(encoded)
	f.mutex.Unlock()
	if !f.watchesAlone(prefix) {
		f.sendChanges(message)
	}
}

func encodeChange(change platform.WatchEvent) *changefeedpb.Change {
	encoded := &changefeedpb.Change{Revision: change.Revision, Deleted: change.Deleted}
	for _, entry := range change.Changed {
		encoded.Changed = append(encoded.Changed, encodeEntry(entry))
	}
	return encoded
}

func encodeEntry(entry platform.Entry) *changefeedpb.Entry {
	return &changefeedpb.Entry{Key: entry.Key, Value: entry.Value, CreateRevision: entry.CreateRevision, ModRevision: entry.ModRevision}
}

// sendChanges sends changes to the other nodes, where this node is a watcher. The positions in their place, where they are too large,
// have the others read them at once; without, they found out by membership and had them 1.6 to 2.9 s late.
func (f *Feed) sendChanges(message *changefeedpb.Changes) {
	view := f.viewer.View()
	if !f.isWatcher(view) || f.joining(clock.Now()) {
		return
	}
	if size := proto.Size(message); size > maxPassedOn {
		f.logger.Info().Str(logging.FieldPrefix, message.Prefix).Int("bytes", size).Int("limit_bytes", maxPassedOn).Msg("changes_not_passed_on")
		f.sendHeartbeat(view)
		return
	}
	f.sendToAll(view, methodChanges, message)
}

// beat sends a heartbeat where this node is a watcher that the service answers.
func (f *Feed) beat(now time.Time) {
	view := f.viewer.View()
	f.mutex.Lock()
	answered := now.Sub(f.answered) < answeredWithin
	f.mutex.Unlock()
	if answered && f.isWatcher(view) && !f.joining(now) {
		f.sendHeartbeat(view)
	}
}

// sendHeartbeat sends a heartbeat with the position of each prefix, by which nodes notice what did not come to them.
func (f *Feed) sendHeartbeat(view *membership.View) {
	heartbeat := &changefeedpb.Heartbeat{}
	f.mutex.Lock()
	for prefix, state := range f.prefixes {
		most, bounded := f.mostKept[prefix]
		heartbeat.Positions = append(heartbeat.Positions, &changefeedpb.Position{
			Prefix: prefix, Revision: state.newest, Long: bounded && len(state.revisions) > most,
		})
	}
	f.mutex.Unlock()
	f.sendToAll(view, methodHeartbeat, heartbeat)
}

// takeHeartbeat takes a watcher's heartbeat.
func (f *Feed) takeHeartbeat(heartbeat *changefeedpb.Heartbeat, now time.Time) {
	f.mutex.Lock()
	f.noteHeartbeat(now)
	for _, position := range heartbeat.Positions {
		f.state(position.Prefix).takePosition(position, now)
	}
	f.mutex.Unlock()
	if heartbeat.GetPassOn() && f.zone.takesHeartbeat(heartbeat, now) {
		f.sendToZone(methodHeartbeat, &changefeedpb.Heartbeat{Positions: heartbeat.Positions})
	}
}

// take queues what a watcher passed on. Where the queue is full the reader finds a gap and lists again.
func (f *Feed) take(changes *changefeedpb.Changes, now time.Time) {
	if changes.GetPassOn() && f.zone.takesChanges(changes) {
		f.sendToZone(methodChanges, &changefeedpb.Changes{Prefix: changes.Prefix, Previous: changes.Previous, Changes: changes.Changes})
	}
	f.mutex.Lock()
	f.noteHeartbeat(now)
	inbox := f.state(changes.Prefix).inbox
	f.mutex.Unlock()
	select {
	case inbox <- changes:
	default:
		f.logger.Warn().Str(logging.FieldPrefix, changes.Prefix).Int64(logging.FieldRevision, changes.Previous).Msg("changes_dropped_inbox_full")
	}
}

// noteHeartbeat notes that a watcher has sent something; what comes right after the start does not shorten the wait for watchers that start as
// well. The mutex is held.
func (f *Feed) noteHeartbeat(now time.Time) {
	if now.After(f.lastHeartbeat) {
		f.lastHeartbeat = now
	}
}

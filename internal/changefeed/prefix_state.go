package changefeed

import (
	"time"

	changefeedpb "github.com/sloelift/sloelift/api/proto/changefeed"
	"github.com/sloelift/sloelift/internal/platform"
)

// prefixState is what is known of one prefix.
type prefixState struct {
	// newest is the revision of the newest change known.
	newest int64
	// revisions are those of the last changes of the keys present at newest; nil before the first listing.
	revisions map[string]int64
	// inbox holds what watchers passed on.
	inbox chan *changefeedpb.Changes
	// position is the newest of the watchers' positions, positionTaken when it came.
	position      int64
	positionTaken time.Time
	// long says that by that position there are too many keys for each node to keep all.
	long bool
}

// takePosition takes in a watcher's position.
func (s *prefixState) takePosition(position *changefeedpb.Position, now time.Time) {
	if revision := position.GetRevision(); revision > s.position {
		s.position, s.positionTaken = revision, now
	}
	s.long = position.GetLong()
}

// missed says that a reader who knows all changes up to known did not get what watchers passed on.
func (s *prefixState) missed(known int64, now time.Time) bool {
	return s.position > known && now.Sub(s.positionTaken) >= arrivalSlack
}

// takeChange takes in a change.
func (s *prefixState) takeChange(change *changefeedpb.Change) {
	s.newest = max(s.newest, change.Revision)
	for _, entry := range change.Changed {
		if s.revisions != nil {
			s.revisions[entry.Key] = entry.ModRevision
		}
	}
	for _, key := range s.deletedBy(change) {
		delete(s.revisions, key)
	}
}

// deletedBy returns the keys that a change removes.
func (s *prefixState) deletedBy(change *changefeedpb.Change) []string {
	if !change.Listed {
		return change.Deleted
	}
	present := make(map[string]bool, len(change.Present))
	for _, key := range change.Present {
		present[key] = true
	}
	var gone []string
	for key := range s.revisions {
		if !present[key] {
			gone = append(gone, key)
		}
	}
	return gone
}

// takeListing takes in a listing and returns what it shows that was not known, as one change; nil where that is nothing, or where
// nothing was known before.
func (f *Feed) takeListing(prefix string, listing platform.Listing) *changefeedpb.Changes {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	state := f.state(prefix)
	previous, known := state.newest, state.revisions
	state.revisions = make(map[string]int64, len(listing.Entries))
	for _, entry := range listing.Entries {
		state.newest = max(state.newest, entry.ModRevision)
		state.revisions[entry.Key] = entry.ModRevision
	}
	if known == nil {
		return nil
	}
	missed := missedChange(known, listing)
	if len(missed.Changed) == 0 && len(missed.Present) == len(known) {
		return nil
	}
	if stillPresent(known, listing) < len(known) {
		// When a key went is not known. Else the newest change is that of an entry: a later position would have all others list.
		state.newest = max(state.newest, listing.Revision)
	}
	return &changefeedpb.Changes{Prefix: prefix, Previous: previous, Changes: []*changefeedpb.Change{missed}}
}

// stillPresent returns how many of the keys known a listing has.
func stillPresent(known map[string]int64, listing platform.Listing) int {
	count := 0
	for _, entry := range listing.Entries {
		if _, present := known[entry.Key]; present {
			count++
		}
	}
	return count
}

// missedChange is what a listing shows beyond the keys known, by their revisions.
func missedChange(known map[string]int64, listing platform.Listing) *changefeedpb.Change {
	missed := &changefeedpb.Change{Revision: listing.Revision, Listed: true}
	for _, entry := range listing.Entries {
		missed.Present = append(missed.Present, entry.Key)
		if entry.ModRevision > known[entry.Key] {
			missed.Changed = append(missed.Changed, encodeEntry(entry))
		}
	}
	return missed
}

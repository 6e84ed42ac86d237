package changefeed

import (
	"time"

	changefeedpb "github.com/sloelift/sloelift/api/proto/changefeed"
	"github.com/sloelift/sloelift/internal/platform"
)

// prefixState is what this node knows of one prefix.
type prefixState struct {
	// newestRevision is the revision of the newest known change.
	newestRevision int64
	// checkedRevision is a revision up to which this node knows that no change follows the newest known one.
	checkedRevision int64
	// revisions holds, by key, the revision of the last change of each key present at newestRevision; nil before the first listing.
	revisions map[string]int64
	// inbox queues the changes that watchers forwarded.
	inbox chan *changefeedpb.Changes
	// retryNow signals to the follower that the service answers again.
	retryNow chan struct{}
	// position is the highest position of a watcher, received at positionAt.
	position   int64
	positionAt time.Time
	// tooManyKeys is true if, by the latest position received, there are too many keys for every node to keep all of them.
	tooManyKeys bool
}

// applyPosition records a watcher's position.
func (s *prefixState) applyPosition(position *changefeedpb.Position, now time.Time) {
	if revision := position.GetRevision(); revision > s.position {
		s.position, s.positionAt = revision, now
	}
	s.tooManyKeys = position.GetLong()
	if position.GetRevision() <= s.knownUpTo() {
		s.checkedRevision = max(s.checkedRevision, position.GetChecked())
	}
}

// knownUpTo returns the revision up to which this node knows all changes.
func (s *prefixState) knownUpTo() int64 { return max(s.newestRevision, s.checkedRevision) }

// hasMissed reports whether a reader that knows all changes up to known has missed one, because a watcher's position has been higher for
// at least arrivalSlack.
func (s *prefixState) hasMissed(known int64, now time.Time) bool {
	return s.position > known && now.Sub(s.positionAt) >= arrivalSlack
}

// applyChange updates the state by a change.
func (s *prefixState) applyChange(change *changefeedpb.Change) {
	s.newestRevision = max(s.newestRevision, change.Revision)
	for _, entry := range change.Changed {
		if s.revisions != nil {
			s.revisions[entry.Key] = entry.ModRevision
		}
	}
	for _, key := range s.deletedBy(change) {
		delete(s.revisions, key)
	}
}

// deletedBy returns the keys that a change removes. A change from a listing removes the known keys that it does not name as present.
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

// applyListing replaces the state by a listing and returns the differences as one change; nil if there are none or if this is the first
// listing.
func (f *Feed) applyListing(prefix string, listing platform.Listing) *changefeedpb.Changes {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	state := f.state(prefix)
	previous, known := state.newestRevision, state.revisions
	state.checkedRevision = max(state.checkedRevision, listing.Revision)
	state.revisions = make(map[string]int64, len(listing.Entries))
	for _, entry := range listing.Entries {
		state.newestRevision = max(state.newestRevision, entry.ModRevision)
		state.revisions[entry.Key] = entry.ModRevision
	}
	if known == nil {
		return nil
	}
	missed := diffListing(known, listing)
	if len(missed.Changed) == 0 && len(missed.Present) == len(known) {
		return nil
	}
	if countPresent(known, listing) < len(known) {
		// The revision of a deletion is not known, so that the listing's revision is used. Without a deletion, the newest change is that
		// of an entry; a higher position would make all other nodes list.
		state.newestRevision = max(state.newestRevision, listing.Revision)
	}
	return &changefeedpb.Changes{Prefix: prefix, Previous: previous, Changes: []*changefeedpb.Change{missed}}
}

// countPresent returns how many of the known keys a listing contains.
func countPresent(known map[string]int64, listing platform.Listing) int {
	count := 0
	for _, entry := range listing.Entries {
		if _, present := known[entry.Key]; present {
			count++
		}
	}
	return count
}

// diffListing returns the change that leads from the known keys and revisions to a listing.
func diffListing(known map[string]int64, listing platform.Listing) *changefeedpb.Change {
	missed := &changefeedpb.Change{Revision: listing.Revision, Listed: true}
	for _, entry := range listing.Entries {
		missed.Present = append(missed.Present, entry.Key)
		if entry.ModRevision > known[entry.Key] {
			missed.Changed = append(missed.Changed, encodeEntry(entry))
		}
	}
	return missed
}

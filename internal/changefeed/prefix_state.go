package changefeed

import (
	changefeedpb "github.com/sloelift/sloelift/api/proto/changefeed"
	"github.com/sloelift/sloelift/internal/platform"
)

// takeChanges takes in changes in their order.
func (s *prefixState) takeChanges(changes []*changefeedpb.Change) {
	for _, change := range changes {
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

// takeListing takes in a listing and returns what it shows that was not known, as one change; nil where that is nothing, where
// nothing was known before, or where it is too large to be passed on.
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
	if (len(missed.Changed) == 0 && len(missed.Present) == len(known)) || sizeOf(missed) > maxPassedOn {
		return nil
	}
	state.newest = max(state.newest, listing.Revision)
	return &changefeedpb.Changes{Prefix: prefix, Previous: previous, Changes: []*changefeedpb.Change{missed}}
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

func encodeEntry(entry platform.Entry) *changefeedpb.Entry {
	return &changefeedpb.Entry{Key: entry.Key, Value: entry.Value, CreateRevision: entry.CreateRevision, ModRevision: entry.ModRevision}
}

// sizeOf is the size of a change's values in bytes.
func sizeOf(change *changefeedpb.Change) int {
	size := 0
	for _, entry := range change.Changed {
		size += len(entry.Value)
	}
	return size
}

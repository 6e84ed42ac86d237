package discovery

import (
	"github.com/sloelift/sloelift/internal/platform"
)

// applyOperatorsCopy applies an older copy of what operators write: the configuration, unless one of the same or a higher version is in
// force, and the requests for those followers that take copies. It is not reported to other nodes, which may know a newer state, and the
// store is still asked.
func (s *Service) applyOperatorsCopy(copied platform.Listing) {
	for _, follower := range s.followers {
		if copyFollower, ok := follower.(CopyFollower); ok {
			copyFollower.ReplaceByCopy(copied)
		}
	}
	s.applyConfiguration(copied.Entries)
}

// newestChange returns the revision of the newest change in a listing, to be reported to other nodes; 0 if there is none. newest is that of
// the changed entries, removed the number of removed replicas. The revision of a removal is not known, so that the listing's is used. If the
// directory held a copy, which was not reported, all entries of the listing count as changed.
func (s *Service) newestChange(listing platform.Listing, newest int64, removed int) int64 {
	if removed > 0 {
		newest = listing.Revision
	}
	if !s.directoryIsCopy {
		return newest
	}
	s.directoryIsCopy = false
	return max(newest, newestRevision(listing.Entries))
}

// newestRevision returns the highest revision at which one of entries was written; 0 if there are none.
func newestRevision(entries []platform.Entry) int64 {
	newest := int64(0)
	for _, entry := range entries {
		newest = max(newest, entry.ModRevision)
	}
	return newest
}

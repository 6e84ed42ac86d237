package discovery

import (
	"github.com/sloelift/sloelift/internal/platform"
)

// takeCopiedOperators puts a configuration in force that was known some time ago, unless one of its version or a higher one is, and requests of
// that time. It is no news for other nodes, which may know a newer one, and the store is still asked.
func (s *Service) takeCopiedOperators(copied platform.Listing) {
	for _, follower := range s.followers {
		if takes, is := follower.(CopyFollower); is {
			takes.ReplaceByCopy(copied)
		}
	}
	s.takeConfiguration(copied.Entries)
}

// newsOf returns the newest change that a listing shows, of which read has found news and the directory that some replicas are gone. When
// these went is not known. Behind a copy, which was no news, all of the listing is.
func (s *Service) newsOf(listing platform.Listing, news int64, gone int) int64 {
	if gone > 0 {
		news = listing.Revision
	}
	if !s.replicasByCopy {
		return news
	}
	s.replicasByCopy = false
	return max(news, newestOf(listing.Entries))
}

// newestOf returns the newest revision at which one of entries was written; 0 where there are none.
func newestOf(entries []platform.Entry) int64 {
	newest := int64(0)
	for _, entry := range entries {
		newest = max(newest, entry.ModRevision)
	}
	return newest
}

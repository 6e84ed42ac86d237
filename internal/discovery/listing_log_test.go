package discovery

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/sloelift/sloelift/internal/membership"
	"github.com/sloelift/sloelift/internal/platform"
)

// listingLog records the listings of all nodes of a testFleet. It is safe for concurrent use.
type listingLog struct {
	mutex sync.Mutex
	lines []string
}

func (l *listingLog) add(line string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.lines = append(l.lines, line)
}

// all returns a line for each completed listing, in the order of completion.
func (l *listingLog) all() []string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return append([]string(nil), l.lines...)
}

// loggedStore is a node's access to the store of a testFleet, which logs its listings.
type loggedStore struct {
	platform.KeyValue
	node membership.NodeID
	log  *listingLog
}

// List implements platform.KeyValue.
func (s loggedStore) List(ctx context.Context, prefix string) (platform.Listing, error) {
	began := time.Now()
	listing, err := s.KeyValue.List(ctx, prefix)
	s.log.add(fmt.Sprintf("%s: %s lists %s: %d entries after %s, error %v",
		began.Format("05.000"), s.node, prefix, len(listing.Entries), time.Since(began).Round(time.Millisecond), err))
	return listing, err
}

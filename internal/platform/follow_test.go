package platform

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// answeringStore answers each watch call with so many changes at once, as a service does after a busy moment, and then with the revision.
type answeringStore struct {
	KeyValue
	changes int
	// answers is how many answers were taken.
	answers int
}

func (*answeringStore) List(context.Context, string) (Listing, error) {
	return Listing{Revision: 1}, nil
}

func (s *answeringStore) Watch(ctx context.Context, _ string, from int64) (<-chan WatchEvent, error) {
	events := make(chan WatchEvent)
	go func() {
		defer close(events)
		for {
			for change := range s.changes {
				if !deliver(ctx, events, WatchEvent{Revision: from, Changed: []Entry{{Key: "k"}}, More: change+1 < s.changes}) {
					return
				}
				from++
			}
			if !deliver(ctx, events, WatchEvent{Revision: from - 1}) {
				return
			}
			s.answers++
		}
	}()
	return events, nil
}

// TestChangesOfOneAnswerAreTakenAtOnce: many changes that came together are in force together; the wait for more is between answers.
func TestChangesOfOneAnswerAreTakenAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &answeringStore{changes: 40}
		ctx, cancel := context.WithCancel(t.Context())
		taken := 0
		go Follow(ctx, store, "k", Follower{
			Replace: func(Listing) {},
			Update:  func(_ int64, changed []Entry, _ []string) { taken += len(changed) },
			Failed:  func(error) {},
		})
		time.Sleep(gatherWait / 2)
		synctest.Wait()
		if taken != store.changes {
			t.Errorf("%d of %d changes are taken", taken, store.changes)
		}
		time.Sleep(4 * gatherWait)
		synctest.Wait()
		if store.answers > 5 {
			t.Errorf("%d answers in %s: the wait between them is left out", store.answers, 4*gatherWait)
		}
		cancel()
		synctest.Wait()
	})
}

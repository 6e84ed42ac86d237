package platform

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// answeringStore answers each watch call with a batch of changes, as a service does after a burst of writes, then with the revision.
type answeringStore struct {
	KeyValue
	changes int
	// answers counts the answers that were received.
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

// TestChangesOfOneAnswerAreTakenAtOnce: changes of one answer are delivered without delay between them; coalesceDelay applies only between answers.
func TestChangesOfOneAnswerAreTakenAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &answeringStore{changes: 40}
		ctx, cancel := context.WithCancel(t.Context())
		received := 0
		go Follow(ctx, store, "k", Follower{
			Replace: func(Listing) {},
			Update:  func(_ int64, changed []Entry, _ []string) { received += len(changed) },
			OnError: func(error) {},
		})
		time.Sleep(coalesceDelay / 2)
		synctest.Wait()
		if received != store.changes {
			t.Errorf("%d of %d changes were received", received, store.changes)
		}
		time.Sleep(4 * coalesceDelay)
		synctest.Wait()
		if store.answers > 5 {
			t.Errorf("%d answers in %s: no coalesceDelay between them", store.answers, 4*coalesceDelay)
		}
		cancel()
		synctest.Wait()
	})
}

package placement

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"

	"github.com/sloelift/sloelift/internal/platform"
)

// fenceStore is a key-value service with a single key that loses requests or answers on demand.
type fenceStore struct {
	platform.KeyValue // only the calls below are used
	// lock guards the fields below.
	lock  sync.Mutex
	entry platform.Entry
	// loseAnswers is the number of next commits that take effect without an answer, loseRequests of those that fail without effect.
	loseAnswers  int
	loseRequests int
}

func (s *fenceStore) Get(_ context.Context, key string) (platform.Entry, error) {
	s.lock.Lock()
	defer s.lock.Unlock()
	entry := s.entry
	entry.Key = key
	return entry, nil
}

func (s *fenceStore) Commit(_ context.Context, transaction platform.Transaction) (platform.CommitResult, error) {
	s.lock.Lock()
	defer s.lock.Unlock()
	if s.loseRequests > 0 {
		s.loseRequests--
		return platform.CommitResult{}, platform.KindUnknownOutcome.New("lost")
	}
	committed := transaction.Conditions[0].ModRevision == s.entry.ModRevision
	if committed {
		s.entry = platform.Entry{Value: transaction.Changes[0].Value, ModRevision: s.entry.ModRevision + 1}
	}
	if s.loseAnswers > 0 {
		s.loseAnswers--
		return platform.CommitResult{}, platform.KindUnknownOutcome.New("lost")
	}
	return platform.CommitResult{Committed: committed, Revision: s.entry.ModRevision, Current: []platform.Entry{s.entry}}, nil
}

func TestFenceTokensRise(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &fenceStore{}
		var last uint64
		take := func(orderer string, atLeast uint64, revision int64) {
			t.Helper()
			token, err := raiseFence(t.Context(), store, orderer, takeFence{service: "chat", atLeast: atLeast, revision: revision})
			if err != nil || token <= last || token <= atLeast {
				t.Fatalf("token %d after %d, error %v", token, last, err)
			}
			last = token
		}
		take("a", 0, 1)
		take("b", 0, 1)
		take("a", 40, 1) // an engine has accepted 40
		store.loseAnswers = 1
		take("b", 0, 2)
		store.loseRequests = 1
		take("a", 0, 2)
		if _, err := raiseFence(t.Context(), store, "b", takeFence{service: "chat", revision: 1}); err == nil {
			t.Fatal("an orderer with an older configuration revision got a token")
		}
	})
}

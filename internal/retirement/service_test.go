package retirement

import (
	"context"
	"maps"
	"slices"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/sloelift/sloelift/internal/membership"
	"github.com/sloelift/sloelift/internal/platform"
)

type plainTranslator struct{}

func (plainTranslator) RetiringNode(key string) (node string, found bool) {
	return strings.CutPrefix(key, "op/retire/")
}

func (plainTranslator) RetirementStatus(node string, _ State) (key string, value []byte) {
	return "status/" + node, []byte("done")
}

// recordingEmptier records the retiring nodes; all nodes count as drained at once.
type recordingEmptier struct {
	retiring map[membership.NodeID]bool
	calls    int
}

func (e *recordingEmptier) SetRetiring(nodes map[membership.NodeID]bool) {
	e.retiring = nodes
	e.calls++
}

func (*recordingEmptier) IsDrained(context.Context, membership.NodeID) (drained bool, obstacle string, err error) {
	return true, "", nil
}

// recordingStore records the keys written.
type recordingStore struct {
	platform.KeyValue
	written []string
}

func (s *recordingStore) Commit(_ context.Context, transaction platform.Transaction) (platform.CommitResult, error) {
	for _, change := range transaction.Changes {
		s.written = append(s.written, change.Key)
	}
	return platform.CommitResult{Committed: true}, nil
}

type oneStoreViewer struct{}

func (oneStoreViewer) View() *membership.View {
	return &membership.View{Self: "n", Members: []membership.Member{{ID: "n", Store: true, State: membership.Alive}}}
}

func (oneStoreViewer) Subscribe(func(*membership.View)) func() { return func() {} }

// TestRequestsAmongWhatOperatorsWrite: of the keys below the operators' prefix only retirement requests are applied, and the completion of each
// is written once.
func TestRequestsAmongWhatOperatorsWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		emptier, store := &recordingEmptier{}, &recordingStore{}
		service := New(store, plainTranslator{}, emptier, oneStoreViewer{}, prometheus.NewRegistry(), zerolog.Nop())
		retiringNodes := func() []membership.NodeID { return slices.Sorted(maps.Keys(emptier.retiring)) }
		service.Replace(platform.Listing{Revision: 4, Entries: []platform.Entry{{Key: "op/config"}, {Key: "op/retire/a"}}})
		synctest.Wait()
		if got := retiringNodes(); !slices.Equal(got, []membership.NodeID{"a"}) {
			t.Errorf("%v are retiring, want a", got)
		}
		calls := emptier.calls
		service.Update(5, []platform.Entry{{Key: "op/config"}}, []string{"op/zone/east"})
		if emptier.calls != calls {
			t.Error("a change of another key is applied as a retirement request")
		}
		service.Update(6, []platform.Entry{{Key: "op/retire/b"}}, []string{"op/retire/a"})
		synctest.Wait()
		if got := retiringNodes(); !slices.Equal(got, []membership.NodeID{"b"}) || !slices.Equal(store.written, []string{"status/a", "status/b"}) {
			t.Errorf("%v are retiring, %v were written; want b, and the status of a and b", got, store.written)
		}
		service.Stop()
		service.Update(7, []platform.Entry{{Key: "op/retire/c"}}, nil)
		synctest.Wait()
		if len(store.written) != 2 {
			t.Errorf("a stopped Service wrote %v, want the status of a and b only", store.written)
		}
	})
}

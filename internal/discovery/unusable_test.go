package discovery

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/sloelift/sloelift/internal/replica"
	"github.com/sloelift/sloelift/internal/route"
)

// strictTranslator cannot read one value.
type strictTranslator struct{ plainTranslator }

func (t strictTranslator) Replica(key string, value []byte) (replica.Info, error) {
	if string(value) == "unreadable" {
		return replica.Info{}, errors.New("not an entry")
	}
	return t.plainTranslator.Replica(key, value)
}

// TestUnusableEntryNamesNoReplica: it takes the place of what stood there before, in a listing and in a change, and the others hold.
func TestUnusableEntryNamesNoReplica(t *testing.T) {
	// settled is far beyond the pace at which changes are taken.
	const settled = 10 * time.Second
	for name, followed := range map[string]bool{"change": true, "listing": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store, directory := newScriptedStore(), replica.NewDirectory()
				store.put("replicas/a", "s")
				store.put("replicas/b", "s")
				metrics, err := NewMetrics(prometheus.NewRegistry())
				if err != nil {
					t.Fatal(err)
				}
				service := New(Options{
					Store: store, Translator: strictTranslator{}, Routes: route.NewHolder(), Directory: directory, Viewer: &fixedViewer{},
					Reporter: &reportedRevisions{}, Metrics: metrics, Logger: zerolog.Nop(),
				})
				if followed {
					service.Start()
					synctest.Wait()
				}
				store.put("replicas/a", "unreadable")
				if !followed {
					service.Start()
				}
				time.Sleep(settled)
				if view := directory.View(); view.Find("a") != nil || view.Find("b") == nil {
					t.Errorf("%d replicas are used, a among them: %t", view.Len(), view.Find("a") != nil)
				}
				store.put("replicas/a", "s")
				time.Sleep(settled)
				if directory.View().Len() != 2 {
					t.Errorf("%d replicas are used once the entry is good again, want 2", directory.View().Len())
				}
				service.Stop()
			})
		})
	}
}

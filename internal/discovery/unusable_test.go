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

// strictTranslator fails to decode the value "unreadable".
type strictTranslator struct{ plainTranslator }

func (t strictTranslator) Replica(key string, value []byte) (replica.Info, error) {
	if string(value) == "unreadable" {
		return replica.Info{}, errors.New("not an entry")
	}
	return t.plainTranslator.Replica(key, value)
}

// TestUnusableEntryNamesNoReplica checks that an entry that cannot be decoded, in a listing or a change, removes the replica that the entry
// named before, and affects no other replica.
func TestUnusableEntryNamesNoReplica(t *testing.T) {
	// settled is far longer than it takes until changes are applied.
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
					Store: store, Translator: strictTranslator{}, Routes: route.NewHolder(), Directory: directory,
					Viewer: &fixedViewer{}, Reporter: &revisionRecorder{}, Metrics: metrics, Logger: zerolog.Nop(),
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
					t.Errorf("%d replicas in the directory, a among them: %t; want only b", view.Len(), view.Find("a") != nil)
				}
				store.put("replicas/a", "s")
				time.Sleep(settled)
				if directory.View().Len() != 2 {
					t.Errorf("%d replicas in the directory after the entry is valid again, want 2", directory.View().Len())
				}
				service.Stop()
			})
		})
	}
}

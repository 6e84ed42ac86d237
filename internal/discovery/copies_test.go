package discovery

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"github.com/sloelift/sloelift/internal/platform"
	"github.com/sloelift/sloelift/internal/replica"
	"github.com/sloelift/sloelift/internal/route"
)

// suppliedCopies keeps who takes copies of which prefix.
type suppliedCopies map[string]func(platform.Listing)

func (s suppliedCopies) Supply(prefix string, take func(platform.Listing)) { s[prefix] = take }

func (s suppliedCopies) Settle(prefix string) { delete(s, prefix) }

// copyOf is a copy of prefix at revision with one entry.
func copyOf(revision int64, key, value string) platform.Listing {
	return platform.Listing{Revision: revision, Entries: []platform.Entry{{Key: key, Value: []byte(value), ModRevision: revision}}}
}

type reportedRevisions struct{ configuration, replicas []int64 }

func (r *reportedRevisions) SetConfigRevision(revision int64) {
	r.configuration = append(r.configuration, revision)
}

func (r *reportedRevisions) SetReplicasRevision(revision int64) {
	r.replicas = append(r.replicas, revision)
}

// TestCopiesServeUntilTheStoreAnswers: copies are used at once and are no news for other nodes; an older configuration never takes the place
// of a newer one, so that a key that was revoked by it stays so; the store's listing ends all of it and is reported whole.
func TestCopiesServeUntilTheStoreAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, copies, reported := newScriptedStore(), suppliedCopies{}, &reportedRevisions{}
		store.put("op/config", "5")
		store.put("replicas/b", "s")
		store.down = true
		routes, directory := route.NewHolder(), replica.NewDirectory()
		service := New(Options{
			Store: store, Translator: plainTranslator{}, Routes: routes, Directory: directory, Viewer: &fixedViewer{}, Reporter: reported,
			Copies: copies, Logger: zerolog.Nop(),
		})
		service.Start()
		synctest.Wait()
		if routes.Table() != nil || directory.Loaded() {
			t.Error("something is known though nothing was supplied")
		}
		copies["op/"](copyOf(1, "op/config", "3"))
		copies["op/"](copyOf(2, "op/config", "4"))
		copies["op/"](copyOf(3, "op/config", "3"))
		copies["replicas/"](copyOf(1, "replicas/a", "s"))
		if version := routes.Table().Version; version != 4 {
			t.Errorf("version %d in force, want 4", version)
		}
		if !directory.Loaded() || directory.View().Find("a") == nil {
			t.Error("the copied replica is not known")
		}
		if len(reported.configuration)+len(reported.replicas) > 0 {
			t.Errorf("copies are reported as news: %+v", reported)
		}
		store.set(func() { store.down = false })
		time.Sleep(2 * time.Second)
		synctest.Wait()
		if routes.Table().Version != 5 || directory.View().Find("a") != nil || directory.View().Find("b") == nil {
			t.Error("the store's content has not taken the place of the copies")
		}
		if len(reported.configuration) != 1 || len(reported.replicas) != 1 {
			t.Errorf("reported once each: %+v", reported)
		}
		service.Stop()
	})
}

// TestConfirmedCopyIsReported: a store that lists what the copies said is news for other nodes as at any start.
func TestConfirmedCopyIsReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, copies, reported := newScriptedStore(), suppliedCopies{}, &reportedRevisions{}
		store.put("op/config", "5")
		store.put("replicas/a", "s")
		store.down = true
		service := New(Options{
			Store: store, Translator: plainTranslator{}, Routes: route.NewHolder(), Directory: replica.NewDirectory(), Viewer: &fixedViewer{},
			Reporter: reported, Copies: copies, Logger: zerolog.Nop(),
		})
		service.Start()
		synctest.Wait()
		copies["op/"](copyOf(1, "op/config", "5"))
		copies["replicas/"](copyOf(2, "replicas/a", "s"))
		store.set(func() { store.down = false })
		time.Sleep(2 * time.Second)
		synctest.Wait()
		if len(reported.configuration) != 1 || len(reported.replicas) != 1 || reported.replicas[0] != 2 {
			t.Errorf("reported: %+v", reported)
		}
		service.Stop()
	})
}

// copiedRequests is an OperatorFollower that keeps what it was given by copies and by the store.
type copiedRequests struct{ copied, listed []platform.Listing }

func (c *copiedRequests) Replace(listing platform.Listing)         { c.listed = append(c.listed, listing) }
func (c *copiedRequests) Update(int64, []platform.Entry, []string) {}
func (c *copiedRequests) ReplaceByCopy(listing platform.Listing) {
	c.copied = append(c.copied, listing)
}

// storeRequests is one that takes nothing from copies.
type storeRequests struct{ copiedRequests }

func (s *storeRequests) ReplaceByCopy() {}

// TestCopiesBringOperatorsRequests: an evacuation is in force at a node that starts while the store is down; followers that act on requests
// take none from copies.
func TestCopiesBringOperatorsRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, copies := newScriptedStore(), suppliedCopies{}
		store.down = true
		service := New(Options{
			Store: store, Translator: plainTranslator{}, Routes: route.NewHolder(), Directory: replica.NewDirectory(), Viewer: &fixedViewer{},
			Reporter: &reportedRevisions{}, Copies: copies, Logger: zerolog.Nop(),
		})
		takes, acts := &copiedRequests{}, &storeRequests{}
		service.FollowOperators(takes)
		service.FollowOperators(acts)
		service.Start()
		defer service.Stop()
		copies["op/"](copyOf(7, "op/evacuate/east", "{}"))
		if len(takes.copied) != 1 || takes.copied[0].Revision != 7 || len(takes.listed)+len(acts.listed) != 0 {
			t.Errorf("copied %d, listed %d and %d", len(takes.copied), len(takes.listed), len(acts.listed))
		}
	})
}

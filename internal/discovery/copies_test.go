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

// suppliedCopies is a Copies that holds the receiver of copies for each prefix, which tests call.
type suppliedCopies map[string]func(platform.Listing)

func (s suppliedCopies) CachePrefix(prefix string, take func(platform.Listing)) { s[prefix] = take }

func (s suppliedCopies) DropCopies(prefix string) { delete(s, prefix) }

// copyOf returns a copy at revision with one entry.
func copyOf(revision int64, key, value string) platform.Listing {
	return platform.Listing{Revision: revision, Entries: []platform.Entry{{Key: key, Value: []byte(value), ModRevision: revision}}}
}

type revisionRecorder struct{ configuration, replicas []int64 }

func (r *revisionRecorder) SetConfigRevision(revision int64) {
	r.configuration = append(r.configuration, revision)
}

func (r *revisionRecorder) SetReplicasRevision(revision int64) {
	r.replicas = append(r.replicas, revision)
}

// TestCopiesServeUntilTheStoreAnswers checks that copies take effect at once without being reported to other nodes, and that an older
// configuration never replaces a newer one, so that revoked API keys stay revoked. The store's listing replaces the copies and is reported
// as a whole.
func TestCopiesServeUntilTheStoreAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, copies, reported := newScriptedStore(), suppliedCopies{}, &revisionRecorder{}
		store.put("op/config", "5")
		store.put("replicas/b", "s")
		store.down = true
		routes, directory := route.NewHolder(), replica.NewDirectory()
		service := New(Options{
			Store: store, Translator: plainTranslator{}, Routes: routes, Directory: directory,
			Viewer: &fixedViewer{}, Reporter: reported, Copies: copies, Logger: zerolog.Nop(),
		})
		service.Start()
		synctest.Wait()
		if routes.Table() != nil || directory.Loaded() {
			t.Error("a configuration or directory is loaded before a copy was supplied")
		}
		copies["op/"](copyOf(1, "op/config", "3"))
		copies["op/"](copyOf(2, "op/config", "4"))
		copies["op/"](copyOf(3, "op/config", "3"))
		copies["replicas/"](copyOf(1, "replicas/a", "s"))
		if version := routes.Table().Version; version != 4 {
			t.Errorf("configuration version %d in force, want 4", version)
		}
		if !directory.Loaded() || directory.View().Find("a") == nil {
			t.Error("the replica of the copy is not in the directory")
		}
		if len(reported.configuration)+len(reported.replicas) > 0 {
			t.Errorf("copies are reported to other nodes: %+v", reported)
		}
		store.set(func() { store.down = false })
		time.Sleep(2 * time.Second)
		synctest.Wait()
		if routes.Table().Version != 5 || directory.View().Find("a") != nil || directory.View().Find("b") == nil {
			t.Error("the store's content has not replaced the copies")
		}
		if len(reported.configuration) != 1 || len(reported.replicas) != 1 {
			t.Errorf("reported revisions are %+v, want one for each prefix", reported)
		}
		service.Stop()
	})
}

// TestConfirmedCopyIsReported checks that the store's first listing is reported to other nodes though it is equal to the copies.
func TestConfirmedCopyIsReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, copies, reported := newScriptedStore(), suppliedCopies{}, &revisionRecorder{}
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
			t.Errorf("reported revisions are %+v, want one for each prefix, 2 for the replicas", reported)
		}
		service.Stop()
	})
}

// copyRecorder is a CopyFollower that records the copies and the listings of the store.
type copyRecorder struct{ copied, listed []platform.Listing }

func (c *copyRecorder) Replace(listing platform.Listing)         { c.listed = append(c.listed, listing) }
func (c *copyRecorder) Update(int64, []platform.Entry, []string) {}
func (c *copyRecorder) ReplaceByCopy(listing platform.Listing) {
	c.copied = append(c.copied, listing)
}

// storeOnlyRecorder is an OperatorFollower that does not take copies: its ReplaceByCopy hides the embedded one.
type storeOnlyRecorder struct{ copyRecorder }

func (s *storeOnlyRecorder) ReplaceByCopy() {}

// TestCopiesBringOperatorsRequests checks that a node that starts while the store is down gets operators' requests, such as evacuations,
// from copies, but only for those followers that take copies. Followers that act on requests, such as retirement, take none.
func TestCopiesBringOperatorsRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, copies := newScriptedStore(), suppliedCopies{}
		store.down = true
		service := New(Options{
			Store: store, Translator: plainTranslator{}, Routes: route.NewHolder(), Directory: replica.NewDirectory(), Viewer: &fixedViewer{},
			Reporter: &revisionRecorder{}, Copies: copies, Logger: zerolog.Nop(),
		})
		withCopies, withoutCopies := &copyRecorder{}, &storeOnlyRecorder{}
		service.FollowOperators(withCopies)
		service.FollowOperators(withoutCopies)
		service.Start()
		defer service.Stop()
		copies["op/"](copyOf(7, "op/evacuate/east", "{}"))
		if len(withCopies.copied) != 1 || withCopies.copied[0].Revision != 7 || len(withCopies.listed)+len(withoutCopies.listed) != 0 {
			t.Errorf("%d copies and %d listings, %d listings at the follower without copies; want 1 copy and no listings", len(withCopies.copied), len(withCopies.listed), len(withoutCopies.listed))
		}
	})
}

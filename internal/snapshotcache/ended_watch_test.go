package snapshotcache

import (
	"testing"
	"time"

	"github.com/sloelift/sloelift/internal/platform"
)

// TestOldChangeAfterAListingIsNotKept: an ended watch delivers buffered events that are older than a later listing; they are ignored.
func TestOldChangeAfterAListingIsNotKept(t *testing.T) {
	entry := func(value string, revision int64) platform.Entry {
		return platform.Entry{Key: "p/a", Value: []byte(value), ModRevision: revision}
	}
	held := &content{}
	held.replace(platform.Listing{Revision: 9, Entries: []platform.Entry{entry("newer", 9)}}, time.Now(), "")
	cache := &Cache{confirmed: make(chan struct{}), contents: map[string]*content{"p/": held}, unsaved: make(chan struct{}, 1)}
	cache.takeChange("p/", platform.WatchEvent{Revision: 7, Changed: []platform.Entry{entry("older", 7)}}, time.Now())
	if kept := held.listing(); kept.Revision != 9 || string(kept.Entries[0].Value) != "newer" {
		t.Errorf("%q kept at revision %d", kept.Entries[0].Value, kept.Revision)
	}
	cache.takeChange("p/", platform.WatchEvent{Revision: 11, Changed: []platform.Entry{entry("newest", 11)}}, time.Now())
	if kept := held.listing(); kept.Revision != 11 || string(kept.Entries[0].Value) != "newest" {
		t.Errorf("%q kept at revision %d", kept.Entries[0].Value, kept.Revision)
	}
}

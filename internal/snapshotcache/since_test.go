package snapshotcache

import (
	"testing"

	snapshotcachepb "github.com/sloelift/sloelift/api/proto/snapshotcache"
	"github.com/sloelift/sloelift/internal/platform"
)

// TestMerge: applying a response to the known entries gives the listing of the lister node; an older or incomplete response gives none.
func TestMerge(t *testing.T) {
	const revision = 5
	known := func() map[string]platform.Entry {
		return map[string]platform.Entry{"a": {Key: "a", ModRevision: 1}, "b": {Key: "b", ModRevision: 2}}
	}
	changed := &snapshotcachepb.Entry{Key: "a", Value: []byte("new"), ModRevision: 6}
	for _, test := range []struct {
		name     string
		response *snapshotcachepb.SinceResponse
		want     map[string]int64
	}{
		{"nothing new", &snapshotcachepb.SinceResponse{Revision: 5, Keys: []string{"a", "b"}}, map[string]int64{"a": 1, "b": 2}},
		{"changed, gone and new", &snapshotcachepb.SinceResponse{
			Revision: 7, Keys: []string{"a", "c"}, Changed: []*snapshotcachepb.Entry{changed, {Key: "c", ModRevision: 7}},
		}, map[string]int64{"a": 6, "c": 7}},
		{"older than what is known", &snapshotcachepb.SinceResponse{Revision: 4, Keys: []string{"a"}}, nil},
		{"a key of which nothing came", &snapshotcachepb.SinceResponse{Revision: 7, Keys: []string{"a", "c"}}, nil},
	} {
		listing, complete := merge(known(), revision, test.response)
		if complete != (test.want != nil) || len(listing.Entries) != len(test.want) {
			t.Errorf("%s: %+v, %t", test.name, listing, complete)
		}
		for _, entry := range listing.Entries {
			if entry.ModRevision != test.want[entry.Key] {
				t.Errorf("%s: %s at %d", test.name, entry.Key, entry.ModRevision)
			}
		}
	}
}

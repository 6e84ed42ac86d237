package membership

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"
)

// The size of a zone's digest does not grow with the number of members that know different
// revisions, and its hash still shows whether the members are the same.
func TestDigestOfManyRevisionsIsBounded(t *testing.T) {
	for _, count := range []int{20, 200, 400} {
		var differing, alike []*record
		for number := range count {
			member := Member{ID: NodeID(fmt.Sprintf("node-%04d", number)), Zone: "z", Revisions: Revisions{Configuration: 7}}
			alike = append(alike, newRecord(member))
			member.Revisions.Replicas = int64(number + 1)
			differing = append(differing, newRecord(member))
		}
		one, other := digestOf(1, differing), digestOf(1, alike)
		if size := proto.Size(one); size > 512 {
			t.Errorf("digest of %d bytes for %d members with different revisions, want at most 512", size, count)
		}
		if one.GetHash() != other.GetHash() {
			t.Errorf("digest hashes of the same %d members differ", count)
		}
		if len(other.GetRevisions()) != 1 {
			t.Errorf("%d revision runs for %d members with equal revisions, want 1", len(other.GetRevisions()), count)
		}
		if wanted := count <= maxRevisionRuns; (len(one.GetRevisions()) > 0) != wanted {
			t.Errorf("%d revision runs for %d members with different revisions", len(one.GetRevisions()), count)
		}
	}
}

package membership

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"
)

// TestDigestOfManyRevisionsIsBounded: it does not grow with the members of a zone that know different revisions, and still says whether the
// members are the same.
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
			t.Errorf("%d bytes for %d members that know different revisions", size, count)
		}
		if one.GetHash() != other.GetHash() {
			t.Errorf("the digests of the same %d members differ", count)
		}
		if len(other.GetRevisions()) != 1 {
			t.Errorf("%d runs for %d members that know the same", len(other.GetRevisions()), count)
		}
		if wanted := count <= mostRevisionRuns; (len(one.GetRevisions()) > 0) != wanted {
			t.Errorf("%d runs for %d members that know different revisions", len(one.GetRevisions()), count)
		}
	}
}

package membership

import (
	"math/bits"
	"sort"
	"time"

	"google.golang.org/protobuf/proto"

	membershippb "github.com/sloelift/sloelift/api/proto/membership"
)

// newsQueue holds the members whose last change is still being passed on, each with
// the number of times it went out.
type newsQueue struct {
	sent map[NodeID]int
}

func newNewsQueue() *newsQueue { return &newsQueue{sent: make(map[NodeID]int)} }

// add starts passing on the member's present record.
func (q *newsQueue) add(id NodeID) { q.sent[id] = 0 }

// remove stops passing on a member that is forgotten.
func (q *newsQueue) remove(id NodeID) { delete(q.sent, id) }

// retransmissions is how often each node passes one piece of news on among that many
// members; what this misses, digests bring.
func retransmissions(members int) int { return bits.Len(uint(members)) }

// take returns records for one message: first what contradicts the addressee, which
// it should refute, then what went out least often, up to newsBytes.
func (q *newsQueue) take(addressee NodeID, records map[NodeID]*record, now time.Time) []*membershippb.Record {
	var taken []*membershippb.Record
	room := newsBytes
	if own := records[addressee]; own != nil && (own.State == Suspect || own.State == Dead) {
		taken = append(taken, own.encode(now))
		room -= proto.Size(taken[0])
	}
	if len(q.sent) == 0 {
		return taken
	}
	limit := retransmissions(len(records))
	for _, id := range q.leastSent() {
		held := records[id]
		if id == addressee || held == nil {
			continue
		}
		wire := held.encode(now)
		if room -= proto.Size(wire); room < 0 {
			break
		}
		taken = append(taken, wire)
		if q.sent[id]++; q.sent[id] >= limit {
			delete(q.sent, id)
		}
	}
	return taken
}

func (q *newsQueue) leastSent() []NodeID {
	ids := make([]NodeID, 0, len(q.sent))
	for id := range q.sent {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool {
		if q.sent[ids[i]] != q.sent[ids[j]] {
			return q.sent[ids[i]] < q.sent[ids[j]]
		}
		return ids[i] < ids[j]
	})
	return ids
}

package membership

import (
	"math/bits"
	"time"

	"google.golang.org/protobuf/proto"

	membershippb "github.com/sloelift/sloelift/api/proto/membership"
)

// newsQueue holds the members whose last change is still being passed on, each with
// the number of times it went out.
type newsQueue struct {
	sent map[NodeID]int
	// bySent[n] holds the members whose change went out n times, oldest first. An entry
	// whose member has another number in sent by now is out of date.
	bySent [][]NodeID
}

func newNewsQueue() *newsQueue { return &newsQueue{sent: make(map[NodeID]int)} }

// add starts passing on the member's present record.
func (q *newsQueue) add(id NodeID) {
	if times, queued := q.sent[id]; !queued || times > 0 {
		q.put(id, 0)
	}
}

func (q *newsQueue) put(id NodeID, times int) {
	for len(q.bySent) <= times {
		q.bySent = append(q.bySent, nil)
	}
	q.sent[id] = times
	q.bySent[times] = append(q.bySent[times], id)
}

// remove stops passing on a member that is forgotten.
func (q *newsQueue) remove(id NodeID) { delete(q.sent, id) }

// retransmissions is how often each node passes one piece of news on among that many
// members; what this misses, digests bring.
func retransmissions(members int) int { return bits.Len(uint(members)) }

// parcel is the news of one message as it is put together.
type parcel struct {
	addressee NodeID
	records   map[NodeID]*record
	now       time.Time
	room      int
	full      bool
	taken     []*membershippb.Record
}

// add puts a record in unless it does not fit any more.
func (p *parcel) add(held *record) {
	wire := held.encode(p.now)
	size := proto.Size(wire)
	if p.full = size > p.room; !p.full {
		p.room -= size
		p.taken = append(p.taken, wire)
	}
}

// take returns records for one message: first what contradicts the addressee, which
// it should refute, then what went out least often, up to newsBytes.
func (q *newsQueue) take(addressee NodeID, records map[NodeID]*record, now time.Time) []*membershippb.Record {
	filling := &parcel{addressee: addressee, records: records, now: now, room: newsBytes}
	if own := records[addressee]; own != nil && (own.State == Suspect || own.State == Dead) {
		filling.add(own)
	}
	var out []NodeID
	for times := 0; times < len(q.bySent) && !filling.full; times++ {
		out = append(out, q.fill(filling, times)...)
	}
	limit := retransmissions(len(records))
	for _, id := range out {
		if times := q.sent[id] + 1; times < limit {
			q.put(id, times)
		} else {
			delete(q.sent, id)
		}
	}
	return filling.taken
}

// fill puts in what went out so many times, until the parcel is full, and returns the
// members whose records went in.
func (q *newsQueue) fill(filling *parcel, times int) (out []NodeID) {
	waiting := q.bySent[times]
	var kept []NodeID
	for len(waiting) > 0 && !filling.full {
		id := waiting[0]
		held := filling.records[id]
		current, queued := q.sent[id]
		switch {
		case !queued || current != times || held == nil:
			waiting = waiting[1:]
		case id == filling.addressee:
			// It knows; others still have to hear.
			kept = append(kept, id)
			waiting = waiting[1:]
		default:
			if filling.add(held); !filling.full {
				waiting = waiting[1:]
				out = append(out, id)
			}
		}
	}
	q.bySent[times] = append(waiting, kept...)
	return out
}

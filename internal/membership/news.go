package membership

import (
	"math/bits"
	"time"

	"google.golang.org/protobuf/proto"

	membershippb "github.com/sloelift/sloelift/api/proto/membership"
)

// newsQueue holds the members whose latest change is still being passed on, with the number of
// times that it was sent.
type newsQueue struct {
	sent map[NodeID]int
	// bySent[n] holds the members whose change was sent n times, oldest first. An entry is out of
	// date if sent has another number for its member.
	bySent [][]NodeID
}

func newNewsQueue() *newsQueue { return &newsQueue{sent: make(map[NodeID]int)} }

// add queues the member's current record.
func (q *newsQueue) add(id NodeID) {
	if times, queued := q.sent[id]; !queued || times > 0 {
		q.enqueue(id, 0)
	}
}

func (q *newsQueue) enqueue(id NodeID, times int) {
	for len(q.bySent) <= times {
		q.bySent = append(q.bySent, nil)
	}
	q.sent[id] = times
	q.bySent[times] = append(q.bySent[times], id)
}

// remove drops a member that is no longer kept.
func (q *newsQueue) remove(id NodeID) { delete(q.sent, id) }

// retransmissions returns how often each node sends one change, given the number of members. Nodes
// that it misses learn of the change from digests.
func retransmissions(members int) int { return bits.Len(uint(members)) }

// newsBuilder collects the news of one message.
type newsBuilder struct {
	receiver       NodeID
	known          map[NodeID]*record
	now            time.Time
	remainingBytes int
	full           bool
	news           []*membershippb.Record
}

// add appends a record unless it exceeds the remaining bytes; then full is set.
func (b *newsBuilder) add(member *record) {
	wire := member.encode(b.now)
	size := proto.Size(wire)
	if b.full = size > b.remainingBytes; !b.full {
		b.remainingBytes -= size
		b.news = append(b.news, wire)
	}
}

// take returns the records for one message, up to maxNewsBytes: first a suspicion or death of the
// addressee, which it should refute, then the records that were sent least often.
func (q *newsQueue) take(addressee NodeID, records map[NodeID]*record, now time.Time) []*membershippb.Record {
	builder := &newsBuilder{receiver: addressee, known: records, now: now, remainingBytes: maxNewsBytes}
	if own := records[addressee]; own != nil && (own.State == Suspect || own.State == Dead) {
		builder.add(own)
	}
	var out []NodeID
	for times := 0; times < len(q.bySent) && !builder.full; times++ {
		out = append(out, q.fill(builder, times)...)
	}
	limit := retransmissions(len(records))
	for _, id := range out {
		if times := q.sent[id] + 1; times < limit {
			q.enqueue(id, times)
		} else {
			delete(q.sent, id)
		}
	}
	return builder.news
}

// fill adds the records that were sent the given number of times until the message is full, and
// returns the members whose records were added.
func (q *newsQueue) fill(builder *newsBuilder, times int) (out []NodeID) {
	waiting := q.bySent[times]
	var kept []NodeID
	for len(waiting) > 0 && !builder.full {
		id := waiting[0]
		member := builder.known[id]
		current, queued := q.sent[id]
		switch {
		case !queued || current != times || member == nil:
			waiting = waiting[1:]
		case id == builder.receiver:
			// The addressee knows its own state; the record stays queued for others.
			kept = append(kept, id)
			waiting = waiting[1:]
		default:
			if builder.add(member); !builder.full {
				waiting = waiting[1:]
				out = append(out, id)
			}
		}
	}
	q.bySent[times] = append(waiting, kept...)
	return out
}

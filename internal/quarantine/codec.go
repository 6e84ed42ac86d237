package quarantine

import (
	"time"

	quarantinepb "github.com/sloelift/sloelift/api/proto/quarantine"
	"github.com/sloelift/sloelift/internal/replica"
)

// encodeHead returns an incident as it is sent, without its suspects.
func encodeHead(of *incident, now time.Time) *quarantinepb.Incident {
	return &quarantinepb.Incident{Replica: uint64(of.replica), AgeMillis: uint64(max(0, now.Sub(of.learned)).Milliseconds()), TimeAssumed: of.timeAssumed, Service: of.service}
}

// encode returns an incident as it is sent.
func encode(of *incident, now time.Time) *quarantinepb.Incident {
	encoded := encodeHead(of, now)
	for key, each := range of.suspects {
		encoded.Suspects = append(encoded.Suspects, encodeSuspect(key, each))
	}
	return encoded
}

func encodeSuspect(key Key, of *suspect) *quarantinepb.Suspect {
	encoded := &quarantinepb.Suspect{Message: key[:], RanMillis: uint32(of.ran.Milliseconds()), Cleared: of.cleared, Granted: of.granted, Reached: uint32(of.reached), Unseen: of.unseen, Item: of.item}
	switch {
	case of.progressed:
		encoded.Progress = quarantinepb.Progress_PROGRESS_MADE
	case of.reachedKnown:
		encoded.Progress = quarantinepb.Progress_PROGRESS_NONE
	}
	return encoded
}

// decodeSuspect returns a suspect that another node knows of. Nodes of other builds do not say what the run had made: then it speaks no more strongly against
// the message than a run that nobody saw.
func decodeSuspect(doubt *quarantinepb.Suspect) suspect {
	decoded := suspect{
		ran: time.Duration(doubt.RanMillis) * time.Millisecond, cleared: doubt.Cleared, granted: doubt.Granted, unseen: doubt.Unseen, origin: originShared,
		item:       doubt.Item,
		progressed: doubt.Progress == quarantinepb.Progress_PROGRESS_MADE, reached: int(doubt.Reached),
		reachedKnown: doubt.Progress != quarantinepb.Progress_PROGRESS_UNSPECIFIED,
	}
	if doubt.Progress == quarantinepb.Progress_PROGRESS_UNSPECIFIED {
		decoded.ran = max(decoded.ran, unseenRun)
	}
	return decoded
}

// all returns the whole book as it is sent.
func (b *book) all(now time.Time) []*quarantinepb.Incident {
	encoded := make([]*quarantinepb.Incident, 0, len(b.incidents))
	for _, each := range b.incidents {
		encoded = append(encoded, encode(each, now))
	}
	return encoded
}

// of returns the incidents of one message, with all that ran beside it: alone it would seem to be the cause.
func (b *book) of(message Key, now time.Time) []*quarantinepb.Incident {
	var encoded []*quarantinepb.Incident
	for _, each := range b.byMessage[message] {
		encoded = append(encoded, encode(each, now))
	}
	return encoded
}

// join takes in incidents of another node; it returns the messages of which something is new.
func (b *book) join(encoded []*quarantinepb.Incident, now time.Time) []Key {
	var changed []Key
	for _, each := range encoded {
		age := time.Duration(min(each.AgeMillis, uint64(remember.Milliseconds()))) * time.Millisecond
		if age >= remember {
			continue
		}
		for _, doubt := range each.Suspects {
			key, valid := decodeKey(doubt.Message)
			if valid && b.addSuspect(b.incidentAt(replica.Key(each.Replica), now.Add(-age), each.TimeAssumed), key, decodeSuspect(doubt)) {
				changed = append(changed, key)
			}
		}
		b.noteService(replica.Key(each.Replica), each.Service)
	}
	return changed
}

func decodeKey(encoded []byte) (key Key, valid bool) {
	if len(encoded) != len(key) {
		return key, false
	}
	return Key(encoded), true
}

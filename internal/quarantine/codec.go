package quarantine

import (
	"maps"
	"slices"
	"time"

	quarantinepb "github.com/sloelift/sloelift/api/proto/quarantine"
	"github.com/sloelift/sloelift/internal/replica"
)

// encodeIncidentHead returns the wire form of an incident without its suspects.
func encodeIncidentHead(end *incident, now time.Time) *quarantinepb.Incident {
	return &quarantinepb.Incident{
		Replica:     uint64(end.replica),
		AgeMillis:   uint64(max(0, now.Sub(end.learnedAt)).Milliseconds()),
		TimeAssumed: end.timeAssumed,
		Service:     end.service,
	}
}

// encodeIncident returns the wire form of an incident with its suspects.
func encodeIncident(end *incident, now time.Time) *quarantinepb.Incident {
	encoded := encodeIncidentHead(end, now)
	for key, suspected := range end.suspects {
		encoded.Suspects = append(encoded.Suspects, encodeSuspect(key, suspected))
	}
	for part, suspected := range end.parts {
		encoded.Parts = append(encoded.Parts, encodePart(part, suspected))
	}
	return encoded
}

func encodePart(part Key, suspected *partSuspect) *quarantinepb.Part {
	return &quarantinepb.Part{
		Key: part[:], Message: suspected.message, Position: uint32(suspected.position), Cleared: suspected.cleared,
	}
}

func decodePart(encoded *quarantinepb.Part) partSuspect {
	return partSuspect{message: encoded.Message, position: int(encoded.Position), cleared: encoded.Cleared}
}

func encodeSuspect(key Key, suspected *suspect) *quarantinepb.Suspect {
	encoded := &quarantinepb.Suspect{
		Message:   key[:],
		RanMillis: uint32(suspected.runDuration.Milliseconds()),
		Cleared:   suspected.cleared(),
		Granted:   suspected.granted,
		Reached:   uint32(suspected.reached),
		Unseen:    suspected.unseen,
		Item:      suspected.item,
		Deciding:  suspected.deciding,
		Retry:     suspected.retry,

		ClearedUpTo:        uint32(suspected.clearedUpTo),
		ClearedUnqualified: suspected.clearedUnqualified,
		Expired:            suspected.expired,
	}
	switch {
	case suspected.progressed:
		encoded.Progress = quarantinepb.Progress_PROGRESS_MADE
	case suspected.reachedKnown:
		encoded.Progress = quarantinepb.Progress_PROGRESS_NONE
	}
	return encoded
}

// decodeSuspect returns a suspect received from another node. Nodes of older builds do not send the progress of a run;
// its end is then no stronger evidence than that of an unobserved run.
func decodeSuspect(encoded *quarantinepb.Suspect) suspect {
	decoded := suspect{
		runDuration:  time.Duration(encoded.RanMillis) * time.Millisecond,
		granted:      encoded.Granted,
		unseen:       encoded.Unseen,
		origin:       originShared,
		item:         encoded.Item,
		deciding:     encoded.Deciding,
		retry:        encoded.Retry,
		progressed:   encoded.Progress == quarantinepb.Progress_PROGRESS_MADE,
		reached:      int(encoded.Reached),
		reachedKnown: encoded.Progress != quarantinepb.Progress_PROGRESS_UNSPECIFIED,

		clearedUpTo:        int(encoded.ClearedUpTo),
		clearedUnqualified: encoded.ClearedUnqualified,
		expired:            encoded.Expired,
	}
	if encoded.Cleared && encoded.ClearedUpTo == 0 && !encoded.ClearedUnqualified {
		decoded.clearAsOlderBuild()
	}
	if encoded.Progress == quarantinepb.Progress_PROGRESS_UNSPECIFIED {
		decoded.runDuration = max(decoded.runDuration, unseenRunDuration)
	}
	return decoded
}

// clearAsOlderBuild marks a suspect that a node of an older build has cleared. Such a node does not tell up to which point:
// at least up to that of the run, if it reports one.
func (s *suspect) clearAsOlderBuild() {
	if s.reachedKnown {
		s.clearedUpTo = s.reached + progressMarginEvents + 1
		return
	}
	s.clearedUnqualified = true
}

// encodeAll returns the wire form of all incidents.
func (e *evidenceStore) encodeAll(now time.Time) []*quarantinepb.Incident {
	encoded := make([]*quarantinepb.Incident, 0, len(e.incidents))
	for _, end := range e.incidents {
		encoded = append(encoded, encodeIncident(end, now))
	}
	return encoded
}

// encodeIncidents returns the wire form of one message's incidents. They include the other suspects: without them the
// message would look like the only possible cause.
func (e *evidenceStore) encodeIncidents(message Key, now time.Time) []*quarantinepb.Incident {
	var encoded []*quarantinepb.Incident
	for _, end := range e.byMessage[message] {
		encoded = append(encoded, encodeIncident(end, now))
	}
	return encoded
}

// join merges incidents received from another node and returns the messages for which anything changed.
func (e *evidenceStore) join(encoded []*quarantinepb.Incident, now time.Time) []Key {
	var changed []Key
	for _, end := range encoded {
		age := time.Duration(min(end.AgeMillis, uint64(retention.Milliseconds()))) * time.Millisecond
		if age < retention {
			changed = append(changed, e.joinIncident(end, now.Add(-age))...)
		}
	}
	return changed
}

// joinIncident merges one incident that another node learned of at the given time, and returns the messages for which
// anything changed: all that ran at the replica if the time of the incident changed.
func (e *evidenceStore) joinIncident(encoded *quarantinepb.Incident, learnedAt time.Time) []Key {
	var changed []Key
	ended := replica.Key(encoded.Replica)
	if known := e.incidents[ended]; known != nil && known.correctTime(learnedAt, encoded.TimeAssumed) {
		changed = slices.AppendSeq(slices.Collect(maps.Keys(known.suspects)), maps.Keys(known.parts))
	}
	for _, suspected := range encoded.Suspects {
		key, valid := decodeKey(suspected.Message)
		if valid && e.addSuspect(e.incidentFor(ended, learnedAt, encoded.TimeAssumed), key, decodeSuspect(suspected)) {
			changed = append(changed, key)
		}
	}
	for _, part := range encoded.Parts {
		key, valid := decodeKey(part.Key)
		if valid && e.addPart(e.incidentFor(ended, learnedAt, encoded.TimeAssumed), key, decodePart(part)) {
			changed = append(changed, key)
		}
	}
	e.setService(ended, encoded.Service)
	return changed
}

// decodeKey returns the key in its wire form; valid is false if the length is wrong.
func decodeKey(encoded []byte) (key Key, valid bool) {
	if len(encoded) != len(key) {
		return key, false
	}
	return Key(encoded), true
}

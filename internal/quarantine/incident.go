package quarantine

import (
	"time"

	"github.com/sloelift/sloelift/internal/replica"
)

// incident is the end of one incarnation of a replica.
type incident struct {
	replica replica.Key
	// learnedAt is when the end of the replica was found: the earliest time that any node reported. A node that was paused
	// finds an end, or reads of it, later than it happened.
	learnedAt time.Time
	// timeAssumed reports that no known node observed the time of the end; learnedAt is then an estimate.
	timeAssumed bool
	// service is the service of the replica; empty if unknown.
	service  string
	suspects map[Key]*suspect
	// openSuspects is the number of suspects that are not cleared.
	openSuspects int
	// parts holds the shared parts of the prompts that ran there without having begun to answer.
	parts map[Key]*partSuspect
}

// correctTime merges a reported time of the incident and returns whether its time changed. An observed time replaces an
// assumed one; of two times of the same kind the earlier one is kept, whichever arrives first. Differences below the
// resolution of the messages are ignored.
func (i *incident) correctTime(learnedAt time.Time, timeAssumed bool) bool {
	switch {
	case timeAssumed && !i.timeAssumed:
		return false
	case timeAssumed == i.timeAssumed && i.learnedAt.Sub(learnedAt) < ageResolution:
		return false
	}
	i.learnedAt, i.timeAssumed = learnedAt, timeAssumed
	return true
}

// replaceSuspect replaces what is known of a suspect of the incident.
func (i *incident) replaceSuspect(message Key, replacement suspect) {
	existing := i.suspects[message]
	if !existing.cleared() {
		i.openSuspects--
	}
	if !replacement.cleared() {
		i.openSuspects++
	}
	*existing = replacement
}

// clear marks a suspect as not responsible for the incident up to the given number of events.
func (i *incident) clear(message Key, events int) {
	cleared := *i.suspects[message]
	cleared.clearedUpTo = max(cleared.clearedUpTo, events)
	i.replaceSuspect(message, cleared)
}

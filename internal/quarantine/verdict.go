package quarantine

import (
	"fmt"
	"slices"
	"time"
)

const (
	// mostEnded is the number of replicas that may end under one message.
	mostEnded = 3
	// enoughEnded is the number from which on a message is rejected that alone explains them.
	enoughEnded = 2
	// enoughEvidence is the least that speaks against such a message, where an end weighs 1, shared by all that ran there: as much as one end
	// beside one other. A long item that ran beside ten at each of two ends is there by chance more often than not.
	enoughEvidence = 0.5
	// sameCause is the time within which replicas that end are taken to have ended together: a crash that strikes several, or a message
	// that was at several when it was not suspected yet.
	sameCause = 30 * time.Millisecond
	// massCrash is the number of replicas from which on such a crash has a cause of its own.
	massCrash = 3
	// shortRun is the length of a run up to which the end of its replica speaks strongly against the message: what ends a replica does so
	// when it is read or soon after, while a long run is likely to be there at any replica's end.
	shortRun = 2 * time.Second
	// passedBy is the number of events by which an answer must have come further than where an earlier run ended, for that point not to be what ended
	// its replica: the last events of a run are lost with the connection.
	passedBy = 16
	// mostEndedInAll is the number of replicas that may end under a message which comes further with each of them.
	mostEndedInAll = 2 * mostEnded
	// leastDifference is the least difference of two weights that counts: sums of the same fractions differ by their rounding.
	leastDifference = 1e-9
)

// verdict says what is known of a message.
func (b *book) verdict(message Key) Verdict {
	if _, recalled := b.recalled[message]; recalled {
		return Rejected
	}
	lost, unseen := b.losses.open(message), b.unseenEnds(message)
	switch ends := b.verdictOnEnds(message); {
	case ends == Rejected, lost+unseen > 0 && b.unfinished(message) >= mostUnfinished:
		return Rejected
	case lost >= lossesApart, unseen > 0:
		return Apart
	default:
		return ends
	}
}

// verdictOnEnds says what follows from the replicas that ended.
func (b *book) verdictOnEnds(message Key) Verdict {
	if len(b.byMessage[message]) == 0 {
		return Allowed
	}
	ended, runs := b.count(message), b.runsEnded(message)
	switch {
	case b.endedInAll(message, mostEndedInAll):
		return Rejected
	case ended >= mostEnded && (!runs.ofItems || runs.granted):
		return Rejected
	case !runs.ofItems && b.explains(message):
		return Rejected
	case ended >= enoughEnded, ended > 0 && !runs.cameOn:
		return Apart
	default:
		return Allowed
	}
}

// runsEnded is what the runs of a message have in common whose replicas ended, as far as they speak against it.
type runsEnded struct {
	// ofItems says that all of them were runs of items. Such ends may be by chance, however many there are, unless the last run was made when that is unlikely.
	ofItems bool
	// granted says that one of them ran apart.
	granted bool
	// cameOn says that all of them were runs of items that were long and had made events.
	cameOn bool
}

func (b *book) runsEnded(message Key) runsEnded {
	found := runsEnded{ofItems: true, cameOn: true}
	for _, each := range b.byMessage[message] {
		doubt := each.suspects[message]
		if doubt.cleared || doubt.unseen || b.passed(message, each) {
			continue
		}
		found.ofItems = found.ofItems && doubt.item
		found.granted = found.granted || doubt.granted
		found.cameOn = found.cameOn && doubt.item && doubt.progressed && doubt.ran > shortRun
	}
	return found
}

// lastRun says that the message is rejected if its next run ends one more replica.
func (b *book) lastRun(message Key) bool {
	return b.count(message)+1 >= mostEnded || b.endedInAll(message, mostEndedInAll-1) || b.unfinished(message)+1 >= mostUnfinished
}

// strong returns the incidents that speak strongly against a message: each soon after it came there, before it had made anything, and at a time of its own.
// A run that made events is likely to be there by chance: what ends a replica mostly does so when it is read.
func (b *book) strong(message Key) []*incident {
	var found []*incident
	for _, each := range b.against(message) {
		if doubt := each.suspects[message]; doubt.ran > shortRun || doubt.progressed {
			continue
		}
		if last := len(found) - 1; last >= 0 && each.learned.Sub(found[last].learned) < sameCause {
			continue
		}
		found = append(found, each)
	}
	return found
}

// weight is what speaks against a message: each incident is one, shared by the messages that ran there.
func (b *book) weight(message Key) float64 {
	weight := 0.0
	for _, each := range b.byMessage[message] {
		if !each.suspects[message].cleared && !b.passed(message, each) {
			weight += 1 / float64(each.open)
		}
	}
	return weight
}

// foremost says that more speaks against the message than against any other that ran there.
func (b *book) foremost(message Key, in *incident) bool {
	weight := b.weight(message)
	for other, doubt := range in.suspects {
		if other != message && !doubt.cleared && b.weight(other) >= weight-leastDifference {
			return false
		}
	}
	return true
}

// explains says that the message alone accounts for several ends of replicas.
func (b *book) explains(message Key) bool {
	foremost, evidence := 0, 0.0
	for _, each := range b.strong(message) {
		if b.foremost(message, each) {
			foremost++
			evidence += 1 / float64(each.open)
		}
	}
	return foremost >= enoughEnded && evidence >= enoughEvidence
}

// doubtful says that several replicas ended under the message when it ran apart: then what another message explains may be of this one as
// well.
func (b *book) doubtful(message Key) bool {
	apart := 0
	for _, each := range b.byMessage[message] {
		if doubt := each.suspects[message]; doubt.granted && !doubt.cleared && !b.passed(message, each) {
			apart++
		}
	}
	return apart >= enoughEnded
}

// passed says that the message's answer has come further than where it was when the replica ended. The point at which that run ended is not what ended its
// replica, since a further run went on there.
func (b *book) passed(message Key, in *incident) bool {
	ended := in.suspects[message]
	for _, each := range b.byMessage[message] {
		if doubt := each.suspects[message]; doubt.progressed && ended.passedAt(doubt.reached) {
			return true
		}
	}
	return false
}

// against returns the incidents that speak against a message, in the order of time: those whose point its answer has passed do not.
func (b *book) against(message Key) []*incident {
	return slices.DeleteFunc(b.open(message), func(each *incident) bool { return b.passed(message, each) })
}

// count returns the number of replicas that ended under the message, without those that do not speak against it, those whose end another message
// explains and those that nobody saw: what the run had made there is not known, so that it counts like a loss.
func (b *book) count(message Key) int {
	seen := slices.DeleteFunc(b.against(message), func(each *incident) bool { return each.suspects[message].unseen })
	return b.countEnds(message, seen)
}

// unseenEnds returns the number of replicas that ended under the message while nobody saw how its run ended.
func (b *book) unseenEnds(message Key) int {
	count := 0
	for _, each := range b.byMessage[message] {
		if doubt := each.suspects[message]; doubt.unseen && !doubt.cleared && !b.passed(message, each) {
			count++
		}
	}
	return count
}

// endedInAll says that at least so many replicas ended under the message, those whose point its answer has passed among them. Most messages have fewer ends of
// any kind, which need not be weighed.
func (b *book) endedInAll(message Key, least int) bool {
	return len(b.byMessage[message]) >= least && b.countEnds(message, b.open(message)) >= least
}

// countEnds counts incidents of a message, which are in the order of time. Of a crash that struck many replicas together, the message at some of them only, one
// counts.
func (b *book) countEnds(message Key, open []*incident) int {
	doubtful := b.doubtful(message)
	ended := 0
	for index := 0; index < len(open); {
		together := b.together(open[index])
		mine := 0
		for index < len(open) && slices.Contains(together, open[index]) {
			if doubtful || !b.explained(open[index], message) {
				mine++
			}
			index++
		}
		if len(together) >= massCrash && mine < len(together) {
			mine = min(mine, 1)
		}
		ended += mine
	}
	return ended
}

// together returns first and the incidents that were learned of within sameCause before or after it.
func (b *book) together(first *incident) []*incident {
	var found []*incident
	for _, each := range b.incidents {
		if span := each.learned.Sub(first.learned).Abs(); each == first || span < sameCause {
			found = append(found, each)
		}
	}
	return found
}

// unfinished counts the runs of a message that may each have ended a replica: those whose replica was found to have ended, and those that were lost.
func (b *book) unfinished(message Key) int {
	return len(b.against(message)) + b.losses.open(message)
}

// explained says that another message than the given one accounts for the incident.
func (b *book) explained(of *incident, except Key) bool {
	for other, doubt := range of.suspects {
		if other != except && !doubt.cleared && len(b.byMessage[other]) >= enoughEnded && b.foremost(other, of) && b.explains(other) {
			return true
		}
	}
	return false
}

// evidence lists the ends of replicas that speak against a message, for the log.
func (b *book) evidence(message Key, now time.Time) []string {
	var listed []string
	for _, each := range b.open(message) {
		doubt := each.suspects[message]
		listed = append(listed, fmt.Sprintf("%016x age=%s ran=%s together=%d granted=%t progressed=%t reached=%d passed=%t %s", uint64(each.replica),
			now.Sub(each.learned).Round(time.Millisecond), doubt.ran, len(each.suspects), doubt.granted, doubt.progressed, doubt.reached, b.passed(message, each), doubt.origin))
	}
	return listed
}

// counts returns the numbers of messages that are suspected and rejected.
func (b *book) counts() (suspected, rejected int) {
	for message := range b.known() {
		switch b.verdict(message) {
		case Apart:
			suspected++
		case Rejected:
			rejected++
		}
	}
	return suspected, rejected
}

// known returns the messages of which something is known.
func (b *book) known() map[Key]bool {
	found := map[Key]bool{}
	for message := range b.byMessage {
		found[message] = true
	}
	for message := range b.losses {
		found[message] = true
	}
	for message := range b.recalled {
		found[message] = true
	}
	return found
}

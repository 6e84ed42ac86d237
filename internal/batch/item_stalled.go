package batch

import (
	"time"

	"github.com/sloelift/sloelift/internal/logging"
	"github.com/sloelift/sloelift/internal/quarantine"
)

const (
	// stalledAfter is how long an item of an open job may make nothing before it is reported, and the time between two reports.
	stalledAfter = 5 * time.Second
)

// standing says why an item makes nothing at the moment.
type standing string

const (
	// standingWaiting items wait for room, for their turn, or out a pause.
	standingWaiting standing = "waiting"
	// standingSuspected items wait for a run apart, since replicas ended under their message.
	standingSuspected standing = "suspected"
	// standingHeldBack items are sent to no replica, since their message is rejected.
	standingHeldBack standing = "held_back"
	// standingAtReplica items were sent, and no event has come.
	standingAtReplica standing = "at_replica"
	// standingRecording items wait until a record about them is durable.
	standingRecording standing = "recording"
)

var standings = []standing{standingWaiting, standingSuspected, standingHeldBack, standingAtReplica, standingRecording}

// stalledItem is an unlisted item of an open job that has made nothing for a while.
type stalledItem struct {
	key      itemKey
	standing standing
	lasted   time.Duration
	run      itemRun
}

// stalledItems are those of a partition.
type stalledItems struct {
	counts  map[standing]int
	longest stalledItem
}

// stalled returns the items that have made nothing for stalledAfter.
func (p *partition) stalled() stalledItems {
	found := stalledItems{counts: map[standing]int{}}
	p.mutex.RLock()
	defer p.mutex.RUnlock()
	for _, owner := range p.state.order {
		if !owner.open() {
			continue
		}
		for number := range owner.items {
			if owner.items[number].listed {
				continue
			}
			key := itemKey{job: owner.submission.JobId, number: number}
			if lasted := p.stalledFor(owner, key); lasted >= stalledAfter {
				found.add(p.stalledItem(key, lasted))
			}
		}
	}
	return found
}

func (s *stalledItems) add(each stalledItem) {
	s.counts[each.standing]++
	if each.lasted > s.longest.lasted {
		s.longest = each
	}
}

// stalledFor is the time since an item made something here, or since this owner has it. The mutex is held.
func (p *partition) stalledFor(owner *job, key itemKey) time.Duration {
	now := p.elapsed()
	if run := p.runs[key]; run != nil && run.progressAt > 0 {
		return now - run.progressAt
	}
	return min(now, p.now().Sub(time.UnixMilli(owner.acceptedAt)))
}

// stalledItem says why an item makes nothing. The mutex is held.
func (p *partition) stalledItem(key itemKey, lasted time.Duration) stalledItem {
	found := stalledItem{key: key, standing: standingWaiting, lasted: lasted}
	run := p.runs[key]
	if run == nil {
		return found
	}
	found.run = *run
	switch {
	case run.atReplica:
		found.standing = standingAtReplica
	case run.running:
		found.standing = standingRecording
	default:
		found.standing = p.standingOf(run.message)
	}
	return found
}

// standingOf says what keeps a message that is not at a replica from being sent.
func (p *partition) standingOf(message quarantine.Key) standing {
	register := p.service.options.Quarantine
	if register == nil || message == (quarantine.Key{}) {
		return standingWaiting
	}
	switch register.Check(message) {
	case quarantine.Rejected:
		return standingHeldBack
	case quarantine.Apart:
		return standingSuspected
	default:
		return standingWaiting
	}
}

// reportStalled logs how many items make nothing, and the one that has for longest: what to look at where a job does not come to its end.
func (p *partition) reportStalled() {
	found := p.stalled()
	if len(found.counts) == 0 {
		return
	}
	event := p.logger.Info()
	for _, each := range standings {
		event.Int(string(each), found.counts[each])
	}
	longest := found.longest
	event.Str(logging.FieldJob, longest.key.job).Int("item", longest.key.number).Str(logging.FieldReason, string(longest.standing)).
		Dur("lasted", longest.lasted).Int("begins", longest.run.begins).Int("crashes", longest.run.crashes).Int("made_bytes", len(longest.run.text)).
		Stringer("digest", longest.run.message).Msg("items_stalled")
}

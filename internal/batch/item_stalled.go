package batch

import (
	"time"

	"github.com/sloelift/sloelift/internal/logging"
	"github.com/sloelift/sloelift/internal/quarantine"
)

// stalledAfter is how long an item of an open job may make no progress before it is reported, and the interval between two reports.
const stalledAfter = 5 * time.Second

// stallReason is why an item makes no progress at the moment.
type stallReason string

const (
	// stalledWaiting items wait for room, for their turn, or for the end of a pause.
	stalledWaiting stallReason = "waiting"
	// stalledSuspected items wait for a run apart, since replicas ended under their message.
	stalledSuspected stallReason = "suspected"
	// stalledDeferred items wait for their deciding run until their services are stable.
	stalledDeferred stallReason = "deferred"
	// stalledHeldBack items are sent to no replica, since their message is rejected.
	stalledHeldBack stallReason = "held_back"
	// stalledAtReplica items were sent, and no event was received.
	stalledAtReplica stallReason = "at_replica"
	// stalledRecording items wait until a record about them is durable.
	stalledRecording stallReason = "recording"
)

var stallReasons = []stallReason{stalledWaiting, stalledSuspected, stalledDeferred, stalledHeldBack, stalledAtReplica, stalledRecording}

// stalledItem is an unlisted item of an open job that has made no progress for at least stalledAfter.
type stalledItem struct {
	key      itemKey
	reason   stallReason
	duration time.Duration
	run      itemRun
}

// stalledItems summarizes the stalled items of a partition.
type stalledItems struct {
	byReason map[stallReason]int
	longest  stalledItem
}

// stalled returns the items that have made no progress for stalledAfter, among the maxScanned that were accepted first.
func (p *partition) stalled() stalledItems {
	found := stalledItems{byReason: map[stallReason]int{}}
	scanned := 0
	p.mutex.RLock()
	defer p.mutex.RUnlock()
	for _, job := range p.state.order {
		if !job.open() {
			continue
		}
		for number := range job.items {
			if job.items[number].listed {
				continue
			}
			if scanned++; scanned > maxScanned {
				return found
			}
			key := itemKey{job: job.submission.JobId, number: number}
			if lasted := p.stalledFor(job, key); lasted >= stalledAfter {
				found.add(p.stalledItem(key, lasted))
			}
		}
	}
	return found
}

func (s *stalledItems) add(item stalledItem) {
	s.byReason[item.reason]++
	if item.duration > s.longest.duration {
		s.longest = item
	}
}

// stalledFor returns the time since the item's last progress at this owner; without any, since its job was accepted or this owner
// started. The mutex is held.
func (p *partition) stalledFor(job *jobState, key itemKey) time.Duration {
	now := p.elapsed()
	if run := p.runs[key]; run != nil && run.progressAt > 0 {
		return now - run.progressAt
	}
	return min(now, p.now().Sub(time.UnixMilli(job.acceptedAt)))
}

// stalledItem determines why an item makes no progress. The mutex is held.
func (p *partition) stalledItem(key itemKey, lasted time.Duration) stalledItem {
	found := stalledItem{key: key, reason: stalledWaiting, duration: lasted}
	run := p.runs[key]
	if run == nil {
		return found
	}
	found.run = *run
	switch {
	case run.atReplica:
		found.reason = stalledAtReplica
	case run.running:
		found.reason = stalledRecording
	default:
		found.reason = p.stallReasonOf(run.message)
	}
	return found
}

// stallReasonOf returns what keeps a message that is not at a replica from being sent.
func (p *partition) stallReasonOf(message quarantine.Key) stallReason {
	register := p.service.options.Quarantine
	if register == nil || message == (quarantine.Key{}) {
		return stalledWaiting
	}
	switch register.Check(message) {
	case quarantine.Rejected:
		return stalledHeldBack
	case quarantine.Apart:
		if register.NextEndRejects(message) {
			return stalledDeferred
		}
		return stalledSuspected
	default:
		return stalledWaiting
	}
}

// reportStalled logs the number of stalled items by reason, and the item stalled for longest, as a starting point when a job does
// not finish.
func (p *partition) reportStalled() {
	found := p.stalled()
	if len(found.byReason) == 0 {
		return
	}
	event := p.logger.Info()
	for _, reason := range stallReasons {
		event.Int(string(reason), found.byReason[reason])
	}
	longest := found.longest
	event.Str(logging.FieldJob, longest.key.job).Int("item", longest.key.number).Str(logging.FieldReason, string(longest.reason)).
		Dur("lasted", longest.duration).Int("begins", longest.run.attempts).Int("crashes", longest.run.crashes).Int("made_bytes", len(longest.run.text)).
		Stringer("digest", longest.run.message).Msg("items_stalled")
}

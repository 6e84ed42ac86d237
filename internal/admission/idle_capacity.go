package admission

import (
	"time"

	"github.com/sloelift/sloelift/internal/engine"
	"github.com/sloelift/sloelift/internal/routing"
)

// replicaState is what the home node knows of one replica.
type replicaState struct {
	homedReplica
	report    engine.LoadReport
	hasReport bool
	heardAt   time.Time
	// signals are online starts that the report may not count yet, oldest first.
	signals []onlineSignal
	// out counts credits that were granted and neither released nor lapsed; revoked
	// are those of them that were taken back.
	out     int
	revoked int
	// peaks remembers online load, outPeaks credits out, over a window of time.
	peaks windowMaximum
	// nextStart is when the next new credit may be granted.
	nextStart time.Time
	// prefixes are the prompt beginnings of items granted here, with the time.
	prefixes map[uint64]time.Time
	outPeaks windowMaximum
}

type onlineSignal struct {
	at    time.Time
	count int
}

// online is the number of online requests on the replica: those reported and those
// signalled since the report was measured.
func (r *replicaState) online(options *Options) int {
	measured := routing.MeasuredAt(r.report.MeasuredAt, r.heardAt, options.MaxLag)
	first := 0
	for first < len(r.signals) && r.signals[first].at.Before(measured) {
		first++
	}
	r.signals = r.signals[first:]
	online := r.report.Running - r.report.RunningBatch + r.report.Waiting - r.report.WaitingBatch
	for _, signal := range r.signals {
		online += signal.count
	}
	return max(0, online)
}

// startInterval is the least time between two new credits.
func (r *replicaState) startInterval(options *Options) time.Duration {
	step := time.Duration(r.report.StepMicros) * time.Microsecond
	return min(time.Duration(options.StartSteps)*step, maxStartInterval)
}

// maxStartInterval bounds startInterval where steps are long.
const maxStartInterval = 100 * time.Millisecond

// holds says that the replica should have a prompt beginning in its cache.
func (r *replicaState) holds(now time.Time, prefix uint64, options *Options) bool {
	at, ok := r.prefixes[prefix]
	return ok && prefix != 0 && now.Sub(at) < options.PrefixMemory
}

// reportBacks says whether credits may rest on the last report.
func (r *replicaState) reportBacks(now time.Time, options *Options) bool {
	return !r.lost && r.hasReport && now.Sub(r.heardAt) <= options.ReportMaxAge
}

// foreign is the number of batch requests on the replica that no credit of this home
// accounts for, for instance of a home node before this one.
func (r *replicaState) foreign(now time.Time, options *Options) int {
	return max(0, r.report.RunningBatch+r.report.WaitingBatch-r.outPeaks.value(now, options.MaxLag))
}

// capacity returns how many credits may be out when new ones are granted, and how many
// may stay out before some are taken back.
func (r *replicaState) capacity(now time.Time, options *Options) (grant, keep int) {
	if !r.reportBacks(now, options) {
		return 0, 0
	}
	grant, keep = r.capacityOpen(now, options)
	if r.closed {
		grant = 0
	}
	return grant, keep
}

// capacityOpen is capacity by the policy, for a replica that takes new work.
func (r *replicaState) capacityOpen(now time.Time, options *Options) (grant, keep int) {
	switch options.Policy {
	case routing.PolicyOnlineOnly:
		return 0, 0
	case routing.PolicyFIFO:
		free := r.report.MaxRunning - (r.report.Running - r.report.RunningBatch) -
			(r.report.Waiting - r.report.WaitingBatch) - r.foreign(now, options)
		return max(0, free), r.out
	case routing.PolicyStaticSplit:
		if !routing.ReservedForBatch(r.id, options.StaticBatchPercent) {
			return 0, 0
		}
		return max(0, r.report.MaxRunning-r.foreign(now, options)), r.out
	}
	return r.idle(now, options)
}

// idle is the capacity under the product's own policy.
func (r *replicaState) idle(now time.Time, options *Options) (grant, keep int) {
	online := r.online(options)
	slots := r.report.MaxRunning
	free := slots - online - r.foreign(now, options)
	burst := min(max(0, r.peaks.value(now, options.BurstWindow)-online), percent(slots, options.BurstPercent))
	grantHeadroom := max(1, percent(slots, options.GrantHeadroomPercent), burst)
	keepHeadroom := percent(slots, options.RevokeHeadroomPercent)
	grant = min(free-grantHeadroom, r.batchLimit)
	keep = min(free-keepHeadroom, r.batchLimit)
	if online > 0 {
		grant = min(grant, max(1, percent(slots, options.SharedPercent)))
		keep = min(keep, max(1, percent(slots, options.KeepSharedPercent)))
	}
	return max(0, grant), max(0, keep)
}

func percent(of, share int) int { return of * share / 100 }

// windowMaximum is the greatest value of a changing number within a window of time.
type windowMaximum struct{ notes []windowNote }

// windowNote is a value and the time until which the number is known to have had at
// least that value.
type windowNote struct {
	until time.Time
	value int
}

// note says that the number is value at the given time, which never falls.
func (w *windowMaximum) note(at time.Time, value int) {
	last := len(w.notes) - 1
	if last >= 0 && w.notes[last].value > value {
		w.notes[last].until = at
	}
	for last >= 0 && w.notes[last].value <= value {
		last--
	}
	w.notes = w.notes[:last+1]
	w.notes = append(w.notes, windowNote{until: at, value: value})
}

// value returns the maximum over the window before now; the value noted last still holds.
func (w *windowMaximum) value(now time.Time, window time.Duration) int {
	for len(w.notes) > 1 && now.Sub(w.notes[0].until) > window {
		w.notes = w.notes[1:]
	}
	if len(w.notes) == 0 {
		return 0
	}
	return w.notes[0].value
}

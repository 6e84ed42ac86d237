package admission

import (
	"time"

	"github.com/sloelift/sloelift/internal/engine"
	"github.com/sloelift/sloelift/internal/routing"
)

// replicaState is the home node's view of one replica.
type replicaState struct {
	homedReplica
	report     engine.LoadReport
	hasReport  bool
	receivedAt time.Time
	// signals are online starts that the load report may not include yet, oldest first.
	signals []onlineSignal
	// outstanding counts the credits that were granted and neither released nor expired;
	// revoked counts those among them that were revoked.
	outstanding int
	revoked     int
	// onlinePeak tracks the number of online requests.
	onlinePeak slidingMaximum
	// nextStart is when the next new credit may be granted.
	nextStart time.Time
	// prefixGrantedAt holds the prompt prefixes of granted items, with the time of the last grant.
	prefixGrantedAt map[uint64]time.Time
	// outstandingPeak tracks the number of outstanding credits.
	outstandingPeak slidingMaximum
}

// onlineSignal is a message that count online requests were started on the replica.
type onlineSignal struct {
	at    time.Time
	count int
}

// online returns the number of online requests on the replica: those in the last report plus
// those signalled since it was measured. It discards older signals.
func (r *replicaState) online(options *Options) int {
	measured := routing.MeasuredAt(r.report.MeasuredAt, r.receivedAt, options.MaxLag)
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

// startInterval returns the minimum time between two new credits.
func (r *replicaState) startInterval(options *Options) time.Duration {
	step := time.Duration(r.report.StepMicros) * time.Microsecond
	return min(time.Duration(options.StartSteps)*step, maxStartInterval)
}

// maxStartInterval bounds startInterval on replicas with long steps.
const maxStartInterval = 100 * time.Millisecond

// hasCachedPrefix reports whether the replica should still have a prompt prefix in its cache.
func (r *replicaState) hasCachedPrefix(now time.Time, prefix uint64, options *Options) bool {
	grantedAt, ok := r.prefixGrantedAt[prefix]
	return ok && prefix != 0 && now.Sub(grantedAt) < options.PrefixMemory
}

// reportUsable reports whether credits may be granted and kept on the basis of the last report.
func (r *replicaState) reportUsable(now time.Time, options *Options) bool {
	return !r.lost && r.hasReport && now.Sub(r.receivedAt) <= options.ReportMaxAge
}

// unaccountedBatch returns the number of batch requests on the replica that hold no credit of
// this home node, for example those granted by a previous one.
func (r *replicaState) unaccountedBatch(now time.Time, options *Options) int {
	return max(0, r.report.RunningBatch+r.report.WaitingBatch-r.outstandingPeak.maximum(now, options.MaxLag))
}

// capacity returns up to how many outstanding credits new ones are granted, and above how many
// credits are revoked.
func (r *replicaState) capacity(now time.Time, options *Options) (grantLimit, keepLimit int) {
	if !r.reportUsable(now, options) {
		return 0, 0
	}
	grantLimit, keepLimit = r.policyCapacity(now, options)
	if r.closed {
		grantLimit = 0
	}
	return grantLimit, keepLimit
}

// policyCapacity returns the capacity under the configured policy, as if the replica were not
// closed.
func (r *replicaState) policyCapacity(now time.Time, options *Options) (grantLimit, keepLimit int) {
	switch options.Policy {
	case routing.PolicyOnlineOnly:
		return 0, 0
	case routing.PolicyFIFO:
		free := r.report.MaxRunning - (r.report.Running - r.report.RunningBatch) -
			(r.report.Waiting - r.report.WaitingBatch) - r.unaccountedBatch(now, options)
		return max(0, free), r.outstanding
	case routing.PolicyStaticSplit:
		if !routing.ReservedForBatch(r.id, options.StaticBatchPercent) {
			return 0, 0
		}
		return max(0, r.report.MaxRunning-r.unaccountedBatch(now, options)), r.outstanding
	}
	return r.idleCapacity(now, options)
}

// idleCapacity returns the capacity under PolicySloelift. It keeps headroom for online requests,
// including the return of a recent burst, and limits batch further on replicas that serve
// online requests.
func (r *replicaState) idleCapacity(now time.Time, options *Options) (grantLimit, keepLimit int) {
	online := r.online(options)
	slots := r.report.MaxRunning
	free := slots - online - r.unaccountedBatch(now, options)
	burst := min(max(0, r.onlinePeak.maximum(now, options.BurstWindow)-online), percent(slots, options.BurstPercent))
	grantHeadroom := max(1, percent(slots, options.GrantHeadroomPercent), burst)
	keepHeadroom := percent(slots, options.RevokeHeadroomPercent)
	grantLimit = min(free-grantHeadroom, r.batchLimit)
	keepLimit = min(free-keepHeadroom, r.batchLimit)
	if online > 0 {
		grantLimit = min(grantLimit, max(1, percent(slots, options.SharedPercent)))
		keepLimit = min(keepLimit, max(1, percent(slots, options.KeepSharedPercent)))
	}
	return max(0, grantLimit), max(0, keepLimit)
}

func percent(total, percentage int) int { return total * percentage / 100 }

// slidingMaximum tracks the maximum of a changing number over a sliding time window. The values
// of its entries decrease.
type slidingMaximum struct{ entries []maximumEntry }

// maximumEntry records that the number was at least value until the given time.
type maximumEntry struct {
	until time.Time
	value int
}

// record sets the number to value. Successive times must not decrease.
func (w *slidingMaximum) record(at time.Time, value int) {
	last := len(w.entries) - 1
	if last >= 0 && w.entries[last].value > value {
		w.entries[last].until = at
	}
	for last >= 0 && w.entries[last].value <= value {
		last--
	}
	w.entries = w.entries[:last+1]
	w.entries = append(w.entries, maximumEntry{until: at, value: value})
}

// maximum returns the maximum over the window that ends now. The last recorded value counts
// even if it is older than the window.
func (w *slidingMaximum) maximum(now time.Time, window time.Duration) int {
	for len(w.entries) > 1 && now.Sub(w.entries[0].until) > window {
		w.entries = w.entries[1:]
	}
	if len(w.entries) == 0 {
		return 0
	}
	return w.entries[0].value
}

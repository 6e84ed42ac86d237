package replica

import "time"

const (
	// avoidFirst and avoidLongest bound how long a replica is avoided after it failed.
	avoidFirst   = 200 * time.Millisecond
	avoidLongest = 3 * time.Second
	// othersAvoiding is the number of other nodes that avoid a replica from which on this node does so too: where one answer in twenty of
	// half of the replicas is lost, one node avoids some three replicas at any time, two hardly ever the same.
	othersAvoiding = 2
	// ownExperience is how long bytes of an answer count for more than what fails other nodes.
	ownExperience = 300 * time.Millisecond
	// downAfter is the number of failures, one after the other, after which a replica is taken to be down.
	downAfter = 2
	// failureWeight is the part of the newest result in the running failure rate.
	failureWeight = 0.12
)

// Succeeded notes a whole answer.
func (h *Handle) Succeeded() {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.failures = 0
	h.avoidUntil, h.failingUntil = time.Time{}, time.Time{}
	h.failureRate *= 1 - failureWeight
}

// Failed notes a call that the replica did not answer well; it is avoided for a while.
func (h *Handle) Failed(now time.Time) {
	h.mutex.Lock()
	h.failures++
	wait := avoidFirst << min(h.failures-1, 8)
	h.avoidUntil = now.Add(min(wait, avoidLongest))
	h.failingUntil = h.avoidUntil
	h.failureRate += failureWeight * (1 - h.failureRate)
	h.mutex.Unlock()
	h.signalChange()
}

// Ended notes that the replica's process was found to have ended, though its entry may stand for seconds. It counts as down for avoidLongest,
// the longest time for which any replica is avoided, so that a wrong finding lasts no longer than that.
func (h *Handle) Ended(now time.Time) {
	h.mutex.Lock()
	h.failures = max(h.failures, downAfter)
	h.avoidUntil = now.Add(avoidLongest)
	h.failingUntil = h.avoidUntil
	h.mutex.Unlock()
	h.signalChange()
}

// Rejected notes that the replica refused a request for want of room; it is avoided for a moment.
func (h *Handle) Rejected(now time.Time) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	until := now.Add(avoidFirst / 2)
	if until.After(h.avoidUntil) {
		h.avoidUntil = until
	}
}

// Avoided says that the replica failed or refused a short while ago, or fails other nodes.
func (h *Handle) Avoided(now time.Time) bool {
	h.mutex.Lock()
	avoided := now.Before(h.avoidUntil)
	h.mutex.Unlock()
	return avoided || h.FailsOthers(now)
}

// FailsOthers says that several other nodes avoid the replica since their calls to it fail, and that this process has had no bytes of an
// answer from it lately.
func (h *Handle) FailsOthers(now time.Time) bool {
	h.mutex.Lock()
	fails := !h.othersAt.IsZero() && now.Sub(h.othersAt) < othersStale && h.others.Avoiding >= othersAvoiding
	h.mutex.Unlock()
	return fails && !h.AnsweredSince(now.Add(-ownExperience))
}

// Down says that no answer can be expected of the replica: it fails other nodes, or has failed this process again and again.
func (h *Handle) Down(now time.Time) bool {
	h.mutex.Lock()
	failing := h.failures >= downAfter && now.Before(h.failingUntil)
	h.mutex.Unlock()
	return failing || h.zone.CutOff() || h.FailsOthers(now)
}

// FailureRate is the share of failures among the latest calls, from 0 to 1.
func (h *Handle) FailureRate() float64 {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.failureRate
}

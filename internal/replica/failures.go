package replica

import "time"

const (
	// minAvoidance and maxAvoidance bound the backoff during which a replica is avoided after a failure.
	minAvoidance = 200 * time.Millisecond
	maxAvoidance = 3 * time.Second
	// minOthersAvoiding is the number of other nodes that must avoid a replica for this node to avoid it too. One would be too few:
	// if half of the replicas lose one response in twenty, each node avoids some three replicas at any time, but two nodes hardly
	// ever the same one.
	minOthersAvoiding = 2
	// ownAnswerWindow is how long bytes of a response received here outweigh the failures that other nodes report.
	ownAnswerWindow = 300 * time.Millisecond
	// downAfter is the number of consecutive failures after which a replica counts as down.
	downAfter = 2
	// failureWeight is the weight of the newest result in the moving average of the failure rate.
	failureWeight = 0.12
)

// Succeeded records a complete response.
func (h *Handle) Succeeded() {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.failures = 0
	h.avoidUntil, h.failingUntil = time.Time{}, time.Time{}
	h.failureRate *= 1 - failureWeight
}

// Failed records a failed call. The replica is avoided for a backoff that doubles with each consecutive failure, up to maxAvoidance.
func (h *Handle) Failed(now time.Time) {
	h.mutex.Lock()
	h.failures++
	wait := minAvoidance << min(h.failures-1, 8)
	h.avoidUntil = now.Add(min(wait, maxAvoidance))
	h.failingUntil = h.avoidUntil
	h.failureRate += failureWeight * (1 - h.failureRate)
	h.mutex.Unlock()
	h.signalChange()
}

// Ended records that the replica's process has ended, though its entry may remain for seconds. The replica counts as down for
// maxAvoidance only, so that a wrong finding has no effect beyond that.
func (h *Handle) Ended(now time.Time) {
	h.mutex.Lock()
	h.failures = max(h.failures, downAfter)
	h.avoidUntil = now.Add(maxAvoidance)
	h.failingUntil = h.avoidUntil
	h.mutex.Unlock()
	h.signalChange()
}

// Rejected records that the replica refused a request because it is full. It is avoided for at least half of minAvoidance.
func (h *Handle) Rejected(now time.Time) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	until := now.Add(minAvoidance / 2)
	if until.After(h.avoidUntil) {
		h.avoidUntil = until
	}
}

// Avoided reports whether the replica is in its backoff after a failure or refusal, or fails other nodes.
func (h *Handle) Avoided(now time.Time) bool {
	h.mutex.Lock()
	avoided := now.Before(h.avoidUntil)
	h.mutex.Unlock()
	return avoided || h.FailsOtherNodes(now)
}

// FailsOtherNodes reports whether at least minOthersAvoiding other nodes avoid the replica because their calls fail, and this process has
// received no bytes of a response from it within ownAnswerWindow.
func (h *Handle) FailsOtherNodes(now time.Time) bool {
	h.mutex.Lock()
	fails := !h.othersAt.IsZero() && now.Sub(h.othersAt) < othersStaleAfter && h.othersUse.Avoiding >= minOthersAvoiding
	h.mutex.Unlock()
	return fails && !h.AnsweredSince(now.Add(-ownAnswerWindow))
}

// Down reports whether no response can be expected of the replica: it fails other nodes, has failed downAfter calls of this process in a
// row, or its zone is unreachable.
func (h *Handle) Down(now time.Time) bool {
	h.mutex.Lock()
	failing := h.failures >= downAfter && now.Before(h.failingUntil)
	h.mutex.Unlock()
	return failing || h.zone.CutOff() || h.FailsOtherNodes(now)
}

// FailureRate returns the moving average of failures among the latest calls, from 0 to 1.
func (h *Handle) FailureRate() float64 {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.failureRate
}

package roles

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"
)

const (
	// crashingPerSecond is the rate of requests that crash every replica that runs them.
	crashingPerSecond = 4
	// maxCrashesPerRequest is the number of replicas that a request may crash; maxLateAttempts is the number of attempts that may still
	// reach a replica more than contactTimeout after that. All three come from the platform's documentation.
	maxCrashesPerRequest = 3
	maxLateAttempts      = 3
	contactTimeout       = 3 * time.Second
)

// newCrashingRequests draws the bodies of requests that crash every replica that runs them.
func newCrashingRequests(random *rand.Rand, count int) []work {
	var drawn []work
	for range count {
		drawn = append(drawn, work{Events: 5, EndsReplicaAt: 1, Mark: newID(random)})
	}
	return drawn
}

// sendCrashing sends one of the crashing requests and its retries, all with the same path and body.
func (c *callers) sendCrashing(ctx context.Context) {
	payload := c.crashing[draw(c, func(random *rand.Rand) int { return random.IntN(len(c.crashing)) })]
	deadline := time.Now().Add(callerTimeout)
	for range maxRetries + 1 {
		sent, retryAfter := c.attempt(ctx, c.fresh, pathAsk, payload, deadline, &streamRead{})
		if !mayRetry(pathLook, sent.status) || time.Until(deadline) < retryAfter {
			return
		}
	}
}

// promptParts returns a prompt-parts header whose first part is shared by all attempts and whose last part is unique to one attempt.
func (c *callers) promptParts() string {
	return "5c1e07a2:800," + draw(c, newID) + ":" + strconv.Itoa(maxItemsPerJob)
}

// judgeCrashing counts, for each crashing request, the attempts that reached a replica more than contactTimeout after its third crash.
// Attempts at an edge that was started less than contactTimeout earlier are not counted: the platform's documentation treats such an edge as
// out of contact.
func (v *verdict) judgeCrashing(
	clients *callers, received *record, replicas []*replica, startedShortlyBefore func(edge string, before time.Time) bool,
) {
	for _, request := range clients.crashing {
		crashes := crashTimes(request.Mark, replicas)
		v.counts.MostCrashed = max(v.counts.MostCrashed, len(crashes))
		if len(crashes) < maxCrashesPerRequest {
			continue
		}
		late, listed := 0, ""
		for _, attempt := range clients.attempts {
			runs := received.runsOf(attempt.id)
			if attempt.mark != request.Mark || len(runs) == 0 || !runs[0].arrivedAt.After(crashes[maxCrashesPerRequest-1].Add(contactTimeout)) {
				continue
			}
			if !startedShortlyBefore(attempt.edge, runs[0].arrivedAt) {
				late++
				listed += fmt.Sprintf("; %s at %s: %s", attempt.id, attempt.edge, describeRuns(runs))
			}
		}
		if late > maxLateAttempts {
			v.addViolation("request %s crashed %d replicas; %d attempts reached replicas later than %s after the third%s",
				request.Mark, len(crashes), late, contactTimeout, listed)
		}
	}
}

// crashTimes returns the times, in order, at which replicas crashed because of the work with the given mark.
func crashTimes(mark string, replicas []*replica) []time.Time {
	var crashes []time.Time
	for _, candidate := range replicas {
		if endedBy := candidate.endedBy.Load(); endedBy != nil && *endedBy == mark {
			crashes = append(crashes, *candidate.endedAt.Load())
		}
	}
	slices.SortFunc(crashes, time.Time.Compare)
	return crashes
}

// crashingMarks returns the marks of the crashing requests.
func (c *callers) crashingMarks() []string {
	var marks []string
	for _, request := range c.crashing {
		marks = append(marks, request.Mark)
	}
	return marks
}

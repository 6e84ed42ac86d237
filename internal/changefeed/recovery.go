package changefeed

import (
	"context"
	"math/rand/v2"
	"time"

	changefeedpb "github.com/sloelift/sloelift/api/proto/changefeed"
	"github.com/sloelift/sloelift/internal/clock"
	"github.com/sloelift/sloelift/internal/platform"
	"github.com/sloelift/sloelift/internal/subscription"
)

const (
	// probeIntervalPerNode bounds the rate of the probes that all nodes other than watchers make together, regardless of their number.
	probeIntervalPerNode = 50 * time.Millisecond
	// resumeSpreadPerNode spreads the calls that nodes make once the service answers again, so that all together make at most 5,000 a second.
	resumeSpreadPerNode = 200 * time.Microsecond
	// knownRecoveryTime is how long after it was informed of a recovery a node does not announce the same one.
	knownRecoveryTime = time.Second
	// watcherRecoveryTime is how long after a recovery the watchers have sent something: a watch without changes is held for watcherHold.
	watcherRecoveryTime = watcherHold + 200*time.Millisecond
)

// ServiceMonitor detects that the service answers this node again after a silence.
type ServiceMonitor interface {
	// OnRecovery sets a function that is called when the service answers again. It is called before the first call of the service.
	OnRecovery(recovered func())
	// ProbeNow checks at once whether the service answers again, if an answer of it is overdue.
	ProbeNow()
}

// Monitor makes this node tell the other nodes when the service answers again, and check it when they do. It must be called before Start.
func (f *Feed) Monitor(monitor ServiceMonitor) {
	f.monitor = monitor
	monitor.OnRecovery(func() { subscription.Signal(f.recovered) })
}

// ProbeInterval returns the mean time between two probes of a service that does not answer this node. A node that has to watch it for
// others, or a list for itself, probes often. The other nodes learn of a recovery from the watchers; their probes, which are spread over
// all of them, find it if the service answers no watcher.
func (f *Feed) ProbeInterval() time.Duration {
	view := f.viewer.View()
	if f.isWatcher(view) || f.watchesAnyAlone() {
		return platform.ProbeInterval
	}
	return max(platform.ProbeInterval, time.Duration(len(view.Members))*probeIntervalPerNode)
}

// RetryNow returns a channel that signals to the follower of prefix that the service answers again.
func (f *Feed) RetryNow(prefix string) <-chan struct{} {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.state(prefix).retryNow
}

// announceRecoveries announces each recovery that this node detects, until ctx ends.
func (f *Feed) announceRecoveries(ctx context.Context) {
	for {
		select {
		case <-f.recovered:
			f.announceRecovery(clock.Now())
		case <-ctx.Done():
			return
		}
	}
}

// announceRecovery tells the other nodes that the service answers again, unless this node is no watcher and the recovery is known.
func (f *Feed) announceRecovery(now time.Time) {
	f.retryFollowers()
	if f.isJoining(now) {
		return
	}
	view := f.viewer.View()
	f.mutex.Lock()
	known := now.Sub(f.recoveryKnownAt) < knownRecoveryTime || now.Sub(f.lastHeartbeat) < knownRecoveryTime
	f.recoveryKnownAt = now
	f.mutex.Unlock()
	if !known || f.isWatcher(view) {
		f.sendToAll(view, methodRecovery, &changefeedpb.Recovery{})
	}
}

// onRecovery handles another node's announcement that the service answers again, and relays it to the zone if requested. Changes come from
// the watchers; if these stay silent, this node checks whether the service answers it.
func (f *Feed) onRecovery(message *changefeedpb.Recovery, now time.Time) {
	f.mutex.Lock()
	known := now.Sub(f.recoveryKnownAt) < knownRecoveryTime
	f.recoveryKnownAt = now
	f.mutex.Unlock()
	if message.GetPassOn() && !known {
		f.sendToZone(methodRecovery, &changefeedpb.Recovery{})
	}
	f.resumeSoon()
	if !known {
		time.AfterFunc(watcherRecoveryTime, func() {
			if f.watchersSilent(clock.Now()) {
				f.afterSpread(f.monitor.ProbeNow)
			}
		})
	}
}

// afterWatcherMessage makes this node use the service again if it was waiting for it: a message of a watcher shows that the service
// answers. watchersWereSilent reports whether it is the first one after a silence of the watchers. Later ones end no delay, since a
// service that refuses calls must not get more of them.
func (f *Feed) afterWatcherMessage(watchersWereSilent bool) {
	switch {
	case watchersWereSilent:
		f.resumeSoon()
	case f.listings.Load() > 0:
		f.afterSpread(f.monitor.ProbeNow)
	}
}

// resumeSoon ends the delays of the followers before their next attempt, and checks whether a listing in progress waits for a lost answer.
func (f *Feed) resumeSoon() {
	f.afterSpread(func() {
		f.retryFollowers()
		if f.listings.Load() > 0 {
			f.monitor.ProbeNow()
		}
	})
}

// afterSpread calls do after a random delay that grows with the number of nodes.
func (f *Feed) afterSpread(do func()) {
	spread := time.Duration(len(f.viewer.View().Members)) * resumeSpreadPerNode
	time.AfterFunc(time.Duration(rand.Float64()*float64(spread)), do)
}

// retryFollowers ends the delays of the followers before their next attempt.
func (f *Feed) retryFollowers() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, state := range f.prefixes {
		subscription.Signal(state.retryNow)
	}
}

// noMonitor is used if no ServiceMonitor is set.
type noMonitor struct{}

func (noMonitor) OnRecovery(func()) {}

func (noMonitor) ProbeNow() {}

package transport

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/emptypb"
)

// methodPing is the method of pings, which every node answers at once, however busy its other handlers are.
const methodPing Method = "transport.sign"

var pingRegistration = methodRegistration{
	newRequest: func() proto.Message { return &emptypb.Empty{} },
	handler: func(context.Context, netip.AddrPort, proto.Message) (proto.Message, error) {
		return &emptypb.Empty{}, nil
	},
}

// silenceDetector detects a connection that stopped delivering data without a reset. Only traffic can show this: if
// nothing arrives for silenceLimit after something was sent, the detector pings the peer. It is safe for concurrent use.
type silenceDetector struct {
	peer *peer
	// onSilent is called if the peer does not answer a ping.
	onSilent func()
	ctx      context.Context
	cancel   context.CancelFunc
	// checks counts scheduled and running checks.
	checks sync.WaitGroup

	// mutex guards the fields below.
	mutex sync.Mutex
	// checkTimer is set from a send until a check finds that something was received after the last send, or the peer answers a ping.
	checkTimer *time.Timer
	// firstUnconfirmed is the time of the send that scheduled the checks, lastSent that of the last send.
	firstUnconfirmed time.Time
	lastSent         time.Time
}

func newSilenceDetector(monitored *peer, silent func()) *silenceDetector {
	detector := &silenceDetector{peer: monitored, onSilent: silent}
	detector.ctx, detector.cancel = context.WithCancel(context.Background())
	return detector
}

// noteSent records that a frame was sent to the peer, and schedules a check unless one is scheduled.
func (d *silenceDetector) noteSent() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now := time.Now()
	d.lastSent = now
	if d.checkTimer == nil && d.ctx.Err() == nil {
		d.firstUnconfirmed = now
		d.scheduleCheck(silenceLimit)
	}
}

// scheduleCheck runs check after delay. The caller holds the mutex.
func (d *silenceDetector) scheduleCheck(delay time.Duration) {
	d.checks.Add(1)
	d.checkTimer = time.AfterFunc(delay, func() {
		defer d.checks.Done()
		d.check(time.Now())
	})
}

// check pings the peer if something was sent and nothing received for silenceLimit; without an answer it calls onSilent.
func (d *silenceDetector) check(now time.Time) {
	if d.postponeCheck(now) {
		return
	}
	if !d.peer.answersPing(d.ctx) {
		if d.ctx.Err() == nil {
			d.onSilent()
		}
		return
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.checkTimer = nil
}

// postponeCheck reports whether the peer need not be pinged now: either a frame was received after the last send, which ends the
// monitoring until the next send, or silenceLimit has not yet passed, and a new check is scheduled.
func (d *silenceDetector) postponeCheck(now time.Time) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	received := time.Unix(0, d.peer.lastReceived.Load())
	if !d.lastSent.After(received) || d.ctx.Err() != nil {
		d.checkTimer = nil
		return true
	}
	silentFrom := d.firstUnconfirmed
	if received.After(silentFrom) {
		silentFrom = received
	}
	remaining := silenceLimit - now.Sub(silentFrom)
	if remaining > 0 {
		d.scheduleCheck(remaining)
	}
	return remaining > 0
}

// stop ends the monitoring and waits for a running check.
func (d *silenceDetector) stop() {
	d.cancel()
	d.mutex.Lock()
	if d.checkTimer != nil && d.checkTimer.Stop() {
		d.checks.Done()
	}
	d.mutex.Unlock()
	d.checks.Wait()
}

package transport

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/emptypb"
)

// methodSign is answered by every node at once, whatever its handlers wait for.
const methodSign Method = "transport.sign"

var signRegistration = registration{
	newRequest: func() proto.Message { return &emptypb.Empty{} },
	handler: func(context.Context, netip.AddrPort, proto.Message) (proto.Message, error) {
		return &emptypb.Empty{}, nil
	},
}

// quietWatch notices that a connection has gone silent without a reset, which nothing but what is sent over it can show. It is safe for
// concurrent use.
type quietWatch struct {
	peer *peer
	// silent is called where the peer gives no sign.
	silent func()
	ctx    context.Context
	cancel context.CancelFunc
	asking sync.WaitGroup

	// mutex guards the fields below. timer runs while something was sent of which it is not known whether anything came since; armed is
	// when the first of that was sent, last when the last was.
	mutex sync.Mutex
	timer *time.Timer
	armed time.Time
	last  time.Time
}

func newQuietWatch(watched *peer, silent func()) *quietWatch {
	watch := &quietWatch{peer: watched, silent: silent}
	watch.ctx, watch.cancel = context.WithCancel(context.Background())
	return watch
}

// sent notes that something is on its way to the peer.
func (w *quietWatch) sent() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	now := time.Now()
	w.last = now
	if w.timer == nil && w.ctx.Err() == nil {
		w.armed = now
		w.lookIn(quietLimit)
	}
}

// lookIn looks at the connection some time from now. The mutex is held.
func (w *quietWatch) lookIn(wait time.Duration) {
	w.asking.Add(1)
	w.timer = time.AfterFunc(wait, func() {
		defer w.asking.Done()
		w.look(time.Now())
	})
}

// look asks the peer for a sign where something was sent and nothing came for quietLimit.
func (w *quietWatch) look(now time.Time) {
	if w.mayWait(now) {
		return
	}
	if !w.peer.givesSign(w.ctx) {
		if w.ctx.Err() == nil {
			w.silent()
		}
		return
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.timer = nil
}

// mayWait says that the peer need not be asked now: all that was sent is followed by something that came, or it has some time left.
func (w *quietWatch) mayWait(now time.Time) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	received := time.Unix(0, w.peer.lastReceived.Load())
	if !w.last.After(received) || w.ctx.Err() != nil {
		w.timer = nil
		return true
	}
	quietFrom := w.armed
	if received.After(quietFrom) {
		quietFrom = received
	}
	left := quietLimit - now.Sub(quietFrom)
	if left > 0 {
		w.lookIn(left)
	}
	return left > 0
}

// stop ends the watch and waits for the last question.
func (w *quietWatch) stop() {
	w.cancel()
	w.mutex.Lock()
	if w.timer != nil && w.timer.Stop() {
		w.asking.Done()
	}
	w.mutex.Unlock()
	w.asking.Wait()
}

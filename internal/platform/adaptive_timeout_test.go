package platform

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/joomcode/errorx"

	"github.com/sloelift/sloelift/internal/network"
)

// slowNetwork connects to a service that is silent or answers each request after latency.
type slowNetwork struct {
	network.Network
	silent  atomic.Bool
	latency atomic.Int64
}

func (n *slowNetwork) Dial(context.Context, netip.AddrPort) (net.Conn, error) {
	near, far := net.Pipe()
	go func() {
		defer func() { _ = far.Close() }()
		buffer := make([]byte, 4096)
		for {
			if _, err := far.Read(buffer); err != nil {
				return
			}
			if n.silent.Load() {
				_, _ = io.Copy(io.Discard, far)
				return
			}
			time.Sleep(time.Duration(n.latency.Load()))
			if _, err := io.WriteString(far, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"); err != nil {
				return
			}
		}
	}()
	return near, nil
}

func TestAnswerTimeoutAdaptsToLatency(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := &slowNetwork{}
		exchanger := NewExchanger(service, netip.MustParseAddrPort("127.0.0.1:1"))
		read := func() (time.Duration, error) {
			start := time.Now()
			_, _, err := exchanger.Read(t.Context(), http.MethodGet, "/")
			return time.Since(start), err
		}
		service.silent.Store(true)
		for _, want := range []time.Duration{minAnswerTimeout, 2 * minAnswerTimeout, 4 * minAnswerTimeout} {
			if took, err := read(); took != want || !errorx.IsOfType(err, KindUnavailable) {
				t.Errorf("timed out after %s with %v, want %s", took, err, want)
			}
		}
		service.silent.Store(false)
		service.latency.Store(int64(time.Second))
		if _, err := read(); err != nil {
			t.Errorf("a slow answer after silence: %v", err)
		}
		service.latency.Store(int64(2 * time.Second))
		if _, err := read(); err != nil {
			t.Errorf("an answer slower than the last: %v", err)
		}
		service.latency.Store(int64(time.Millisecond))
		if _, err := read(); err != nil || exchanger.timeout.current() != minAnswerTimeout {
			t.Errorf("after a fast answer: error %v, timeout %s", err, exchanger.timeout.current())
		}
		exchanger.Close()
	})
}

// partsNetwork connects to a service that sends its answers in parts, one per interval, and goes silent at part silentFrom.
type partsNetwork struct {
	network.Network
	parts, silentFrom int
	interval          time.Duration
	answers           atomic.Int64
}

func (n *partsNetwork) Dial(context.Context, netip.AddrPort) (net.Conn, error) {
	near, far := net.Pipe()
	go func() {
		defer func() { _ = far.Close() }()
		if _, err := far.Read(make([]byte, 4096)); err != nil {
			return
		}
		n.answers.Add(1)
		_, _ = fmt.Fprintf(far, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", n.parts)
		for part := range n.parts {
			time.Sleep(n.interval)
			if part == n.silentFrom {
				_, _ = io.Copy(io.Discard, far)
				return
			}
			if _, err := io.WriteString(far, "x"); err != nil {
				return
			}
		}
	}()
	return near, nil
}

// TestLongAnswerIsReadToItsEnd: an answer that takes longer than the timeout is read as long as parts of it arrive, and abandoned
// when none arrive for the timeout.
func TestLongAnswerIsReadToItsEnd(t *testing.T) {
	const parts, interval = 10, minAnswerTimeout / 2
	synctest.Test(t, func(t *testing.T) {
		long := &partsNetwork{parts: parts, silentFrom: parts, interval: interval}
		exchanger := NewExchanger(long, netip.MustParseAddrPort("127.0.0.1:1"))
		if _, body, err := exchanger.Read(t.Context(), http.MethodGet, "/"); err != nil || len(body) != parts || long.answers.Load() != 1 {
			t.Errorf("read %d bytes of %d, error %v, after %d calls", len(body), parts, err, long.answers.Load())
		}
		exchanger.Close()
		broken := &partsNetwork{parts: parts, silentFrom: 2, interval: interval}
		exchanger = NewExchanger(broken, netip.MustParseAddrPort("127.0.0.1:1"))
		start := time.Now()
		if _, _, err := exchanger.Read(t.Context(), http.MethodGet, "/"); !errorx.IsOfType(err, KindUnavailable) {
			t.Errorf("incomplete answer: %v", err)
		}
		if took := time.Since(start); took != 2*interval+minAnswerTimeout {
			t.Errorf("timed out after %s, want %s", took, 2*interval+minAnswerTimeout)
		}
		exchanger.Close()
	})
}

// TestHeldAnswerIsWaitedFor: an answer that the service holds back, as for a watch, may take longer than maxAnswerTimeout.
func TestHeldAnswerIsWaitedFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := &slowNetwork{}
		service.latency.Store(int64(20 * time.Second))
		exchanger := NewExchanger(service, netip.MustParseAddrPort("127.0.0.1:1"))
		if _, _, err := exchanger.ReadLongPoll(t.Context(), http.MethodGet, "/", 20*time.Second); err != nil {
			t.Error(err)
		}
		service.latency.Store(int64(time.Minute))
		start := time.Now()
		if _, _, err := exchanger.ReadLongPoll(t.Context(), http.MethodGet, "/", 20*time.Second); err == nil || time.Since(start) > 25*time.Second {
			t.Errorf("error %v after %s", err, time.Since(start))
		}
		exchanger.Close()
		time.Sleep(time.Minute)
	})
}

// TestCutWatchIsNoticedSoon: the service may drop a watch silently, after a period without changes. A node whose timeout is seconds
// long would have stale data for that time.
func TestCutWatchIsNoticedSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const hold = time.Second
		service := &slowNetwork{}
		service.silent.Store(true)
		exchanger := NewExchanger(service, netip.MustParseAddrPort("127.0.0.1:1"))
		held := func() time.Duration {
			start := time.Now()
			_, _, _ = exchanger.ReadLongPoll(t.Context(), http.MethodGet, "/", hold)
			return time.Since(start)
		}
		if took := held(); took != hold+minAnswerTimeout {
			t.Errorf("timed out after %s, want %s", took, hold+minAnswerTimeout)
		}
		if took := held(); took != hold+2*minAnswerTimeout {
			t.Errorf("the next call timed out after %s, want %s, since the service may be slow", took, hold+2*minAnswerTimeout)
		}
		service.silent.Store(false)
		service.latency.Store(int64(hold))
		held()
		service.silent.Store(true)
		if took := held(); took != hold+minAnswerTimeout {
			t.Errorf("after an answer, timed out after %s, want %s", took, hold+minAnswerTimeout)
		}
		exchanger.Close()
	})
}

package replica

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"
)

// boundedDirectory returns a directory whose first listing holds the replica "first". New replicas are assumed to be cold for 3 s.
func boundedDirectory(bounded bool) *Directory {
	directory := NewDirectory()
	directory.SetColdTerms(func(string) (time.Duration, bool) { return 3 * time.Second, bounded })
	directory.Replace([]Info{{ID: "first", Service: "s", Zone: "z"}})
	return directory
}

func TestReplicasThatCountAsCold(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name      string
		unbounded bool
		change    func(directory *Directory)
		replica   string
		want      time.Duration
	}{
		{"in the first listing", false, func(*Directory) {}, "first", 0},
		{"appeared later", false, func(d *Directory) { d.Update([]Info{{ID: "new", Service: "s"}}, nil) }, "new", 3 * time.Second},
		{"appeared in a later listing", false, func(d *Directory) {
			d.Replace([]Info{{ID: "first", Service: "s", Zone: "z"}, {ID: "new", Service: "s"}})
		}, "new", 3 * time.Second},
		{"its entry has a longer cold period", false, func(d *Directory) {
			d.Update([]Info{{ID: "new", Service: "s", ColdFor: 5 * time.Second}}, nil)
		}, "new", 5 * time.Second},
		{"became cold", false, func(d *Directory) {
			d.Update([]Info{{ID: "first", Service: "s", Zone: "z", ColdFor: time.Second}}, nil)
		}, "first", time.Second},
		{"became cold again by an equal entry", false, func(d *Directory) {
			d.Update([]Info{{ID: "first", Service: "s", Zone: "z", ColdFor: time.Second}}, nil)
			time.Sleep(2 * time.Second)
			d.Update([]Info{{ID: "first", Service: "s", Zone: "z", ColdFor: time.Second}}, nil)
		}, "first", time.Second},
		{"listed once more", false, func(d *Directory) {
			d.Update([]Info{{ID: "first", Service: "s", Zone: "z", ColdFor: time.Second}}, nil)
			time.Sleep(2 * time.Second)
			d.Replace([]Info{{ID: "first", Service: "s", Zone: "z", ColdFor: time.Second}})
		}, "first", 0},
		{"its zone is evacuated", false, func(d *Directory) { d.SetEvacuated(map[string]bool{"z": true}) }, "first", 0},
		{"its zone was evacuated", false, func(d *Directory) {
			d.SetEvacuated(map[string]bool{"z": true})
			time.Sleep(time.Minute)
			d.SetEvacuated(nil)
		}, "first", 3 * time.Second},
		{"its service declares no limit", true, func(d *Directory) {
			d.Update([]Info{{ID: "new", Service: "s", ColdFor: 5 * time.Second}}, nil)
		}, "new", 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				directory := boundedDirectory(!test.unbounded)
				test.change(directory)
				handle := directory.View().Find(test.replica)
				if got := handle.ColdFor(time.Now()); got != test.want {
					t.Errorf("cold for %s, want %s", got, test.want)
				}
			})
		})
	}
}

func TestTimeThatAReplicaStaysColdIsNeverShortened(t *testing.T) {
	t.Parallel()
	now := time.Now()
	handle := NewHandle(Info{ID: "r"})
	handle.SetColdBounded(true)
	handle.SetColdUntil(now.Add(4 * time.Second))
	handle.SetColdUntil(now.Add(time.Second))
	if got := handle.ColdFor(now); got != 4*time.Second {
		t.Errorf("cold for %s", got)
	}
}

func TestAnswerSaysThatAReplicaIsCold(t *testing.T) {
	t.Parallel()
	for text, want := range map[string]time.Duration{
		"1500": 1500 * time.Millisecond, "250.5": 250500 * time.Microsecond, "0": 0, "-3": 0, "x": 0, "": 0,
	} {
		now := time.Now()
		handle := NewHandle(Info{ID: "r"})
		handle.SetColdBounded(true)
		handle.noteCold(http.Header{"X-Cold": []string{text}}, "X-Cold", now)
		if got := handle.ColdFor(now); got != want {
			t.Errorf("%q: cold for %s, want %s", text, got, want)
		}
	}
}

// TestPassAdmitsNoMoreInAnyWindow checks that a pass admits at most its limit within any window, for random arrival times.
func TestPassAdmitsNoMoreInAnyWindow(t *testing.T) {
	t.Parallel()
	seed := rand.Uint64()
	t.Logf("seed %d", seed)
	random := rand.New(rand.NewPCG(seed, 1))
	const limit = 3
	start := time.Now()
	pass := NewColdPass(limit, start.Add(20*time.Second))
	var admitted []time.Time
	for now := start; now.Before(start.Add(25 * time.Second)); now = now.Add(time.Duration(random.IntN(int(300 * time.Millisecond)))) {
		if room := pass.Room(now); room != pass.Take(now) {
			t.Fatal("Room and Take differ")
		} else if room {
			admitted = append(admitted, now)
		}
	}
	for index, admittedAt := range admitted {
		if !admittedAt.Before(start.Add(20 * time.Second)) {
			t.Errorf("request admitted %s after the start of the pass, when it had expired", admittedAt.Sub(start))
		}
		if index >= limit && admittedAt.Sub(admitted[index-limit]) <= time.Second+SendWithin {
			t.Errorf("%d requests within %s", limit+1, admittedAt.Sub(admitted[index-limit]))
		}
	}
	if len(admitted) < 40 {
		t.Errorf("%d requests admitted in 20 s, want about %d per window", len(admitted), limit)
	}
}

// slowNetwork connects after a delay.
type slowNetwork struct {
	delay time.Duration
	// received gets the number of bytes that reached the replica on a connection.
	received chan int
}

func (s *slowNetwork) Listen(context.Context, netip.AddrPort) (net.Listener, error) {
	return nil, errors.New("slowNetwork: Listen is not supported")
}

func (s *slowNetwork) Dial(context.Context, netip.AddrPort) (net.Conn, error) {
	time.Sleep(s.delay)
	near, far := net.Pipe()
	go func() {
		count, _ := far.Read(make([]byte, 100))
		s.received <- count
		_ = far.Close()
	}()
	return near, nil
}

// TestRequestToAColdReplicaIsNotSentLate guards the rate limit of cold replicas: requests that were admitted one after the other while
// connecting is slow would arrive in a burst.
func TestRequestToAColdReplicaIsNotSentLate(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name   string
		waited time.Duration
		delay  time.Duration
		cold   bool
		sent   bool
	}{
		{"cold, in time", 0, SendWithin, true, true},
		{"cold, late", 0, SendWithin + time.Millisecond, true, false},
		{"warm, late", 0, SendWithin + time.Millisecond, false, true},
		{"cold, in time after a wait", SendWithin / 2, SendWithin / 2, true, true},
		{"cold, late after a wait", SendWithin, time.Millisecond, true, false},
		{"warm, late after a wait", SendWithin, time.Millisecond, false, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				handle := NewHandle(Info{ID: "r"})
				handle.SetColdBounded(test.cold)
				handle.SetColdUntil(time.Now().Add(time.Second))
				network := &slowNetwork{delay: test.delay, received: make(chan int, 1)}
				admitted := time.Now()
				time.Sleep(test.waited)
				_, err := NewClient(network, Headers{}).Do(context.Background(), handle,
					Call{Method: http.MethodGet, Target: "/", Host: "h", AdmittedAt: admitted})
				if errors.Is(err, ErrNotSent) == test.sent {
					t.Errorf("error %v, sent should be %t", err, test.sent)
				}
				if bytes := <-network.received; (bytes > 0) != test.sent {
					t.Errorf("%d bytes reached the replica, sent should be %t", bytes, test.sent)
				}
			})
		})
	}
}

func TestPaceExcessIsRelativeToUsualRate(t *testing.T) {
	t.Parallel()
	start := time.Now().Truncate(time.Second)
	var counted pace
	for range 4 {
		counted.note(start)
	}
	if got := counted.excess(start); got != 3 {
		t.Errorf("excess of 4 requests to a replica without earlier ones is %g, want 3", got)
	}
	for second := range 60 {
		for range 2 {
			counted.note(start.Add(time.Duration(second+1) * time.Second))
		}
	}
	end := start.Add(61 * time.Second)
	for range 4 {
		counted.note(end)
	}
	if got := counted.excess(end); got != 0 {
		t.Errorf("excess of a burst of twice the usual rate is %g, want 0", got)
	}
	counted.note(end.Add(time.Hour))
	if got := counted.excess(end.Add(time.Hour)); got != 0 {
		t.Errorf("excess of the first request after an hour is %g, want 0", got)
	}
}

// TestColdReplicaCountsOneSlot checks that a cold replica counts for one slot in capacity estimates, by which requests are held back and
// batch items yield.
func TestColdReplicaCountsOneSlot(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		directory := boundedDirectory(true)
		directory.Update([]Info{{ID: "first", Service: "s", Slots: 8}, {ID: "new", Service: "s", Slots: 8}}, nil)
		for _, want := range []int{9, 16} {
			view := directory.View()
			if slots, working := view.Slots("s"), view.WorkingSlots("s", time.Now()); slots != want || working != want {
				t.Errorf("%d slots, %d working, want %d", slots, working, want)
			}
			time.Sleep(3 * time.Second)
		}
	})
}

package origin

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/sloelift/sloelift/internal/clock"
	"github.com/sloelift/sloelift/internal/membership"
	"github.com/sloelift/sloelift/internal/replica"
)

// TestOriginIsKnownAtEveryNode guards that the origin of a stream is known wherever its caller resumes it, a few ms after its first event,
// whichever nodes are lost with the edge that began it.
func TestOriginIsKnownAtEveryNode(t *testing.T) {
	for _, test := range []struct {
		name    string
		disturb func(c *cluster)
	}{
		{"all serve", func(*cluster) {}},
		{"the edge that began it is killed", func(c *cluster) { c.kill("edge-0") }},
		{"and a storage node with it", func(c *cluster) { c.kill("edge-0"); c.kill("store-1") }},
		{"and a storage node falls silent", func(c *cluster) { c.kill("edge-0"); c.setCut("store-2") }},
		{"all edges were killed", func(c *cluster) {
			for _, name := range []string{"edge-0", "edge-1", "edge-2", "edge-3"} {
				c.kill(name)
			}
			c.start("edge-1", false)
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			play(t, func(c *cluster) {
				c.record(originOne)
				test.disturb(c)
				c.find("edge-1", originOne, nil)
			})
		})
	}
}

// TestOriginIsKnownBesideNodesOfAnOlderBuild: storage nodes that do not know origins keep none, so that edges do.
func TestOriginIsKnownBesideNodesOfAnOlderBuild(t *testing.T) {
	play(t, func(c *cluster) {
		c.record(originOne)
		time.Sleep(placedWithin)
		c.kill("edge-0")
		c.find("edge-1", originOne, nil)
	}, "store-0", "store-1", "store-2")
	play(t, func(c *cluster) {
		c.record(originOne)
		c.kill("edge-0")
		c.find("edge-1", originOne, nil)
	}, "store-1", "edge-3")
}

// TestOriginIsKeptWhereOtherNodesAnswer: a storage node that does not answer is replaced by another one.
func TestOriginIsKeptWhereOtherNodesAnswer(t *testing.T) {
	play(t, func(c *cluster) {
		c.setCut("store-0")
		c.record(originOne)
		time.Sleep(2 * keepTimeout)
		c.kill("edge-0")
		c.kill("store-1")
		c.find("edge-1", originOne, nil)
	})
}

// TestUnknownOriginIsKnownAtOnce: a caller does not wait for an origin that nobody has.
func TestUnknownOriginIsKnownAtOnce(t *testing.T) {
	play(t, func(c *cluster) {
		began := time.Now()
		c.find("edge-1", replica.Origin{}, ErrUnknown)
		if each := time.Since(began) / requests; each > 10*time.Millisecond {
			t.Errorf("it took %s to find that nobody knows an origin", each)
		}
	})
}

// TestSilenceIsNoStatement: while nodes that may know an origin do not answer, it is not called unknown, and is found once they do.
func TestSilenceIsNoStatement(t *testing.T) {
	play(t, func(c *cluster) {
		c.record(originOne)
		c.kill("edge-0")
		for _, name := range []string{"store-0", "store-1", "store-2"} {
			c.setCut(name)
		}
		ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
		defer cancel()
		if _, err := c.nodes["edge-1"].service.Find(ctx, requestID(0)); err != ErrUnanswered {
			t.Errorf("while no storage node answers: %v", err)
		}
		time.AfterFunc(400*time.Millisecond, func() {
			c.mutex.Lock()
			defer c.mutex.Unlock()
			clear(c.cut)
		})
		c.find("edge-1", originOne, nil)
	})
}

// TestNodeThatKnowsNoOtherNodeYetWaits: an edge that has just started calls no origin unknown before it has asked.
func TestNodeThatKnowsNoOtherNodeYetWaits(t *testing.T) {
	play(t, func(c *cluster) {
		c.record(originOne)
		started := c.nodes["edge-1"]
		started.view.Set(&membership.View{Self: "edge-1", Members: []membership.Member{started.member}})
		time.AfterFunc(100*time.Millisecond, func() { started.view.Set(c.viewOf("edge-1")) })
		c.find("edge-1", originOne, nil)
	})
}

// TestTwoOriginsOfOneRequestAreBothNotBelieved: a request ID that two streams used says nothing about either.
func TestTwoOriginsOfOneRequestAreBothNotBelieved(t *testing.T) {
	play(t, func(c *cluster) {
		c.record(originOne)
		for number := range requests {
			c.nodes["edge-2"].service.Record(requestID(number), replica.Origin{Service: "s", Version: "v2"}, lifetime)
		}
		time.Sleep(placedWithin)
		c.find("edge-1", replica.Origin{}, ErrUnknown)
	})
}

// TestStoppingNodeHandsOutItsRecords: a planned stop right after a stream's first event loses nothing.
func TestStoppingNodeHandsOutItsRecords(t *testing.T) {
	play(t, func(c *cluster) {
		for number := range requests {
			c.nodes["edge-0"].service.Record(requestID(number), originOne, lifetime)
		}
		c.nodes["edge-0"].service.Stop()
		c.find("edge-1", originOne, nil)
	})
}

// TestRequestIDThatIsNotTextSpoilsNoOtherRecord guards the streams whose records are sent together with that of a request whose ID no
// message can contain.
func TestRequestIDThatIsNotTextSpoilsNoOtherRecord(t *testing.T) {
	play(t, func(c *cluster) {
		c.nodes["edge-0"].service.Record("\xff", originOne, lifetime)
		c.record(originOne)
		c.kill("edge-0")
		c.find("edge-1", originOne, nil)
	})
}

// TestBook checks what one node keeps.
func TestBook(t *testing.T) {
	now := clock.Now()
	filled := newBook()
	if !filled.add("a", originOne, false, time.Second, now) || !filled.add("a", originOne, false, 3*time.Second, now) {
		t.Error("a record is not kept")
	}
	if _, exists := filled.find("a", now.Add(2*time.Second)); !exists {
		t.Error("a record that was recorded again expires too early")
	}
	filled.expire(now.Add(4 * time.Second))
	if len(filled.records) != 0 {
		t.Error("an expired record is kept")
	}
	for name, kept := range map[string]bool{
		"no ID":    filled.add("", originOne, false, time.Second, now),
		"long ID":  filled.add(strings.Repeat("x", maxRequestBytes+1), originOne, false, time.Second, now),
		"no time":  filled.add("b", originOne, false, 0, now),
		"disputed": !filled.add("c", originOne, true, time.Second, now),
	} {
		if kept {
			t.Errorf("%s: wrong", name)
		}
	}
	if known, _ := filled.find("c", now); !known.disputed || !known.origin.IsZero() {
		t.Errorf("disputed record is %+v", known)
	}
	for number := 0; filled.add(strings.Repeat("y", number%100)+requestID(number), originOne, false, time.Second, now); number++ {
	}
	if len(filled.records) != maxRecords || !filled.add("c", originOne, false, time.Second, now) {
		t.Errorf("%d records are kept, want %d", len(filled.records), maxRecords)
	}
}

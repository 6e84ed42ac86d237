package quarantine

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/sloelift/sloelift/internal/prompt"
)

const (
	// Bounds of the platform for requests with a part that ends replicas: maxLatePartSends of them may still reach replicas
	// more than partContact after the fifth end.
	crashesBeforePartBound = 5
	partContact            = 3 * time.Second
	maxLatePartSends       = 3
	// minBegunShare is the share of sound requests beside them that must still begin.
	minBegunShare = 0.5
)

// partLoad is a load of requests of one route, some of which hold a part that ends each replica that begins to answer.
type partLoad struct {
	name string
	// deadly is the ID of the part that ends replicas; empty for none. deadlyPerSecond requests hold it, in bursts of burst.
	deadly          string
	deadlyPerSecond int
	burst           int
	// chanceEndsPerSecond replicas end for another reason.
	chanceEndsPerSecond int
	// massCrashes are the times, in hundredths of a second, at which all replicas end for another reason.
	massCrashes []int
	// restartAll restarts all nodes once the part's fifth replica has ended.
	restartAll bool
}

const (
	soundPerSecond = 110
	firstParts     = 3
	secondParts    = 40
	loadDuration   = 12 * time.Second
	partReplicas   = 16
)

// partRecord is what became of the requests of a load.
type partRecord struct {
	mutex sync.Mutex
	// ends are the times at which the deadly part ended a replica, sends those at which a request that holds it was sent.
	ends, sends []time.Time
	// sound and begun are the times at which sound requests came, and those of them that were sent.
	sound, begun []time.Time
}

func (r *partRecord) note(times *[]time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	*times = append(*times, time.Now())
}

func (r *partRecord) fifthEnd() (time.Time, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if len(r.ends) < crashesBeforePartBound {
		return time.Time{}, false
	}
	return r.ends[crashesBeforePartBound-1], true
}

func countAfter(times []time.Time, after time.Time) int {
	return len(slices.DeleteFunc(slices.Clone(times), func(at time.Time) bool { return !at.After(after) }))
}

// TestPromptPartThatCrashesReplicasIsRejected checks the platform's bounds on requests that share one part of their
// prompts, under which replicas end, and nothing else.
func TestPromptPartThatCrashesReplicasIsRejected(t *testing.T) {
	for _, load := range []partLoad{
		{name: "a second part", deadly: "second-7", deadlyPerSecond: 12},
		{name: "the first part of a third of the requests", deadly: "first-1", deadlyPerSecond: 12},
		{name: "more requests", deadly: "second-7", deadlyPerSecond: 48},
		{name: "many at once each second", deadly: "second-7", deadlyPerSecond: 24, burst: 24},
		{name: "few requests", deadly: "second-7", deadlyPerSecond: 2},
		{name: "replicas end by chance too", deadly: "second-7", deadlyPerSecond: 12, chanceEndsPerSecond: 4},
		{name: "all nodes restart", deadly: "second-7", deadlyPerSecond: 12, restartAll: true},
	} {
		for seed := range uint64(2) {
			t.Run(fmt.Sprint(load.name, "/", seed), func(t *testing.T) {
				inCluster(t, 6, partReplicas, func(t *testing.T, c *cluster) {
					record := c.playParts(load, rand.New(rand.NewPCG(seed, 7)))
					fifth, reached := record.fifthEnd()
					if !reached {
						return
					}
					if late := countAfter(record.sends, fifth.Add(partContact)); late > maxLatePartSends {
						t.Errorf("%d requests reach replicas later than %s after the fifth of %d ends, want at most %d",
							late, partContact, len(record.ends), maxLatePartSends)
					}
					sound, begun := countAfter(record.sound, fifth.Add(2*partContact)), countAfter(record.begun, fifth.Add(2*partContact))
					if float64(begun) < minBegunShare*float64(sound) {
						t.Errorf("%d of %d sound requests begin", begun, sound)
					}
				})
			})
		}
	}
}

// TestSoundPromptPartsAreNotRejected checks that requests are sent although replicas end for reasons of their own, one by
// one or many at once.
func TestSoundPromptPartsAreNotRejected(t *testing.T) {
	for _, load := range []partLoad{
		{name: "four ends a second", chanceEndsPerSecond: 4},
		{name: "twelve ends a second", chanceEndsPerSecond: 12},
		{name: "all replicas at once", massCrashes: []int{300}},
		{name: "all replicas, and again soon after", massCrashes: []int{300, 305, 330, 360, 400}},
	} {
		for seed := range uint64(2) {
			t.Run(fmt.Sprint(load.name, "/", seed), func(t *testing.T) {
				inCluster(t, 6, partReplicas, func(t *testing.T, c *cluster) {
					record := c.playParts(load, rand.New(rand.NewPCG(seed, 8)))
					if len(record.begun) < len(record.sound) {
						t.Errorf("%d of %d sound requests are sent", len(record.begun), len(record.sound))
					}
				})
			})
		}
	}
}

// playParts plays a load against all nodes and returns what became of its requests.
func (c *cluster) playParts(load partLoad, random *rand.Rand) *partRecord {
	record := &partRecord{}
	var running sync.WaitGroup
	restarted := false
	for tick := range int(loadDuration / (10 * time.Millisecond)) {
		second, within := tick/100, tick%100
		for range ratePerTick(soundPerSecond, within) {
			parts := drawParts(random, "")
			if load.deadly == parts[0] || load.deadly == parts[1] {
				continue
			}
			c.startPartRequest(&running, record, load, random, fmt.Sprint("sound ", tick, random.Uint64()), parts)
		}
		due := ratePerTick(load.deadlyPerSecond, within)
		if load.burst > 0 {
			due = 0
			if within == 0 {
				due = load.burst
			}
		}
		for range due {
			c.startPartRequest(&running, record, load, random, fmt.Sprint("deadly ", second, tick, random.Uint64()), drawParts(random, load.deadly))
		}
		for range ratePerTick(load.chanceEndsPerSecond, within) {
			handle := c.handle(c.nodes[0], random.IntN(partReplicas))
			c.crash(handle, Key{})
		}
		if slices.Contains(load.massCrashes, tick) {
			for number := range partReplicas {
				c.crash(c.handle(c.nodes[0], number), Key{})
			}
		}
		time.Sleep(10 * time.Millisecond)
		if fifth, reached := record.fifthEnd(); reached && load.restartAll && !restarted && time.Since(fifth) > 500*time.Millisecond {
			restarted = true
			running.Wait()
			c.restartAll()
		}
	}
	running.Wait()
	return record
}

func ratePerTick(perSecond, tick int) int { return perSecond*(tick+1)/100 - perSecond*tick/100 }

// drawParts returns a first, a second and an own part; one of the first two is the deadly part, if it is named.
func drawParts(random *rand.Rand, deadly string) []string {
	parts := []string{
		fmt.Sprint("first-", random.IntN(firstParts)), fmt.Sprint("second-", random.IntN(secondParts)), fmt.Sprint("own-", random.Uint64()),
	}
	for position, prefix := range []string{"first", "second"} {
		if len(deadly) > len(prefix) && deadly[:len(prefix)] == prefix {
			parts[position] = deadly
		}
	}
	return parts
}

// startPartRequest sends a request from a random node, and again for as long as its replica ends, four times at most.
func (c *cluster) startPartRequest(running *sync.WaitGroup, record *partRecord, load partLoad, random *rand.Rand, text string, ids []string) {
	member := c.nodes[random.IntN(len(c.nodes))]
	first := random.IntN(partReplicas)
	prefill := time.Duration(10+random.IntN(60)) * time.Millisecond
	deadly := slices.Contains(ids[:2], load.deadly)
	var parts prompt.Parts
	for _, id := range ids {
		parts = append(parts, prompt.Part{ID: id, Tokens: 100})
	}
	running.Go(func() {
		if !deadly {
			record.note(&record.sound)
		}
		for attempt := range 4 {
			permit := member.Admit(c.t.Context(), keyOf(text), PartKeys(parts)...)
			if permit.Verdict() == Rejected {
				permit.Release()
				return
			}
			switch {
			case deadly:
				record.note(&record.sends)
			case attempt == 0:
				record.note(&record.begun)
			}
			ended := c.runParts(member, permit, record, (first+attempt)%partReplicas, prefill, deadly)
			permit.Release()
			if !ended {
				return
			}
		}
	})
}

// runParts makes one run, and reports whether its replica ended.
func (c *cluster) runParts(member *node, permit Permit, record *partRecord, number int, prefill time.Duration, deadly bool) bool {
	handle := c.handle(member, number)
	run := permit.Begin(handle, nil)
	time.Sleep(prefill)
	if !c.machines.endedAt(handle) && deadly {
		c.crash(handle, Key{})
		record.note(&record.ends)
	}
	for range 4 {
		if c.machines.endedAt(handle) {
			run.End(c.t.Context(), Lost)
			return true
		}
		run.Received(1)
		time.Sleep(10 * time.Millisecond)
	}
	run.End(c.t.Context(), Whole)
	return false
}

// restartAll kills all nodes and starts them again without their state.
func (c *cluster) restartAll() {
	for _, member := range c.nodes {
		c.kill(member)
	}
	for _, member := range c.nodes {
		c.start(member)
	}
	c.agree()
	time.Sleep(3 * time.Second)
}

// TestAbortedRunCountsAgainstItsParts checks that a part is suspected of the end of a replica at which a caller had just
// left, and that a probe which its caller leaves is looked after.
func TestAbortedRunCountsAgainstItsParts(t *testing.T) {
	inCluster(t, 1, 4, func(t *testing.T, c *cluster) {
		member := c.nodes[0]
		parts := PartKeys(prompt.Parts{{ID: "first"}, {ID: "own"}})
		left := member.Admit(t.Context(), keyOf("left"), parts...).Begin(c.handle(member, 0), nil)
		other := member.Admit(t.Context(), keyOf("other")).Begin(c.handle(member, 0), nil)
		time.Sleep(10 * time.Millisecond)
		left.End(t.Context(), Aborted)
		c.crash(c.handle(member, 0), Key{})
		other.End(t.Context(), Lost)
		member.mutex.Lock()
		open := member.evidence.openPartEnds[parts[0]]
		member.mutex.Unlock()
		if open != 1 {
			t.Errorf("the part is open at %d ends, want 1", open)
		}
		probe := &run{service: member.Service, key: keyOf("probe"), handle: c.handle(member, 1), startedAt: time.Now(), parts: parts, probing: true}
		time.Sleep(time.Millisecond)
		probe.End(t.Context(), Aborted)
		c.crash(c.handle(member, 1), Key{})
		time.Sleep(time.Second)
		member.mutex.Lock()
		open = member.evidence.openPartEnds[parts[0]]
		member.mutex.Unlock()
		if open != 2 {
			t.Errorf("the part is open at %d ends after a probe that its caller left, want 2", open)
		}
	})
}

// TestRejectedPartComesBackByASoundAnswer checks that a part which was rejected for ends that had another cause is served
// again by one request after RetryDelay, and that a deadly part is tested twice at most.
func TestRejectedPartComesBackByASoundAnswer(t *testing.T) {
	for _, deadly := range []bool{false, true} {
		t.Run(fmt.Sprint("deadly ", deadly), func(t *testing.T) {
			inCluster(t, 3, partReplicas, func(t *testing.T, c *cluster) {
				parts := PartKeys(prompt.Parts{{ID: "first"}, {ID: "own"}})
				sent := 0
				send := func(number int, ends bool) bool {
					member := c.nodes[number%3]
					permit := member.Admit(t.Context(), keyOf(fmt.Sprint("request ", number)), parts...)
					defer permit.Release()
					if permit.Verdict() == Rejected {
						return false
					}
					sent++
					handle := c.handle(member, number%partReplicas)
					run := permit.Begin(handle, nil)
					if ends {
						c.crash(handle, Key{})
						run.End(t.Context(), Lost)
						return true
					}
					run.Received(begunEvents)
					run.End(t.Context(), Whole)
					return true
				}
				for number := range minPartEnds {
					send(number, true)
					time.Sleep(100 * time.Millisecond)
				}
				before := sent
				for number := minPartEnds; number < 600; number++ {
					send(number, deadly)
					time.Sleep(100 * time.Millisecond)
				}
				switch tested := sent - before; {
				case deadly && tested > maxPartProbes:
					t.Errorf("%d requests with a deadly part are sent after its rejection, want at most %d", tested, maxPartProbes)
				case !deadly && tested < 500:
					t.Errorf("%d of 596 requests with a sound part are sent", tested)
				}
			})
		})
	}
}

// TestPartOfItemsIsTestedSoon guards items whose shared part was rejected for ends that had another cause, where one of many nodes
// runs all items with it: the test waited for the turns of nodes that run no items, 51 s in one case.
func TestPartOfItemsIsTestedSoon(t *testing.T) {
	const edges, stores = 8, 3
	for number := range stores {
		t.Run(fmt.Sprint("store ", number), func(t *testing.T) {
			inCluster(t, edges+stores, partReplicas, func(t *testing.T, c *cluster) {
				for _, member := range c.nodes[:stores] {
					member.store = true
				}
				c.agree()
				time.Sleep(2 * allNodesReadDelay)
				parts := PartKeys(prompt.Parts{{ID: "first"}, {ID: "own"}})
				owner := c.nodes[number]
				for end := range minPartEnds {
					permit := owner.AdmitItem(t.Context(), keyOf(fmt.Sprint("item ", end)), parts...)
					handle := c.handle(owner, end)
					run := permit.Begin(handle, nil)
					c.crash(handle, Key{})
					run.End(t.Context(), Lost)
					permit.Release()
					time.Sleep(100 * time.Millisecond)
				}
				rejectedAt := time.Now()
				for owner.CheckItem(keyOf("next"), parts...) == Rejected {
					time.Sleep(50 * time.Millisecond)
				}
				// The nodes with a store have every other turn.
				if waited, want := time.Since(rejectedAt), RetryDelay(0)+2*stores*partProbeTurn; waited > want {
					t.Errorf("the part may be tested %s after its rejection, want %s at most", waited, want)
				}
			})
		})
	}
}

// TestItemsTestARejectedPartAtALimitedRate guards items that share a part of their prompts against being held back for good: the part was
// rejected for ends that had another cause, and so had those of the tests that requests may make.
func TestItemsTestARejectedPartAtALimitedRate(t *testing.T) {
	for name, test := range map[string]struct {
		chanceTests int
		restart     bool
	}{
		"after two tests":                       {maxPartProbes, false},
		"after three tests":                     {maxPartProbes + 1, false},
		"deadly":                                {math.MaxInt16, false},
		"all nodes restart after the rejection": {0, true},
		"all nodes restart after the rejection, and one": {1, true},
	} {
		t.Run(name, func(t *testing.T) {
			inCluster(t, 3, partReplicas, func(t *testing.T, c *cluster) {
				parts := PartKeys(prompt.Parts{{ID: "first"}, {ID: "own"}})
				var ends []time.Time
				done := 0
				time.Sleep(2 * allNodesReadDelay)
				for number := range 1500 {
					time.Sleep(100 * time.Millisecond)
					if test.restart && number == 2*minPartEnds {
						c.restartAll()
					}
					member := c.nodes[number%3]
					permit := member.AdmitItem(t.Context(), keyOf(fmt.Sprint("item ", number)), parts...)
					if permit.Verdict() == Rejected {
						permit.Release()
						continue
					}
					handle := c.handle(member, number%partReplicas)
					run := permit.Begin(handle, nil)
					if len(ends) < minPartEnds+test.chanceTests {
						c.crash(handle, Key{})
						ends = append(ends, time.Now())
						run.End(t.Context(), Lost)
					} else {
						done++
						run.Received(begunEvents)
						run.End(t.Context(), Whole)
					}
					permit.Release()
				}
				for index := minPartEnds; index < len(ends); index++ {
					if waited, want := ends[index].Sub(ends[index-1]), RetryDelay(index-minPartEnds); waited < want {
						t.Errorf("test %d comes %s after the end before, want %s at least", index-minPartEnds+1, waited, want)
					}
				}
				if deadly := test.chanceTests == math.MaxInt16; deadly && done > 0 || !deadly && done < 500 {
					t.Errorf("%d items are done, %d replicas ended", done, len(ends))
				}
			})
		})
	}
}

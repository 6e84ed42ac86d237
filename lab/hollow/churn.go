package hollow

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

const (
	secondsPerDay = 86400
	// restartDown is how long a planned restart takes, failureDown how long a failed
	// machine stays away.
	restartDown = 2 * time.Second
	failureDown = 12 * time.Second
	// leaveNotice is how long a leaving node still runs.
	leaveNotice = 300 * time.Millisecond
)

// churn restarts and fails nodes at random, and changes the configuration.
type churn struct {
	world    *world
	observer *observer
	random   *rand.Rand
	running  sync.WaitGroup
	// failing allows failures; restarts and changes go on without it.
	failing  atomic.Bool
	restarts atomic.Int64
	failures atomic.Int64

	// mutex guards away and failure.
	mutex   sync.Mutex
	away    map[*node]bool // nodes that are being restarted, or are down
	failure error
}

func newChurn(w *world, o *observer) *churn {
	return &churn{
		world: w, observer: o, away: make(map[*node]bool),
		random: rand.New(rand.NewPCG(w.options.Seed, 1)),
	}
}

// run makes changes until ctx ends. It returns at the first failure to make one.
func (c *churn) run(ctx context.Context) error {
	restart := c.after(c.world.options.RestartsPerDay)
	failure := c.after(c.world.options.FailuresPerDay)
	change := time.NewTicker(c.world.options.ConfigInterval)
	defer change.Stop()
	for number := 0; ; {
		select {
		case <-ctx.Done():
			c.running.Wait()
			c.mutex.Lock()
			defer c.mutex.Unlock()
			return c.failure
		case <-restart:
			restart = c.after(c.world.options.RestartsPerDay)
			c.restartOne(ctx)
		case <-failure:
			failure = c.after(c.world.options.FailuresPerDay)
			if c.failing.Load() {
				c.failOne(ctx)
			}
		case <-change.C:
			number++
			if err := c.world.applyChange(ctx, number); err != nil && ctx.Err() == nil {
				return err
			}
		}
	}
}

// after fires once, at a random time that has the given daily rate.
func (c *churn) after(perDay float64) <-chan time.Time {
	if perDay <= 0 {
		return nil
	}
	return time.After(time.Duration(c.random.ExpFloat64() * secondsPerDay / perDay * float64(time.Second)))
}

// choose takes a random node that runs and is not a seed.
func (c *churn) choose() *node {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for range len(c.world.nodes) {
		chosen := c.world.nodes[c.random.IntN(len(c.world.nodes))]
		if up, _ := chosen.isUp(); up && !c.away[chosen] {
			c.away[chosen] = true
			return chosen
		}
	}
	return nil
}

func (c *churn) back(returned *node) {
	err := returned.start()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.away, returned)
	if err != nil {
		c.failure = err
	}
}

func (c *churn) restartOne(ctx context.Context) {
	chosen := c.choose()
	if chosen == nil {
		return
	}
	c.restarts.Add(1)
	c.running.Go(func() {
		if chosen.membership.Leave(ctx) == nil {
			pause(ctx, leaveNotice)
		}
		chosen.stop()
		pause(ctx, restartDown)
		c.back(chosen)
	})
}

func (c *churn) failOne(ctx context.Context) {
	chosen := c.choose()
	if chosen == nil {
		return
	}
	c.failures.Add(1)
	c.running.Go(func() {
		c.observer.died(chosen, false)
		chosen.crash()
		pause(ctx, failureDown)
		c.back(chosen)
	})
}

// loseZone fails all nodes of a zone at once and returns them.
func (c *churn) loseZone(zone int) []*node {
	var lost []*node
	c.mutex.Lock()
	for _, each := range c.world.nodes {
		if up, _ := each.isUp(); up && each.zone == zone && !c.away[each] {
			c.away[each] = true
			lost = append(lost, each)
		}
	}
	c.mutex.Unlock()
	for _, each := range lost {
		c.observer.died(each, true)
	}
	var crashing sync.WaitGroup
	for _, each := range lost {
		crashing.Go(each.crash)
	}
	crashing.Wait()
	return lost
}

func (c *churn) returnZone(lost []*node) {
	var starting sync.WaitGroup
	for _, each := range lost {
		starting.Go(func() { c.back(each) })
	}
	starting.Wait()
}

func pause(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

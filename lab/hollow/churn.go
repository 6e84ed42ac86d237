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
	// restartDowntime is the downtime of a planned restart, failureDowntime that of a failed
	// machine.
	restartDowntime = 2 * time.Second
	failureDowntime = 12 * time.Second
	// leaveNotice is how long a leaving node still runs after its notice.
	leaveNotice = 300 * time.Millisecond
)

// churn restarts and fails random nodes, and changes the configuration.
type churn struct {
	world    *world
	observer *observer
	random   *rand.Rand
	running  sync.WaitGroup
	// failing enables failures; restarts and configuration changes do not depend on it.
	failing  atomic.Bool
	restarts atomic.Int64
	failures atomic.Int64

	// mutex guards away and failure.
	mutex   sync.Mutex
	away    map[*node]bool // nodes that are being restarted or are down
	failure error
}

func newChurn(w *world, o *observer) *churn {
	return &churn{
		world: w, observer: o, away: make(map[*node]bool),
		random: rand.New(rand.NewPCG(w.options.Seed, 1)),
	}
}

// run runs until ctx ends or a configuration change fails. It returns the first error.
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
			c.restartRandom(ctx)
		case <-failure:
			failure = c.after(c.world.options.FailuresPerDay)
			if c.failing.Load() {
				c.failRandom(ctx)
			}
		case <-change.C:
			number++
			if err := c.world.applyChange(ctx, number); err != nil && ctx.Err() == nil {
				return err
			}
		}
	}
}

// after returns a channel that fires once, after an exponentially distributed time with the given daily rate.
func (c *churn) after(perDay float64) <-chan time.Time {
	if perDay <= 0 {
		return nil
	}
	return time.After(time.Duration(c.random.ExpFloat64() * secondsPerDay / perDay * float64(time.Second)))
}

// choose marks a random running node as away and returns it, or nil if it finds none.
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

// bringBack starts a node that was away.
func (c *churn) bringBack(returned *node) {
	err := returned.start()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.away, returned)
	if err != nil {
		c.failure = err
	}
}

func (c *churn) restartRandom(ctx context.Context) {
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
		pause(ctx, restartDowntime)
		c.bringBack(chosen)
	})
}

func (c *churn) failRandom(ctx context.Context) {
	chosen := c.choose()
	if chosen == nil {
		return
	}
	c.failures.Add(1)
	c.running.Go(func() {
		c.observer.recordDeath(chosen, false)
		chosen.crash()
		pause(ctx, failureDowntime)
		c.bringBack(chosen)
	})
}

// loseZone crashes all running nodes of a zone at the same time and returns them.
func (c *churn) loseZone(zone int) []*node {
	var lost []*node
	c.mutex.Lock()
	for _, candidate := range c.world.nodes {
		if up, _ := candidate.isUp(); up && candidate.zone == zone && !c.away[candidate] {
			c.away[candidate] = true
			lost = append(lost, candidate)
		}
	}
	c.mutex.Unlock()
	for _, failed := range lost {
		c.observer.recordDeath(failed, true)
	}
	var crashing sync.WaitGroup
	for _, failed := range lost {
		crashing.Go(failed.crash)
	}
	crashing.Wait()
	return lost
}

// returnZone starts the nodes of a lost zone again.
func (c *churn) returnZone(lost []*node) {
	var starting sync.WaitGroup
	for _, failed := range lost {
		starting.Go(func() { c.bringBack(failed) })
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

package job

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// maxWaitingPerService bounds the items of one service that wait for a credit on one node.
const maxWaitingPerService = 64

// dispatchCore decides which items wait for a credit next: by rank, then by
// deadline, within a bound for the node and a share for each service. It is pure and
// used by one goroutine.
type dispatchCore struct {
	// limit bounds the items in flight, waiting and running.
	limit    int
	running  int
	waiting  int
	services map[string]*serviceQueue
	flights  map[flightKey]*flight
}

// dispatchJob is a live job as the core sees it.
type dispatchJob struct {
	id       string
	service  string
	rank     int
	deadline time.Time
	total    int
	// done tells which items had a result when the job was added.
	done bitmap
	// next is the first item that was never started; requeued ones go first.
	next     int
	requeued []requeuedItem
	removed  bool
	// run is what the dispatcher hangs on the job; the core doesn't look at it.
	run *jobRun
}

// requeuedItem is an item that comes back with what is known of it.
type requeuedItem struct {
	index    int
	progress *itemProgress
}

type flightKey struct {
	job   *dispatchJob
	index int
}

// flight is an item that waits for a credit or runs.
type flight struct {
	running  bool
	stopping bool
}

// serviceQueue holds the jobs of one service that have items to start, best first.
type serviceQueue struct {
	jobs    []*dispatchJob
	waiting int
}

// dispatchEvent is one of the event types below.
type dispatchEvent interface{ isDispatchEvent() }

type (
	// jobAdded: a job became live here.
	jobAdded struct{ job *dispatchJob }
	// jobRemoved: nothing of the job is started any more.
	jobRemoved struct{ job *dispatchJob }
	// itemGranted: the item has its credit and runs.
	itemGranted struct{ key flightKey }
	// itemLeft: the item has its result, or goes back to the queue.
	itemLeft struct {
		key     flightKey
		requeue *itemProgress
	}
)

func (jobAdded) isDispatchEvent()    {}
func (jobRemoved) isDispatchEvent()  {}
func (itemGranted) isDispatchEvent() {}
func (itemLeft) isDispatchEvent()    {}

// dispatchAction is one of the action types below.
type dispatchAction interface{ isDispatchAction() }

type (
	// startItem: acquire a credit for the item and run it.
	startItem struct {
		key      flightKey
		progress *itemProgress
	}
	// stopWaiting: give up the wait for a credit; the item comes back by itemLeft.
	stopWaiting struct{ key flightKey }
)

func (startItem) isDispatchAction()   {}
func (stopWaiting) isDispatchAction() {}

func newDispatchCore(limit int) *dispatchCore {
	return &dispatchCore{limit: limit, services: make(map[string]*serviceQueue), flights: make(map[flightKey]*flight)}
}

// step takes one event and returns what is to be done.
func (c *dispatchCore) step(event dispatchEvent) []dispatchAction {
	switch typed := event.(type) {
	case jobAdded:
		c.enqueue(typed.job)
	case jobRemoved:
		typed.job.removed = true
		c.queueOf(typed.job).remove(typed.job)
	case itemGranted:
		c.grant(typed.key)
	case itemLeft:
		c.leave(typed)
	}
	return c.fill()
}

func (c *dispatchCore) queueOf(job *dispatchJob) *serviceQueue {
	queue := c.services[job.service]
	if queue == nil {
		queue = &serviceQueue{}
		c.services[job.service] = queue
	}
	return queue
}

func (c *dispatchCore) enqueue(job *dispatchJob) {
	if !job.removed && job.pending() {
		c.queueOf(job).insert(job)
	}
}

func (c *dispatchCore) grant(key flightKey) {
	entry := c.flights[key]
	if entry == nil || entry.running {
		return
	}
	entry.running, entry.stopping = true, false
	c.waiting--
	c.running++
	c.queueOf(key.job).waiting--
}

func (c *dispatchCore) leave(event itemLeft) {
	entry := c.flights[event.key]
	if entry == nil {
		return
	}
	delete(c.flights, event.key)
	if entry.running {
		c.running--
	} else {
		c.waiting--
		c.queueOf(event.key.job).waiting--
	}
	if event.requeue != nil {
		job := event.key.job
		job.requeued = append(job.requeued, requeuedItem{event.key.index, event.requeue})
		c.enqueue(job)
	}
}

// fill starts what has room, best job first, then gives up a worse wait for a better one.
func (c *dispatchCore) fill() []dispatchAction {
	var actions []dispatchAction
	for c.running+c.waiting < c.limit {
		queue := c.bestQueue()
		if queue == nil {
			break
		}
		job := queue.jobs[0]
		item := job.take()
		key := flightKey{job, item.index}
		c.flights[key] = &flight{}
		c.waiting++
		queue.waiting++
		if !job.pending() {
			queue.remove(job)
		}
		actions = append(actions, startItem{key, item.progress})
	}
	return append(actions, c.preempt()...)
}

// bestQueue returns the service with the best job among those below their share.
func (c *dispatchCore) bestQueue() *serviceQueue {
	share := c.share()
	var best *serviceQueue
	for _, queue := range c.services {
		if len(queue.jobs) == 0 || queue.waiting >= share {
			continue
		}
		if best == nil || compareJobs(queue.jobs[0], best.jobs[0]) < 0 {
			best = queue
		}
	}
	return best
}

// share is how many items of one service may wait.
func (c *dispatchCore) share() int {
	active := 0
	for _, queue := range c.services {
		if len(queue.jobs) > 0 || queue.waiting > 0 {
			active++
		}
	}
	return min(maxWaitingPerService, max(1, (c.limit-c.running)/max(1, active)))
}

// preempt gives up one wait where a better job of the same service, or a service
// that has none, finds no room. One at a time: its end calls for the next.
func (c *dispatchCore) preempt() []dispatchAction {
	for _, entry := range c.flights {
		if entry.stopping {
			return nil
		}
	}
	for _, queue := range c.sortedQueues() {
		if worst, found := c.worstWaiting(queue); found && compareJobs(queue.jobs[0], worst.job) < 0 {
			return c.stop(worst)
		}
		if queue.waiting == 0 && c.running+c.waiting >= c.limit {
			if worst, found := c.worstWaiting(nil); found && c.queueOf(worst.job).waiting > 1 {
				return c.stop(worst)
			}
		}
	}
	return nil
}

func (c *dispatchCore) stop(key flightKey) []dispatchAction {
	c.flights[key].stopping = true
	return []dispatchAction{stopWaiting{key}}
}

// sortedQueues returns the services that have something to start, best first.
func (c *dispatchCore) sortedQueues() []*serviceQueue {
	var queues []*serviceQueue
	for _, queue := range c.services {
		if len(queue.jobs) > 0 {
			queues = append(queues, queue)
		}
	}
	slices.SortFunc(queues, func(a, b *serviceQueue) int { return compareJobs(a.jobs[0], b.jobs[0]) })
	return queues
}

// worstWaiting returns the item that waits with the worst job, of one service or, for nil, of any.
func (c *dispatchCore) worstWaiting(queue *serviceQueue) (flightKey, bool) {
	var worst flightKey
	found := false
	for key, entry := range c.flights {
		if entry.running || (queue != nil && c.queueOf(key.job) != queue) {
			continue
		}
		order := 1
		if found {
			order = cmp.Or(compareJobs(key.job, worst.job), cmp.Compare(key.index, worst.index))
		}
		if order > 0 {
			worst, found = key, true
		}
	}
	return worst, found
}

// compareJobs orders jobs: higher rank, then earlier deadline, then id.
func compareJobs(a, b *dispatchJob) int {
	return cmp.Or(
		cmp.Compare(b.rank, a.rank),
		a.deadline.Compare(b.deadline),
		strings.Compare(a.id, b.id),
	)
}

// insert puts the job in its place. A job of the same id can stand there still, of an
// earlier ownership that has not ended yet.
func (q *serviceQueue) insert(job *dispatchJob) {
	if !slices.Contains(q.jobs, job) {
		at, _ := slices.BinarySearchFunc(q.jobs, job, compareJobs)
		q.jobs = slices.Insert(q.jobs, at, job)
	}
}

func (q *serviceQueue) remove(job *dispatchJob) {
	if at := slices.Index(q.jobs, job); at >= 0 {
		q.jobs = slices.Delete(q.jobs, at, at+1)
	}
}

// pending tells whether the job has an item to start; it moves next to it.
func (j *dispatchJob) pending() bool {
	for j.next < j.total && j.done.has(j.next) {
		j.next++
	}
	return len(j.requeued) > 0 || j.next < j.total
}

// take returns the next item; pending was true.
func (j *dispatchJob) take() requeuedItem {
	if len(j.requeued) > 0 {
		item := j.requeued[0]
		j.requeued = j.requeued[1:]
		return item
	}
	item := requeuedItem{index: j.next, progress: &itemProgress{}}
	j.next++
	return item
}

// bitmap is a set of item indexes.
type bitmap []uint64

func newBitmap(size int) bitmap { return make(bitmap, (size+63)/64) }

func (b bitmap) set(index int) { b[index/64] |= 1 << (index % 64) }

func (b bitmap) has(index int) bool {
	return index/64 < len(b) && b[index/64]&(1<<(index%64)) != 0
}

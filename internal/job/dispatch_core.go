package job

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// maxWaitingPerService bounds the items of one service waiting for a credit on one node.
const maxWaitingPerService = 64

// dispatchCore decides which items wait for a credit next: by rank, then by deadline,
// within a limit for the node and a share for each service. It does no I/O and starts
// no goroutines. It is not safe for concurrent use.
type dispatchCore struct {
	// limit bounds the items in flight: waiting for a credit or running.
	limit    int
	running  int
	waiting  int
	services map[string]*serviceQueue
	inFlight map[itemKey]*inFlightItem
}

// dispatchJob is what the core knows of a live job.
type dispatchJob struct {
	id       string
	service  string
	rank     int
	deadline time.Time
	total    int
	// skip holds the items that must not be started from nextIndex: those that had a result
	// when the job was added, and those in requeued because of a recorded attempt.
	skip bitmap
	// nextIndex is the lowest item that was never started; requeued items go first.
	nextIndex int
	requeued  []requeuedItem
	removed   bool
	// run belongs to the dispatcher; the core does not use it.
	run *jobRun
}

// requeuedItem is an item to be started again with its progress so far.
type requeuedItem struct {
	index    int
	progress *itemProgress
}

type itemKey struct {
	job   *dispatchJob
	index int
}

// inFlightItem is an item that waits for a credit or runs.
type inFlightItem struct {
	running bool
	// cancelling is set once the core has asked for the wait to be cancelled.
	cancelling bool
}

// serviceQueue holds the jobs of one service that have items to start, in the order of
// compareJobs.
type serviceQueue struct {
	jobs    []*dispatchJob
	waiting int
}

// dispatchEvent is one of the event types below.
type dispatchEvent interface{ isDispatchEvent() }

type (
	// jobAdded reports that a job is live on this node.
	jobAdded struct{ job *dispatchJob }
	// jobRemoved makes the core start no more items of the job.
	jobRemoved struct{ job *dispatchJob }
	// itemGranted reports that the item has its credit and runs.
	itemGranted struct{ key itemKey }
	// itemRunEnded reports that the item is no longer in flight. It is started again if
	// requeue is set.
	itemRunEnded struct {
		key     itemKey
		requeue *itemProgress
	}
)

func (jobAdded) isDispatchEvent()     {}
func (jobRemoved) isDispatchEvent()   {}
func (itemGranted) isDispatchEvent()  {}
func (itemRunEnded) isDispatchEvent() {}

// dispatchAction is one of the action types below.
type dispatchAction interface{ isDispatchAction() }

type (
	// startItem asks to acquire a credit for the item and run it.
	startItem struct {
		key      itemKey
		progress *itemProgress
	}
	// cancelWait asks to cancel the wait for a credit; an itemRunEnded follows.
	cancelWait struct{ key itemKey }
)

func (startItem) isDispatchAction()  {}
func (cancelWait) isDispatchAction() {}

func newDispatchCore(limit int) *dispatchCore {
	return &dispatchCore{
		limit:    limit,
		services: make(map[string]*serviceQueue),
		inFlight: make(map[itemKey]*inFlightItem),
	}
}

// step applies one event and returns the actions to carry out.
func (c *dispatchCore) step(event dispatchEvent) []dispatchAction {
	switch typed := event.(type) {
	case jobAdded:
		c.enqueue(typed.job)
	case jobRemoved:
		typed.job.removed = true
		c.queueOf(typed.job).remove(typed.job)
	case itemGranted:
		c.markRunning(typed.key)
	case itemRunEnded:
		c.endItemRun(typed)
	}
	return c.schedule()
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

func (c *dispatchCore) markRunning(key itemKey) {
	entry := c.inFlight[key]
	if entry == nil || entry.running {
		return
	}
	entry.running, entry.cancelling = true, false
	c.waiting--
	c.running++
	c.queueOf(key.job).waiting--
}

func (c *dispatchCore) endItemRun(event itemRunEnded) {
	entry := c.inFlight[event.key]
	if entry == nil {
		return
	}
	delete(c.inFlight, event.key)
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

// schedule starts items up to the limit, best job first, then preempts at most one wait.
func (c *dispatchCore) schedule() []dispatchAction {
	var actions []dispatchAction
	for c.running+c.waiting < c.limit {
		queue := c.bestQueue()
		if queue == nil {
			break
		}
		job := queue.jobs[0]
		item := job.takeItem()
		key := itemKey{job, item.index}
		c.inFlight[key] = &inFlightItem{}
		c.waiting++
		queue.waiting++
		if !job.pending() {
			queue.remove(job)
		}
		actions = append(actions, startItem{key, item.progress})
	}
	return append(actions, c.preempt()...)
}

// bestQueue returns the queue with the best job among the services below their share.
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

// share returns how many items of one service may wait for a credit.
func (c *dispatchCore) share() int {
	active := 0
	for _, queue := range c.services {
		if len(queue.jobs) > 0 || queue.waiting > 0 {
			active++
		}
	}
	return min(maxWaitingPerService, max(1, (c.limit-c.running)/max(1, active)))
}

// preempt cancels one wait in favor of a better job of the same service, or of a service
// with no waiting item when the node is at its limit. At most one wait is being cancelled
// at a time; the event that reports its end triggers the next preemption.
func (c *dispatchCore) preempt() []dispatchAction {
	for _, entry := range c.inFlight {
		if entry.cancelling {
			return nil
		}
	}
	for _, queue := range c.sortedQueues() {
		if worst, found := c.worstWaiting(queue); found && compareJobs(queue.jobs[0], worst.job) < 0 {
			return c.cancelWaitOf(worst)
		}
		if queue.waiting == 0 && c.running+c.waiting >= c.limit {
			if worst, found := c.worstWaiting(nil); found && c.queueOf(worst.job).waiting > 1 {
				return c.cancelWaitOf(worst)
			}
		}
	}
	return nil
}

func (c *dispatchCore) cancelWaitOf(key itemKey) []dispatchAction {
	c.inFlight[key].cancelling = true
	return []dispatchAction{cancelWait{key}}
}

// sortedQueues returns the queues with items to start, best job first.
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

// worstWaiting returns the waiting item of the worst job in the given queue, or in any
// queue if it is nil. The result is false if no item waits.
func (c *dispatchCore) worstWaiting(queue *serviceQueue) (itemKey, bool) {
	var worst itemKey
	found := false
	for key, entry := range c.inFlight {
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

// insert adds the job in order, unless the queue holds it already. A different job with
// the same id may still be present from an earlier ownership that has not ended yet.
func (q *serviceQueue) insert(job *dispatchJob) {
	if !slices.Contains(q.jobs, job) {
		index, _ := slices.BinarySearchFunc(q.jobs, job, compareJobs)
		q.jobs = slices.Insert(q.jobs, index, job)
	}
}

func (q *serviceQueue) remove(job *dispatchJob) {
	if index := slices.Index(q.jobs, job); index >= 0 {
		q.jobs = slices.Delete(q.jobs, index, index+1)
	}
}

// pending reports whether the job has an item to start. It advances nextIndex past
// skipped items.
func (j *dispatchJob) pending() bool {
	for j.nextIndex < j.total && j.skip.has(j.nextIndex) {
		j.nextIndex++
	}
	return len(j.requeued) > 0 || j.nextIndex < j.total
}

// takeItem returns the next item to start; pending must have returned true.
func (j *dispatchJob) takeItem() requeuedItem {
	if len(j.requeued) > 0 {
		item := j.requeued[0]
		j.requeued = j.requeued[1:]
		return item
	}
	item := requeuedItem{index: j.nextIndex, progress: &itemProgress{}}
	j.nextIndex++
	return item
}

// bitmap is a set of item indexes.
type bitmap []uint64

func newBitmap(size int) bitmap { return make(bitmap, (size+63)/64) }

func (b bitmap) set(index int) { b[index/64] |= 1 << (index % 64) }

func (b bitmap) has(index int) bool {
	return index/64 < len(b) && b[index/64]&(1<<(index%64)) != 0
}

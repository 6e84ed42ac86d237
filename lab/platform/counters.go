package platform

import "sync"

// Operation is the name of a counted operation.
type Operation string

// Counted operations.
const (
	OperationGet       Operation = "key-value.get"
	OperationList      Operation = "key-value.list"
	OperationCommit    Operation = "key-value.commit"
	OperationWatch     Operation = "key-value.watch"
	OperationGrant     Operation = "key-value.grant"
	OperationKeepAlive Operation = "key-value.keepalive"
	OperationRevoke    Operation = "key-value.revoke"
	OperationMachines  Operation = "machine-list.list"
	OperationDescribe  Operation = "weight-store.describe"
	OperationReserve   Operation = "weight-store.reserve"
)

// OperationCount counts the calls of an operation and those refused by an outage or a rate limit.
type OperationCount struct {
	Calls   int64 `json:"calls"`
	Refused int64 `json:"refused"`
}

type counters struct {
	mutex  sync.Mutex
	counts map[Operation]OperationCount
}

func newCounters() *counters { return &counters{counts: make(map[Operation]OperationCount)} }

func (c *counters) add(operation Operation, refused bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	count := c.counts[operation]
	count.Calls++
	if refused {
		count.Refused++
	}
	c.counts[operation] = count
}

func (c *counters) snapshot() map[Operation]OperationCount {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	copied := make(map[Operation]OperationCount, len(c.counts))
	for operation, count := range c.counts {
		copied[operation] = count
	}
	return copied
}

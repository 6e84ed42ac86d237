package route

import (
	"sync"

	"github.com/sloelift/sloelift/internal/subscription"
)

// Holder holds the table in force. It is safe for concurrent use.
type Holder struct {
	mutex sync.RWMutex
	// table is guarded by mutex.
	table       *Table
	subscribers subscription.List[*Table]
}

// NewHolder returns a Holder without a table.
func NewHolder() *Holder { return &Holder{} }

// Table returns the table in force; nil before the first one.
func (h *Holder) Table() *Table {
	h.mutex.RLock()
	defer h.mutex.RUnlock()
	return h.table
}

// Offer puts table in force if its version is higher than that of the current table, and reports whether it did.
func (h *Holder) Offer(table *Table) bool {
	h.mutex.Lock()
	if h.table != nil && table.Version <= h.table.Version {
		h.mutex.Unlock()
		return false
	}
	h.table = table
	h.mutex.Unlock()
	h.subscribers.Notify(table)
	return true
}

// Subscribe calls notify after each change until remove is called.
func (h *Holder) Subscribe(notify func(*Table)) (remove func()) { return h.subscribers.Add(notify) }

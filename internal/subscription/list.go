// Package subscription keeps the functions that are called after a change.
package subscription

import "sync"

// List holds functions to call with each new value. Its zero value is empty. It is
// safe for concurrent use.
type List[Value any] struct {
	mutex sync.Mutex
	// last and byID are guarded by mutex.
	last uint64
	byID map[uint64]func(Value)
}

// Add has notify called with each later value until remove is called. A call that has
// begun by then may still end after it.
func (l *List[Value]) Add(notify func(Value)) (remove func()) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.byID == nil {
		l.byID = make(map[uint64]func(Value))
	}
	l.last++
	id := l.last
	l.byID[id] = notify
	return func() {
		l.mutex.Lock()
		defer l.mutex.Unlock()
		delete(l.byID, id)
	}
}

// Notify calls all functions, without the lock, so that they may be removed meanwhile.
func (l *List[Value]) Notify(value Value) {
	l.mutex.Lock()
	called := make([]func(Value), 0, len(l.byID))
	for _, notify := range l.byID {
		called = append(called, notify)
	}
	l.mutex.Unlock()
	for _, notify := range called {
		notify(value)
	}
}

// Package subscription manages functions that are called after a change.
package subscription

import "sync"

// List is a list of functions to call with each new value. Its zero value is empty. It is
// safe for concurrent use.
type List[Value any] struct {
	mutex sync.Mutex
	// lastID and byID are guarded by mutex.
	lastID uint64
	byID   map[uint64]func(Value)
}

// Add registers notify to be called with each later value until remove is called. A call
// that is already in progress may still be running when remove returns.
func (l *List[Value]) Add(notify func(Value)) (remove func()) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.byID == nil {
		l.byID = make(map[uint64]func(Value))
	}
	l.lastID++
	id := l.lastID
	l.byID[id] = notify
	return func() {
		l.mutex.Lock()
		defer l.mutex.Unlock()
		delete(l.byID, id)
	}
}

// Notify calls all functions, without holding the lock, so that they may remove themselves or others.
func (l *List[Value]) Notify(value Value) {
	l.mutex.Lock()
	notifiers := make([]func(Value), 0, len(l.byID))
	for _, notify := range l.byID {
		notifiers = append(notifiers, notify)
	}
	l.mutex.Unlock()
	for _, notify := range notifiers {
		notify(value)
	}
}

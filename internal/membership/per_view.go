package membership

import "sync"

// ViewCache caches a value computed from the latest view, so that it is computed once for each view.
// The zero value has seen no view. It is safe for concurrent use.
type ViewCache[Value any] struct {
	mutex sync.Mutex
	view  *View
	value Value
}

// Get returns the value that work computes from view. It calls work only if view is not the latest
// one that Get was called with.
func (p *ViewCache[Value]) Get(view *View, work func(*View) Value) Value {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.view != view {
		p.view, p.value = view, work(view)
	}
	return p.value
}

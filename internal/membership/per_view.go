package membership

import "sync"

// PerView keeps what was worked out from the latest view of the members, so that it is worked out once for each. Its zero value has seen no view.
// It is safe for concurrent use.
type PerView[Value any] struct {
	mutex sync.Mutex
	view  *View
	value Value
}

// Of returns what work makes of view.
func (p *PerView[Value]) Of(view *View, work func(*View) Value) Value {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.view != view {
		p.view, p.value = view, work(view)
	}
	return p.value
}

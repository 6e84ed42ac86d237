// Package membershiptest has stand-ins for the membership of a cluster, for tests.
package membershiptest

import (
	"sync"

	"github.com/sloelift/sloelift/internal/membership"
)

// Viewer is one node's view of the members, which the test sets; nobody is notified of a change. It is safe for concurrent use.
type Viewer struct {
	mutex sync.Mutex
	view  *membership.View
}

// NewViewer returns a Viewer that shows view; nil where the view is set later.
func NewViewer(view *membership.View) *Viewer { return &Viewer{view: view} }

// View implements membership.Viewer.
func (v *Viewer) View() *membership.View {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	return v.view
}

// Subscribe implements membership.Viewer; it never notifies.
func (*Viewer) Subscribe(func(*membership.View)) (unsubscribe func()) { return func() {} }

// Set replaces the view, which must not be changed afterwards.
func (v *Viewer) Set(view *membership.View) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	v.view = view
}

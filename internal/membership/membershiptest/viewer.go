// Package membershiptest provides test doubles for the membership of a cluster.
package membershiptest

import (
	"sync"

	"github.com/sloelift/sloelift/internal/membership"
)

// Viewer is a membership.Viewer whose view is set by the test. Subscribers are never notified. It
// is safe for concurrent use.
type Viewer struct {
	mutex sync.Mutex
	view  *membership.View
}

// NewViewer returns a Viewer with the given view, which may be nil until Set is called.
func NewViewer(view *membership.View) *Viewer { return &Viewer{view: view} }

// View implements membership.Viewer.
func (v *Viewer) View() *membership.View {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	return v.view
}

// Subscribe implements membership.Viewer; it never notifies.
func (*Viewer) Subscribe(func(*membership.View)) (unsubscribe func()) { return func() {} }

// Set replaces the view, which must not be modified afterwards.
func (v *Viewer) Set(view *membership.View) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	v.view = view
}

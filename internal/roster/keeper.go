package roster

import (
	"sync"
	"time"

	"github.com/sloelift/sloelift/internal/replica"
)

// Keeper keeps a node's part of the list in its replica directory. It is safe for concurrent use.
type Keeper struct {
	directory *replica.Directory

	mutex sync.Mutex
	width width
	// part is the node's part of the list. passedOver are replicas that left the part while they
	// are still listed and have requests of this node.
	part       map[string]replica.Info
	passedOver map[string]replica.Info
}

// NewKeeper returns a Keeper with an empty part.
func NewKeeper(directory *replica.Directory) *Keeper {
	return &Keeper{directory: directory, width: newWidth(), part: map[string]replica.Info{}, passedOver: map[string]replica.Info{}}
}

// Width returns the current width of the node's part.
func (k *Keeper) Width(now time.Time) int {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.width.next(measureUsage(k.directory.View(), now), now)
}

// Replace replaces the part. copied reports whether replicas come from a saved copy of the list.
func (k *Keeper) Replace(replicas []replica.Info, elsewhere map[string]int, copied bool) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	next := make(map[string]replica.Info, len(replicas))
	for _, info := range replicas {
		next[info.ID] = info
	}
	for handle := range k.directory.View().All() {
		if info := handle.Info(); next[info.ID] == (replica.Info{}) && handle.InUse() > 0 {
			k.passedOver[info.ID] = *info
		}
	}
	k.part = next
	k.publish(elsewhere, copied)
}

// Update applies changes to the part. gone replicas have left the list; passedOver replicas are
// still listed but are no longer in the part.
func (k *Keeper) Update(changed []replica.Info, gone, passedOver []string, elsewhere map[string]int) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	for _, info := range changed {
		k.part[info.ID] = info
	}
	for _, id := range passedOver {
		if info, known := k.part[id]; known {
			k.passedOver[id] = info
		}
		delete(k.part, id)
	}
	for _, id := range gone {
		delete(k.part, id)
		delete(k.passedOver, id)
	}
	if len(changed)+len(gone)+len(passedOver)+len(k.passedOver) == 0 {
		k.directory.SetUnlistedSlots(elsewhere)
		return
	}
	k.publish(elsewhere, false)
}

// publish writes the part to the directory. A replica that was passed over stays there, without new
// requests, while it has requests of this node, so that leaving the part is not mistaken for the
// end of the replica. The mutex is held.
func (k *Keeper) publish(elsewhere map[string]int, copied bool) {
	content := make([]replica.Info, 0, len(k.part)+len(k.passedOver))
	for _, info := range k.part {
		content = append(content, info)
	}
	for id, info := range k.passedOver {
		handle := k.directory.View().Find(id)
		_, again := k.part[id]
		if again || handle == nil || handle.InUse() == 0 {
			delete(k.passedOver, id)
			continue
		}
		info.Draining = true
		content = append(content, info)
	}
	k.directory.SetUnlistedSlots(elsewhere)
	if copied {
		k.directory.ReplaceByCopy(content)
		return
	}
	k.directory.Replace(content)
}

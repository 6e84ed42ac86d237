package batch

import (
	"context"
	"sync"
	"time"

	batchpb "github.com/sloelift/sloelift/api/proto/batch"
	"github.com/sloelift/sloelift/internal/membership"
	"github.com/sloelift/sloelift/internal/replica"
	"github.com/sloelift/sloelift/internal/transport"
)

const (
	// tellInterval is how often an edge looks whether its load has changed, tellAnyway how often it tells it all the same.
	tellInterval = 100 * time.Millisecond
	tellAnyway   = time.Second
	// changeWorthTelling is the number of requests by which a load must have changed.
	changeWorthTelling = 2
)

// LoadTeller tells the nodes with a store, which own partitions, how many online requests this process has at replicas.
type LoadTeller struct {
	directory *replica.Directory
	viewer    membership.Viewer
	caller    transport.Caller

	cancel  context.CancelFunc
	running sync.WaitGroup
	// told and toldAt are what was told last; they belong to the running goroutine.
	told   map[string]int
	toldAt time.Time
}

// NewLoadTeller returns a LoadTeller; nothing runs before Start.
func NewLoadTeller(directory *replica.Directory, viewer membership.Viewer, caller transport.Caller) *LoadTeller {
	return &LoadTeller{directory: directory, viewer: viewer, caller: caller, told: map[string]int{}}
}

// Start begins to tell.
func (t *LoadTeller) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	t.cancel = cancel
	t.running.Go(func() {
		ticker := time.NewTicker(tellInterval)
		defer ticker.Stop()
		for {
			select {
			case now := <-ticker.C:
				t.tell(now)
			case <-ctx.Done():
				return
			}
		}
	})
}

// Stop ends the telling.
func (t *LoadTeller) Stop() {
	t.cancel()
	t.running.Wait()
}

func (t *LoadTeller) tell(now time.Time) {
	inUse := t.directory.View().InUse()
	if !t.changed(inUse) && (now.Sub(t.toldAt) < tellAnyway || len(inUse)+len(t.told) == 0) {
		return
	}
	t.told, t.toldAt = inUse, now
	message := &batchpb.OnlineLoad{}
	for service, count := range inUse {
		message.Services = append(message.Services, &batchpb.ServiceLoad{Service: service, InUse: uint32(count)})
	}
	for _, member := range t.viewer.View().Live() {
		if member.Store {
			_ = t.caller.Send(member.PeerAddress, methodOnlineLoad, message)
		}
	}
}

func (t *LoadTeller) changed(inUse map[string]int) bool {
	for service, count := range inUse {
		if difference := count - t.told[service]; difference >= changeWorthTelling || -difference >= changeWorthTelling {
			return true
		}
	}
	for service, count := range t.told {
		if inUse[service] == 0 && count > 0 {
			return true
		}
	}
	return false
}

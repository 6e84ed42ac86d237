package platform

import (
	"context"

	"github.com/joomcode/errorx"

	port "github.com/sloelift/sloelift/internal/platform"
)

// isDropped reports whether a caller over the network gets no response.
func isDropped(err error) bool {
	return errorx.IsOfType(err, errDropped) || errorx.IsOfType(err, errReadDropped)
}

// Watch delivers the changes from fromRevision on, or from the next change on if it is 0. An outage
// of the zone ends the watch.
func (c *client) Watch(ctx context.Context, prefix string, fromRevision int64) (<-chan port.WatchEvent, error) {
	if err := c.read(ctx, OperationWatch); err != nil {
		return nil, err
	}
	if fromRevision <= 0 {
		fromRevision = c.server.store.list(prefix, true).Revision + 1
	}
	events := make(chan port.WatchEvent)
	go c.follow(ctx, prefix, fromRevision, events)
	return events, nil
}

func (c *client) follow(ctx context.Context, prefix string, next int64, events chan<- port.WatchEvent) {
	defer close(events)
	send := func(event port.WatchEvent) bool {
		select {
		case events <- event:
			return true
		case <-ctx.Done():
			return false
		}
	}
	for {
		outage, faultsChanged := c.server.faults.outage(c.zone, KeyValue)
		if outage.endsWatches() {
			<-ctx.Done()
			return
		}
		if outage != NoOutage {
			send(port.WatchEvent{Err: port.KindUnavailable.New("watch ended by an outage")})
			return
		}
		changes, revision, changed, err := c.server.store.changesFrom(prefix, next)
		if err != nil {
			send(port.WatchEvent{Revision: revision, Err: err})
			return
		}
		for _, event := range groupByRevision(changes) {
			if !send(event) {
				return
			}
		}
		next = max(next, revision+1)
		select {
		case <-changed:
		case <-faultsChanged:
		case <-ctx.Done():
			return
		}
	}
}

func groupByRevision(changes []change) []port.WatchEvent {
	var grouped []port.WatchEvent
	for _, entryChange := range changes {
		revision := entryChange.entry.ModRevision
		if len(grouped) == 0 || grouped[len(grouped)-1].Revision != revision {
			grouped = append(grouped, port.WatchEvent{Revision: revision})
		}
		last := &grouped[len(grouped)-1]
		if entryChange.deleted {
			last.Deleted = append(last.Deleted, entryChange.entry.Key)
		} else {
			last.Changed = append(last.Changed, entryChange.entry)
		}
	}
	return grouped
}

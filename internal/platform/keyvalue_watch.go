package platform

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/sloelift/sloelift/internal/platform/etcdjson"
)

// watchBuffer is the number of events buffered for a slow reader before the stream is no longer read.
const watchBuffer = 16

// Watch opens a watch stream; opening it is bounded by callTimeout.
func (k *KeyValueHTTP) Watch(ctx context.Context, prefix string, fromRevision int64) (<-chan WatchEvent, error) {
	if err := k.limiter.wait(ctx, purposeOf(prefix)); err != nil {
		return nil, err
	}
	body, err := json.Marshal(etcdjson.WatchRequest{Create: etcdjson.WatchCreateRequest{
		Key: []byte(prefix), RangeEnd: etcdjson.PrefixEnd(prefix), StartRevision: fromRevision,
	}})
	if err != nil {
		return nil, KindRefused.Wrap(err, "encode request")
	}
	// The stream lasts until ctx ends; only its opening has a timeout.
	ctx, cancel := context.WithCancel(ctx)
	openTimer := time.AfterFunc(callTimeout, cancel)
	answer, err := k.caller.open(ctx, http.MethodPost, etcdjson.PathWatch, readsOnly, body)
	if err != nil {
		cancel()
		return nil, err
	}
	if !openTimer.Stop() {
		cancel()
		_ = answer.Body.Close()
		return nil, KindUnavailable.New("watch did not open in time")
	}
	events := make(chan WatchEvent, watchBuffer)
	go func() {
		defer cancel()
		readWatch(ctx, answer, events)
	}()
	return events, nil
}

// readWatch delivers the stream's events until the stream ends or ctx ends.
func readWatch(ctx context.Context, answer *http.Response, events chan<- WatchEvent) {
	defer close(events)
	defer func() { _ = answer.Body.Close() }()
	decoder := json.NewDecoder(answer.Body)
	for {
		var message etcdjson.WatchMessage
		if err := decoder.Decode(&message); err != nil {
			deliver(ctx, events, WatchEvent{Err: KindUnavailable.Wrap(err, "watch broke off")})
			return
		}
		if err := watchError(message); err != nil {
			deliver(ctx, events, WatchEvent{Revision: message.Result.Header.Revision, Err: err})
			return
		}
		for _, event := range watchEvents(message.Result.Events) {
			if !deliver(ctx, events, event) {
				return
			}
		}
	}
}

// deliver sends event; it reports false if ctx ended first.
func deliver(ctx context.Context, events chan<- WatchEvent, event WatchEvent) bool {
	select {
	case events <- event:
		return true
	case <-ctx.Done():
		return false
	}
}

// watchError returns the error that a message reports, or nil.
func watchError(message etcdjson.WatchMessage) error {
	switch {
	case message.Error != nil:
		return KindUnavailable.New("watch: %s", message.Error.Message)
	case message.Result.CompactRevision > 0:
		return KindCompacted.New("revision is compacted up to %d", message.Result.CompactRevision)
	case message.Result.Canceled:
		return KindUnavailable.New("watch was cancelled")
	default:
		return nil
	}
}

// watchEvents groups changes, which are ordered by revision, into one event per revision.
func watchEvents(changed []etcdjson.Event) []WatchEvent {
	var grouped []WatchEvent
	for _, event := range changed {
		revision := event.KeyValue.ModRevision
		if len(grouped) == 0 || grouped[len(grouped)-1].Revision != revision {
			grouped = append(grouped, WatchEvent{Revision: revision})
		}
		last := &grouped[len(grouped)-1]
		if event.Type == etcdjson.EventDelete {
			last.Deleted = append(last.Deleted, string(event.KeyValue.Key))
		} else {
			last.Changed = append(last.Changed, entryOf(event.KeyValue))
		}
	}
	return grouped
}

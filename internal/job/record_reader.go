package job

import (
	"context"
	"fmt"
	"sync"
	"time"

	jobpb "github.com/sloelift/sloelift/api/proto/job"
	"github.com/sloelift/sloelift/internal/ledger"
)

const (
	// readWindowBytes is how much of the log one read for results takes.
	readWindowBytes = 512 << 10
	// readTimeout bounds one read of a chunk.
	readTimeout = 10 * time.Second
	// chunkCacheSize is how many chunks a partition keeps in memory for dispatch.
	chunkCacheSize = 4
)

// recordReader reads bulk data of one partition by position. It keeps the last few
// chunks. It is safe for concurrent use.
type recordReader struct {
	owned ledger.Owned

	mutex  sync.Mutex
	chunks map[ledger.Position]*chunkLoad
	order  []ledger.Position
}

// chunkLoad is a chunk that was read or is being read; ready is closed at its end.
type chunkLoad struct {
	ready chan struct{}
	chunk *jobpb.Chunk
	err   error
}

func newRecordReader(owned ledger.Owned) *recordReader {
	return &recordReader{owned: owned, chunks: make(map[ledger.Position]*chunkLoad)}
}

// readChunk returns the chunk at position; callers share it and don't change it.
func (r *recordReader) readChunk(ctx context.Context, position ledger.Position) (*jobpb.Chunk, error) {
	r.mutex.Lock()
	load := r.chunks[position]
	if load == nil {
		load = &chunkLoad{ready: make(chan struct{})}
		r.remember(position, load)
		r.mutex.Unlock()
		load.chunk, load.err = r.loadChunk(position)
		if load.err != nil {
			r.forget(position, load)
		}
		close(load.ready)
		return load.chunk, load.err
	}
	r.mutex.Unlock()
	select {
	case <-load.ready:
		return load.chunk, load.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// remember keeps a load and drops the oldest; the mutex is held.
func (r *recordReader) remember(position ledger.Position, load *chunkLoad) {
	r.chunks[position] = load
	r.order = append(r.order, position)
	if len(r.order) > chunkCacheSize {
		delete(r.chunks, r.order[0])
		r.order = r.order[1:]
	}
}

func (r *recordReader) forget(position ledger.Position, load *chunkLoad) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.chunks[position] == load {
		delete(r.chunks, position)
	}
}

// loadChunk reads for all who wait, so it doesn't end with the first one's context.
func (r *recordReader) loadChunk(position ledger.Position) (*jobpb.Chunk, error) {
	ctx, cancel := context.WithTimeout(context.Background(), readTimeout)
	defer cancel()
	records, err := r.owned.Read(ctx, position, 1)
	if err != nil {
		return nil, err
	}
	chunk, err := decodeAs[*jobpb.Chunk](records, position)
	if err != nil {
		return nil, err
	}
	return chunk, nil
}

// decodeAs decodes the first record, which must hold the message type asked for.
func decodeAs[Message any](records []ledger.Record, position ledger.Position) (Message, error) {
	var none Message
	if len(records) == 0 {
		return none, fmt.Errorf("no record at position %d", position)
	}
	message, err := decodeRecord(records[0])
	if err != nil {
		return none, err
	}
	typed, ok := message.(Message)
	if !ok {
		return none, fmt.Errorf("record at position %d is of kind %d", position, records[0].Kind)
	}
	return typed, nil
}

const (
	// spanPositions is the stretch of the log that is looked at for nearby results, and
	// denseResults how many of them in it make one large read worth while.
	spanPositions = 256
	denseResults  = 16
)

// resultWindow reads results by position. Where results of the same job lie close
// together, one read serves all of them; where other records lie between, each is read
// alone, so that little is read in vain. It is used by one goroutine.
type resultWindow struct {
	owned   ledger.Owned
	first   ledger.Position
	records []ledger.Record
}

// read returns the result of the first entry, which is closed; the entries behind it
// tell what will be asked for next.
func (w *resultWindow) read(ctx context.Context, entries []itemEntry) (*jobpb.ItemResult, error) {
	position := entries[0].position()
	if position < w.first || position >= w.first+ledger.Position(len(w.records)) {
		first, maxBytes := planRead(entries)
		records, err := w.owned.Read(ctx, first, maxBytes)
		if err == nil && position >= first+ledger.Position(len(records)) {
			first = position
			records, err = w.owned.Read(ctx, first, maxBytes)
		}
		if err != nil {
			return nil, err
		}
		w.first, w.records = first, records
	}
	done, err := decodeAs[*jobpb.ItemCompleted](w.records[position-w.first:], position)
	if err != nil {
		return nil, err
	}
	return done.GetResult(), nil
}

// planRead returns from where to read for the first entry, and how many bytes.
func planRead(entries []itemEntry) (ledger.Position, int) {
	wanted := entries[0].position()
	first, near := wanted, 0
	for _, entry := range entries[:min(len(entries), spanPositions)] {
		position := entry.position()
		if entry.class() != classOpen && position+spanPositions/2 >= wanted && position < wanted+spanPositions/2 {
			first = min(first, position)
			near++
		}
	}
	if near < denseResults {
		return wanted, 1
	}
	return first, readWindowBytes
}

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
	// readWindowBytes is the size of a log read that covers several results.
	readWindowBytes = 512 << 10
	// readTimeout bounds the read of one chunk.
	readTimeout = 10 * time.Second
	// chunkCacheSize is the number of input chunks that a partition caches for dispatch.
	chunkCacheSize = 4
)

// recordReader reads the input chunks of one partition by position and caches the last
// few. It is safe for concurrent use.
type recordReader struct {
	owned ledger.Owned

	mutex  sync.Mutex
	chunks map[ledger.Position]*chunkLoad
	order  []ledger.Position
}

// chunkLoad is a chunk that has been or is being read; ready is closed when chunk or err
// is set.
type chunkLoad struct {
	ready chan struct{}
	chunk *jobpb.Chunk
	err   error
}

func newRecordReader(owned ledger.Owned) *recordReader {
	return &recordReader{owned: owned, chunks: make(map[ledger.Position]*chunkLoad)}
}

// readChunk returns the chunk at position. It is shared by its callers, which must not
// modify it.
func (r *recordReader) readChunk(ctx context.Context, position ledger.Position) (*jobpb.Chunk, error) {
	r.mutex.Lock()
	load := r.chunks[position]
	if load == nil {
		load = &chunkLoad{ready: make(chan struct{})}
		r.cacheLoad(position, load)
		r.mutex.Unlock()
		load.chunk, load.err = r.loadChunk(position)
		if load.err != nil {
			r.removeLoad(position, load)
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

// cacheLoad caches a load and evicts the oldest beyond chunkCacheSize. The caller holds the
// mutex.
func (r *recordReader) cacheLoad(position ledger.Position, load *chunkLoad) {
	r.chunks[position] = load
	r.order = append(r.order, position)
	if len(r.order) > chunkCacheSize {
		delete(r.chunks, r.order[0])
		r.order = r.order[1:]
	}
}

func (r *recordReader) removeLoad(position ledger.Position, load *chunkLoad) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.chunks[position] == load {
		delete(r.chunks, position)
	}
}

// loadChunk reads a chunk on behalf of all waiting callers, so it does not use the context
// of the first one.
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

// decodeAs decodes the first of records, read from position. It fails if there is none or
// it holds another message type.
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
	// nearbyPositions is the range of positions around a result that is considered for one
	// large read, and minNearbyResults the number of wanted results in it from which the
	// large read is made.
	nearbyPositions  = 256
	minNearbyResults = 16
)

// resultWindow reads results by position. If results of a job lie close together in
// the log, one read covers many of them; if they are mixed with other records, each is
// read alone, so that few unneeded records are read. It is not safe for concurrent use.
type resultWindow struct {
	owned   ledger.Owned
	first   ledger.Position
	records []ledger.Record
}

// read returns the result of the first entry, which must have one. The entries after it
// are those to be read next, and only help to choose the read size.
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
	completed, err := decodeAs[*jobpb.ItemCompleted](w.records[position-w.first:], position)
	if err != nil {
		return nil, err
	}
	return completed.GetResult(), nil
}

// planRead returns the start position and the maximal size in bytes of a read that covers
// the first entry. A size of 1 reads a single record.
func planRead(entries []itemEntry) (ledger.Position, int) {
	wanted := entries[0].position()
	first, nearby := wanted, 0
	for _, entry := range entries[:min(len(entries), nearbyPositions)] {
		position := entry.position()
		if entry.class() != classOpen && position+nearbyPositions/2 >= wanted && position < wanted+nearbyPositions/2 {
			first = min(first, position)
			nearby++
		}
	}
	if nearby < minNearbyResults {
		return wanted, 1
	}
	return first, readWindowBytes
}

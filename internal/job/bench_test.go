package job

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	jobpb "github.com/sloelift/sloelift/api/proto/job"
	"github.com/sloelift/sloelift/internal/engine"
	"github.com/sloelift/sloelift/internal/ledger"
	"github.com/sloelift/sloelift/internal/outcome"
)

// fileOwned is a ledger.Owned that stores records in a file, so that the heap of a benchmark
// is only that of this package.
type fileOwned struct {
	file    *os.File
	mutex   sync.Mutex
	offsets []int64 // offset in the file of record i+1, whose first byte is its kind
	end     int64
	appends int
	lost    chan struct{}
}

func newFileOwned(b *testing.B) *fileOwned {
	file, err := os.Create(filepath.Join(b.TempDir(), "log"))
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = file.Close() })
	return &fileOwned{file: file, lost: make(chan struct{})}
}

func (o *fileOwned) Partition() ledger.PartitionID { return 0 }
func (o *fileOwned) Lost() <-chan struct{}         { return o.lost }

func (o *fileOwned) AppendReserved(ctx context.Context, records []ledger.Record) (ledger.Position, error) {
	return o.Append(ctx, records)
}

func (o *fileOwned) HasRoom() bool { return true }

func (o *fileOwned) Append(_ context.Context, records []ledger.Record) (ledger.Position, error) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.appends++
	first := ledger.Position(len(o.offsets) + 1)
	var batch []byte
	for _, record := range records {
		o.offsets = append(o.offsets, o.end+int64(len(batch)))
		batch = append(append(batch, byte(record.Kind)), record.Payload...)
	}
	_, err := o.file.WriteAt(batch, o.end)
	o.end += int64(len(batch))
	return first, err
}

func (o *fileOwned) Read(_ context.Context, from ledger.Position, maxBytes int) ([]ledger.Record, error) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	var records []ledger.Record
	for size := 0; int(from) <= len(o.offsets); from++ {
		end := o.end
		if int(from) < len(o.offsets) {
			end = o.offsets[from]
		}
		record := make([]byte, end-o.offsets[from-1])
		if size += len(record); size > maxBytes && len(records) > 0 {
			break
		}
		if _, err := o.file.ReadAt(record, o.offsets[from-1]); err != nil {
			return nil, err
		}
		records = append(records, ledger.Record{Kind: ledger.RecordKind(record[0]), Payload: record[1:]})
	}
	return records, nil
}

// instantEngine answers each call immediately with about one kilobyte.
type instantEngine struct{ *fakeEngine }

func (instantEngine) Generate(context.Context, engine.Endpoint, engine.Request) (engine.Stream, error) {
	return &instantStream{}, nil
}

type instantStream struct{ ended bool }

var instantAnswer = strings.Repeat("a word ", 128)

func (s *instantStream) Next() (engine.Chunk, error) {
	if s.ended {
		return engine.Chunk{}, io.EOF
	}
	s.ended = true
	return engine.Chunk{Tokens: 256, Text: instantAnswer, FinishReason: "stop"}, nil
}
func (s *instantStream) Close() error { return nil }

// BenchmarkLargeJob measures one job from its submission until all its results are read.
func BenchmarkLargeJob(b *testing.B) {
	for _, items := range []int{10_000, 150_000} {
		b.Run(fmt.Sprintf("items=%d", items), func(b *testing.B) {
			for range b.N {
				runLargeJob(b, items)
			}
		})
	}
}

func runLargeJob(b *testing.B, items int) {
	cluster := newTestCluster(b, 1)
	defer cluster.stop()
	node := cluster.nodes[0]
	node.dispatcher.engines = instantEngine{cluster.engine}
	owned := newFileOwned(b)
	for id := range ledger.PartitionID(testPartitions) {
		cluster.machines[id].Stop()
		machine := node.partitions.factory(id)
		machine.Serve(owned)
		defer machine.Stop()
	}
	var peak atomic.Uint64
	stopSampling := make(chan struct{})
	defer close(stopSampling)
	go sampleHeap(&peak, stopSampling)
	reader, writer := io.Pipe()
	go func() { _ = writer.CloseWithError(writeItems(writer, items)) }()
	input := submission("large", 0)
	input.Items = reader
	began := time.Now()
	status, err := node.service.Submit(context.Background(), input)
	if err != nil {
		b.Fatal(err)
	}
	submitted := time.Now()
	inputBytes := owned.end
	for status.EndedAt.IsZero() {
		time.Sleep(10 * time.Millisecond)
		if status, err = node.service.Status(context.Background(), "registry", status.ID); err != nil {
			b.Fatal(err)
		}
	}
	ended := time.Now()
	count := 0
	err = node.service.Results(context.Background(), "registry", status.ID, 0, func(ItemResult) error {
		count++
		return nil
	})
	if err != nil || count != items {
		b.Fatalf("%d results: %v", count, err)
	}
	b.ReportMetric(float64(items)/submitted.Sub(began).Seconds(), "submitted/s")
	b.ReportMetric(float64(items)/ended.Sub(submitted).Seconds(), "completed/s")
	b.ReportMetric(float64(items)/time.Since(ended).Seconds(), "read/s")
	b.ReportMetric(float64(owned.end-inputBytes)/float64(items), "result-B/item")
	b.ReportMetric(float64(owned.appends)/float64(items), "appends/item")
	b.ReportMetric(float64(peak.Load())/(1<<20), "peak-heap-MB")
}

func writeItems(writer io.Writer, items int) error {
	for index := range items {
		if _, err := fmt.Fprintf(writer,
			`{"custom_id":"item-%d","body":{"model":"small","messages":[{"role":"user","content":"%s"}]}}`+"\n",
			index, instantAnswer[:400],
		); err != nil {
			return err
		}
	}
	return nil
}

// sampleHeap records the peak heap in use, in bytes, until stop is closed.
func sampleHeap(peak *atomic.Uint64, stop <-chan struct{}) {
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
			var stats runtime.MemStats
			runtime.ReadMemStats(&stats)
			peak.Store(max(peak.Load(), stats.HeapInuse))
		}
	}
}

// BenchmarkLargeIndex measures the memory, snapshot time and restore time of the state of
// one job with 750,000 completed items.
func BenchmarkLargeIndex(b *testing.B) {
	const items = 750_000
	for range b.N {
		before := heapInUse()
		state := newPartitionState()
		accepted := &jobpb.JobAccepted{Id: "large", Total: items + 1}
		for position := range ledger.Position(1500) {
			accepted.ChunkPositions = append(accepted.ChunkPositions, uint64(position+1))
			accepted.ChunkItems = append(accepted.ChunkItems, items/1500)
		}
		state.stepJobAccepted(accepted)
		for index := range uint32(items) {
			state.stepItemCompleted(ledger.Position(2000+index), &jobpb.ItemCompleted{
				JobId: "large", Index: index, Result: &jobpb.ItemResult{Outcome: string(outcome.Completed)},
			})
		}
		b.ReportMetric(float64(heapInUse()-before)/items, "heap-B/item")
		began := time.Now()
		encoded, err := state.snapshot()
		if err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(time.Since(began).Milliseconds()), "snapshot-ms")
		b.ReportMetric(float64(len(encoded))/items, "snapshot-B/item")
		began = time.Now()
		if _, err := restorePartitionState(encoded); err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(time.Since(began).Milliseconds()), "restore-ms")
		runtime.KeepAlive(state)
	}
}

// BenchmarkSmallEntries measures the memory of an ended job of ten items, and of a
// completed idempotency key.
func BenchmarkSmallEntries(b *testing.B) {
	const entries = 50_000
	for name, fill := range map[string]func(*partitionState, int){"job": fillSmallJob, "key": fillKey} {
		b.Run(name, func(b *testing.B) {
			for range b.N {
				before := heapInUse()
				state := newPartitionState()
				for number := range entries {
					fill(state, number)
				}
				b.ReportMetric(float64(heapInUse()-before)/entries, "heap-B/entry")
				runtime.KeepAlive(state)
			}
		})
	}
}

func fillSmallJob(state *partitionState, number int) {
	id := jobID(0, "registry", fmt.Sprint(number))
	apply(state, encodeRecord(ledger.KindJobAccepted, &jobpb.JobAccepted{
		Id: id, Tenant: "registry", ClientKey: fmt.Sprint(number), Service: "assist", Priority: "overnight",
		Operation: string(engine.OperationChat), Digest: make([]byte, 32), Total: 10,
	}))
	for index := range uint32(10) {
		apply(state, encodeRecord(ledger.KindItemCompleted, &jobpb.ItemCompleted{
			JobId: id, Index: index, Result: &jobpb.ItemResult{Outcome: string(outcome.Completed)},
		}))
	}
}

func fillKey(state *partitionState, number int) {
	key := fmt.Sprintf("draft-%032d", number)
	apply(state, encodeRecord(ledger.KindKeyClaimed, &jobpb.KeyClaimed{
		Tenant: "registry", Key: key, Fingerprint: strings.Repeat("f", 64),
		RequestId: newULID().String(), Replica: "shadman-hall-1",
	}))
	apply(state, encodeRecord(ledger.KindKeyCompleted, &jobpb.KeyCompleted{Tenant: "registry", Key: key}))
}

// apply applies a record at the next position.
func apply(state *partitionState, record ledger.Record) {
	if _, err := state.step(state.upTo+1, record); err != nil {
		panic(err)
	}
}

func heapInUse() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

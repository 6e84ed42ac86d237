package batch

import (
	"fmt"
	"runtime"
	"testing"
	"testing/synctest"
	"time"

	batchpb "github.com/sloelift/sloelift/api/proto/batch"
	"github.com/sloelift/sloelift/internal/ledger"
	"github.com/sloelift/sloelift/internal/replica/replicatest"
)

// TestTextsOfManyItemsFitTheMemory guards storage nodes against replicas that send bytes without end to many items at once: each text was
// bounded by itself, and their sum by nothing.
func TestTextsOfManyItemsFitTheMemory(t *testing.T) {
	const (
		items    = 60
		maxBytes = 4 << 20
		// most is what the texts may add to the heap: the bound, twice since texts are copied while they grow, and the garbage that a collection
		// has left.
		most = 4 * maxBytes
	)
	synctest.Test(t, func(t *testing.T) {
		scripts := map[string]replicatest.Script{}
		for number := range items / 4 {
			scripts[fmt.Sprint("replica-", number)] = streamOfBytes(ledger.MaxRecordBytes*3/4, true)
		}
		service, fleet, network, routes := newService(scripts)
		service.options.MaxBytes = maxBytes
		owner := startPartition(t, unconfined, service, fleet, network, routes)
		defer owner.stop()
		before := heapBytes()
		owner.mustSubmit(t, testSubmission("j", items))
		var peak uint64
		for range 10 {
			time.Sleep(100 * time.Millisecond)
			synctest.Wait()
			peak = max(peak, heapBytes())
		}
		if grown := int64(peak) - int64(before); grown > most {
			t.Errorf("the heap has grown by %d MiB, want %d at most", grown>>20, most>>20)
		}
	})
}

// heapBytes returns the bytes of the objects that are in use.
func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// TestSoundItemsAreDoneBesideTextsWithoutEnd: the items with the longest texts give way.
func TestSoundItemsAreDoneBesideTextsWithoutEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service, fleet, network, routes := newService(map[string]replicatest.Script{
			"faulty": streamOfBytes(ledger.MaxRecordBytes*3/4, true), "sound": replicatest.Stream("s", true, false, eventOne, eventTwo),
		})
		service.options.MaxBytes = 1 << 20
		owner := startPartition(t, unconfined, service, fleet, network, routes)
		defer owner.stop()
		owner.mustSubmit(t, testSubmission("j", 20))
		for _, result := range owner.results(t, "j", 20, 30*time.Second) {
			if result.State != batchpb.State_STATE_SUCCEEDED || result.Text != "a\nb" {
				t.Errorf("the item is %s with a text of %d bytes", result.State, len(result.Text))
			}
		}
	})
}

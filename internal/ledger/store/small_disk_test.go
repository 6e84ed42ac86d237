package store

import (
	"context"
	"math/rand/v2"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/cockroachdb/pebble/v2/vfs/errorfs"
	"github.com/rs/zerolog"

	ledgerpb "github.com/sloelift/sloelift/api/proto/ledger"
)

// TestCompactionWithoutRoomDoesNotStopAppends checks that a store on a small disk takes records up to its own bound: a
// compaction needs room for a second copy of what it merges, and appends must not wait for one that has none.
func TestCompactionWithoutRoomDoesNotStopAppends(t *testing.T) {
	const (
		diskBytes   = 47 << 20
		recordBytes = 16 << 10
		// written is what a day of jobs leaves in the log, below the store's own bound.
		written     = 34 << 20
		appendLimit = 10 * time.Second
	)
	memory := vfs.NewMem()
	failures := 0
	files := errorfs.Wrap(memory, errorfs.InjectorFunc(func(operation errorfs.Op) error {
		if operation.Kind == errorfs.OpFileWrite && strings.HasSuffix(operation.Path, ".sst") && usedBytes(memory, "data/ledger") > diskBytes {
			failures++
			return syscall.ENOSPC
		}
		return nil
	}))
	store, err := Open("data", Options{Files: files, Logger: zerolog.Nop(), DiskBytes: diskBytes})
	if err != nil {
		t.Fatal(err)
	}
	defer closeStore(t, store)
	random := rand.NewChaCha8([32]byte{})
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Minute)
	defer cancel()
	for position := uint64(1); position <= written/recordBytes; position++ {
		payload := make([]byte, recordBytes)
		_, _ = random.Read(payload)
		began := time.Now()
		response, err := store.Append(ctx, &ledgerpb.AppendRequest{
			Partition: 1, Store: string(store.ID()), Ballot: ballot(1), First: position, Committed: position - 1,
			Entries: []*ledgerpb.Entry{{Position: position, Kind: 1, Payload: payload}},
		})
		if err != nil || response.Status != ledgerpb.Status_STATUS_OK || time.Since(began) > appendLimit {
			t.Fatalf("record %d: %v, %v after %s, %d bytes used, %d writes had no room", position, response, err, time.Since(began), usedBytes(memory, "data/ledger"), failures)
		}
	}
	t.Logf("%d bytes used, %d writes had no room", usedBytes(memory, "data/ledger"), failures)
}

// usedBytes returns the size of all files in a folder.
func usedBytes(files vfs.FS, folder string) int64 {
	names, err := files.List(folder)
	if err != nil {
		return 0
	}
	used := int64(0)
	for _, name := range names {
		// A file that is gone meanwhile uses nothing.
		if info, err := files.Stat(files.PathJoin(folder, name)); err == nil {
			used += info.Size()
		}
	}
	return used
}

package store

import (
	"context"
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/cockroachdb/pebble/v2/vfs/errorfs"
	"github.com/rs/zerolog"
	"go.uber.org/goleak"

	ledgerpb "github.com/sloelift/sloelift/api/proto/ledger"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const ampleSpace = uint64(1) << 40

func open(t *testing.T, folder string, files vfs.FS, free *uint64) *Store {
	t.Helper()
	store, err := Open(folder, Options{Files: files, Logger: zerolog.Nop(), Free: func() (uint64, error) { return *free, nil }})
	if err != nil {
		t.Fatal(err)
	}
	return store
}

func closeStore(t *testing.T, store *Store) {
	t.Helper()
	if err := store.Close(); err != nil {
		t.Fatal(err)
	}
}

func ballot(number uint64) *ledgerpb.Ballot {
	return &ledgerpb.Ballot{Version: 1, Number: number, Owner: "owner"}
}

// write appends one record to partition 1 and returns the store's answer.
func write(t *testing.T, store *Store, position uint64, payload string) *ledgerpb.AppendResponse {
	t.Helper()
	response, err := store.Append(context.Background(), &ledgerpb.AppendRequest{
		Partition: 1, Store: string(store.ID()), Ballot: ballot(1), First: position, Committed: position - 1,
		Entries: []*ledgerpb.Entry{{Position: position, Kind: 1, Payload: []byte(payload)}},
	})
	if err != nil {
		t.Fatal(err)
	}
	return response
}

func read(t *testing.T, store *Store, from, to uint64) *ledgerpb.ReadResponse {
	t.Helper()
	response, err := store.Read(context.Background(), &ledgerpb.ReadRequest{
		Partition: 1, Store: string(store.ID()), From: from, To: to, MaxBytes: 1 << 20,
	})
	if err != nil {
		t.Fatal(err)
	}
	return response
}

func TestAcknowledgedRecordsSurviveACrash(t *testing.T) {
	free := ampleSpace
	files := vfs.NewCrashableMem()
	store := open(t, "data", files, &free)
	for position := range uint64(50) {
		if response := write(t, store, position+1, fmt.Sprint("record-", position+1)); response.Status != ledgerpb.Status_STATUS_OK {
			t.Fatalf("append: %v", response)
		}
	}
	// The clone holds all synced data and a random part of the unsynced data, as after a crash with a torn tail.
	for seed := range uint64(10) {
		clone := files.CrashClone(vfs.CrashCloneCfg{UnsyncedDataPercent: 50, RNG: rand.New(rand.NewPCG(seed, 0))})
		again := open(t, "data", clone, &free)
		if again.ID() != store.ID() {
			t.Fatalf("the store came back as %s, was %s", again.ID(), store.ID())
		}
		response := read(t, again, 1, 50)
		if len(response.Entries) != 50 || string(response.Entries[49].Payload) != "record-50" {
			t.Fatalf("%d records after the crash", len(response.Entries))
		}
		promise, err := again.Prepare(context.Background(), &ledgerpb.PrepareRequest{
			Partition: 1, Store: string(again.ID()), Ballot: &ledgerpb.Ballot{Version: 1},
		})
		if err != nil || promise.Status != ledgerpb.Status_STATUS_REFUSED {
			t.Fatalf("the promise did not survive: %v %v", promise, err)
		}
		closeStore(t, again)
	}
	closeStore(t, store)
}

// flipByte inverts the byte at the given fraction of a file's length.
func flipByte(t *testing.T, files vfs.FS, path string, share float64) {
	t.Helper()
	file, err := files.OpenReadWrite(path, vfs.WriteCategoryUnspecified)
	if err != nil {
		t.Fatal(err)
	}
	info, err := file.Stat()
	if err != nil {
		t.Fatal(err)
	}
	content := make([]byte, 1)
	offset := int64(float64(info.Size()) * share)
	if _, err := file.ReadAt(content, offset); err != nil {
		t.Fatal(err)
	}
	content[0] ^= 0xff
	if _, err := file.WriteAt(content, offset); err != nil {
		t.Fatal(err)
	}
	if err := file.Close(); err != nil {
		t.Fatal(err)
	}
}

// filesOf returns the paths of the database's files with the suffix.
func filesOf(t *testing.T, files vfs.FS, folder, suffix string) []string {
	t.Helper()
	names, err := files.List(filepath.Join(folder, databaseFolder))
	if err != nil {
		t.Fatal(err)
	}
	var paths []string
	for _, name := range names {
		if strings.HasSuffix(name, suffix) {
			paths = append(paths, filepath.Join(folder, databaseFolder, name))
		}
	}
	return paths
}

// The log of a store that crashed is damaged at one offset after another. The store must come back with
// all records, or under another incarnation.
func TestDamagedLogIsRefused(t *testing.T) {
	free := ampleSpace
	folder := t.TempDir()
	store := open(t, folder, vfs.Default, &free)
	defer closeStore(t, store)
	for position := range uint64(50) {
		write(t, store, position+1, strings.Repeat("x", 1000))
	}
	refused := 0
	const places = 12
	for place := range places {
		crashed := filepath.Join(t.TempDir(), "crashed")
		if _, err := vfs.Clone(vfs.Default, vfs.Default, folder, crashed); err != nil {
			t.Fatal(err)
		}
		logs := filesOf(t, vfs.Default, crashed, ".log")
		flipByte(t, vfs.Default, logs[len(logs)-1], float64(place)/places)
		again := open(t, crashed, vfs.Default, &free)
		if again.ID() == store.ID() {
			if found := len(read(t, again, 1, 50).Entries); found != 50 {
				t.Errorf("damaged at %d/%d, the store came back with %d of 50 records", place, places, found)
			}
			closeStore(t, again)
			continue
		}
		refused++
		closeStore(t, again)
	}
	if refused < places/2 {
		t.Fatalf("only %d of %d damaged logs were detected", refused, places)
	}
}

func TestDamagedBlockStopsTheStore(t *testing.T) {
	free := ampleSpace
	files := vfs.NewMem()
	store := open(t, "data", files, &free)
	for position := range uint64(50) {
		write(t, store, position+1, fmt.Sprint(rand.Uint64(), strings.Repeat("y", 1000)))
	}
	if err := store.database.Flush(); err != nil {
		t.Fatal(err)
	}
	closeStore(t, store)
	for _, table := range filesOf(t, files, "data", ".sst") {
		flipByte(t, files, table, 0.5)
	}
	again := open(t, "data", files, &free)
	if again.ID() != store.ID() {
		closeStore(t, again)
		return
	}
	damaged := false
	for position := uint64(1); position <= 50 && !damaged; position++ {
		response, err := again.Read(context.Background(), &ledgerpb.ReadRequest{Partition: 1, Store: string(again.ID()), From: position, To: position})
		damaged = err != nil || response.Status == ledgerpb.Status_STATUS_DAMAGED
	}
	if !damaged || !again.Failed() {
		t.Fatalf("damage detected %v, store stopped %v", damaged, again.Failed())
	}
	closeStore(t, again)
	refilled := open(t, "data", files, &free)
	defer closeStore(t, refilled)
	if refilled.ID() == store.ID() {
		t.Fatal("the damaged store came back under its old incarnation")
	}
}

func TestFullDiskRefusesRecordsAndKeepsThem(t *testing.T) {
	free := ampleSpace
	store := open(t, "data", vfs.NewMem(), &free)
	defer closeStore(t, store)
	if response := write(t, store, 1, "a"); response.SpaceLow {
		t.Fatal("space is low from the start")
	}
	free = defaultReserveBytes - 1
	if response := write(t, store, 2, "b"); response.Status != ledgerpb.Status_STATUS_OK || !response.SpaceLow {
		t.Fatalf("with little room: %v", response)
	}
	free = defaultMinimumBytes - 1
	if response := write(t, store, 3, "c"); response.Status != ledgerpb.Status_STATUS_FULL {
		t.Fatalf("without room: %v", response)
	}
	if response := read(t, store, 1, 3); len(response.Entries) != 2 {
		t.Fatalf("records kept: %v", response)
	}
	free = ampleSpace
	if response := write(t, store, 3, "c"); response.Status != ledgerpb.Status_STATUS_OK || response.SpaceLow {
		t.Fatalf("with room again: %v", response)
	}
}

// A disk that fails while the store runs must stop the store but not the process. Acknowledged records must be kept.
func TestFailingDiskStopsTheStore(t *testing.T) {
	free := ampleSpace
	memory := vfs.NewCrashableMem()
	var failing atomic.Bool
	files := errorfs.Wrap(memory, errorfs.InjectorFunc(func(operation errorfs.Op) error {
		if failing.Load() && operation.Kind.ReadOrWrite() == errorfs.OpIsWrite {
			return syscall.ENOSPC
		}
		return nil
	}))
	store := open(t, "data", files, &free)
	for position := range uint64(20) {
		write(t, store, position+1, "kept")
	}
	failing.Store(true)
	_, err := store.Append(context.Background(), &ledgerpb.AppendRequest{
		Partition: 1, Store: string(store.ID()), Ballot: ballot(1), First: 21, Entries: []*ledgerpb.Entry{{Position: 21}},
	})
	if err == nil {
		t.Fatal("an append on a failing disk was acknowledged")
	}
	closeStore(t, store)
	if !store.Failed() {
		t.Fatal("the store does not know that it failed")
	}
	again := open(t, "data", memory.CrashClone(vfs.CrashCloneCfg{}), &free)
	defer closeStore(t, again)
	if again.ID() != store.ID() || len(read(t, again, 1, 20).Entries) != 20 {
		t.Fatalf("%s came back as %s with %d of 20 records", store.ID(), again.ID(), len(read(t, again, 1, 20).Entries))
	}
}

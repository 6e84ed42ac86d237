package store

import (
	"encoding/binary"
	"os"
	"path/filepath"
	"strconv"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/pebble/v2"
	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/rs/zerolog"
	"go.etcd.io/bbolt"
)

const benchRecordBytes = 1024

// engine durably appends one group of records; first is the position of records[0].
type engine func(b *testing.B, first uint64, records [][]byte)

func pebbleEngine(b *testing.B) engine {
	database, err := openPebble(filepath.Join(b.TempDir(), "pebble"), vfs.Default, memTableBytes, zerolog.Nop(), faultHandlers{})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = database.Close() })
	return func(b *testing.B, first uint64, records [][]byte) {
		batch := database.NewBatch()
		for i, record := range records {
			if err := batch.Set(binary.BigEndian.AppendUint64(nil, first+uint64(i)), record, nil); err != nil {
				b.Fatal(err)
			}
		}
		if err := batch.Commit(pebble.Sync); err != nil {
			b.Fatal(err)
		}
	}
}

func bboltEngine(b *testing.B) engine {
	database, err := bbolt.Open(filepath.Join(b.TempDir(), "bbolt"), 0o600, nil)
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = database.Close() })
	return func(b *testing.B, first uint64, records [][]byte) {
		err := database.Update(func(transaction *bbolt.Tx) error {
			bucket, err := transaction.CreateBucketIfNotExists([]byte("log"))
			for i := 0; i < len(records) && err == nil; i++ {
				err = bucket.Put(binary.BigEndian.AppendUint64(nil, first+uint64(i)), records[i])
			}
			return err
		})
		if err != nil {
			b.Fatal(err)
		}
	}
}

// segmentEngine appends to a plain file with a checksum for each record, without an index or trimming.
func segmentEngine(b *testing.B) engine {
	file, err := os.Create(filepath.Join(b.TempDir(), "segment"))
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = file.Close() })
	return func(b *testing.B, first uint64, records [][]byte) {
		var buffer []byte
		for i, record := range records {
			buffer = binary.LittleEndian.AppendUint64(buffer, first+uint64(i))
			buffer = binary.LittleEndian.AppendUint64(buffer, xxhash.Sum64(record))
			buffer = append(buffer, record...)
		}
		if _, err := file.Write(buffer); err != nil {
			b.Fatal(err)
		}
		if err := file.Sync(); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkEngines compares storage engines by their synced appends of groups of records.
func BenchmarkEngines(b *testing.B) {
	engines := map[string]func(*testing.B) engine{"pebble": pebbleEngine, "bbolt": bboltEngine, "segment": segmentEngine}
	for _, name := range []string{"pebble", "bbolt", "segment"} {
		for _, group := range []int{1, 64} {
			b.Run(name+"/group-"+strconv.Itoa(group), func(b *testing.B) {
				appendGroup := engines[name](b)
				records := make([][]byte, group)
				for i := range records {
					records[i] = make([]byte, benchRecordBytes)
				}
				b.SetBytes(int64(group * benchRecordBytes))
				next := uint64(1)
				for b.Loop() {
					appendGroup(b, next, records)
					next += uint64(group)
				}
			})
		}
	}
}

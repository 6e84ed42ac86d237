package origin

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	originpb "github.com/sloelift/sloelift/api/proto/origin"
	"github.com/sloelift/sloelift/internal/clock"
)

// TestOriginIsKnownAfterAllNodesWereKilled guards that streams can be resumed after all processes were killed together: the storage nodes
// have their origins on disk.
func TestOriginIsKnownAfterAllNodesWereKilled(t *testing.T) {
	play(t, func(c *cluster) {
		c.record(originOne)
		time.Sleep(2 * writeDelay)
		for name := range c.nodes {
			c.kill(name)
		}
		for name := range c.nodes {
			c.start(name, false)
		}
		c.find("edge-1", originOne, nil)
	})
}

// TestExpiredSegmentsAreDeleted guards that the disk of a storage node does not fill with origins.
func TestExpiredSegmentsAreDeleted(t *testing.T) {
	play(t, func(c *cluster) {
		for range 20 {
			c.record(originOne)
			time.Sleep(segmentDuration / 4)
		}
		for _, name := range []string{"store-0", "store-1", "store-2"} {
			segments, err := os.ReadDir(filepath.Join(c.nodes[name].folder, journalFolder))
			if err != nil || len(segments) == 0 || len(segments) > 3 {
				t.Errorf("%s has %d segments, %v", name, len(segments), err)
			}
		}
	})
}

func testRecord(request string) *originpb.Record {
	return &originpb.Record{Request: request, Service: "s", Version: "v1", LifetimeMillis: 60_000}
}

// TestDamagedSegment guards that what a loss of power tore is neither believed nor keeps the records before it from being read, and that later
// records go to another segment.
func TestDamagedSegment(t *testing.T) {
	for name, damage := range map[string]func(content []byte) []byte{
		"last frame torn":        func(content []byte) []byte { return content[:len(content)-3] },
		"header torn":            func(content []byte) []byte { return append(content[:len(content)/2], 0, 0, 1) },
		"last frame overwritten": func(content []byte) []byte { content[len(content)-1] ^= 1; return content },
		"last frame of zeros": func(content []byte) []byte {
			clear(content[len(content)/2:])
			return content
		},
	} {
		t.Run(name, func(t *testing.T) {
			folder, now := t.TempDir(), clock.Now()
			written, err := openJournal(folder)
			if err != nil {
				t.Fatal(err)
			}
			for _, request := range []string{"a", "b"} {
				if err := written.append([]*originpb.Record{testRecord(request)}, now); err != nil {
					t.Fatal(err)
				}
			}
			if err := written.closeSegment(); err != nil {
				t.Fatal(err)
			}
			content, err := os.ReadFile(written.path(1))
			if err != nil {
				t.Fatal(err)
			}
			if err := os.WriteFile(written.path(1), damage(content), fileMode); err != nil {
				t.Fatal(err)
			}
			read := loadAll(t, folder, now)
			if len(read) != 1 || read[0] != "a" {
				t.Errorf("records %v are read, want a", read)
			}
			again, err := openJournal(folder)
			if err != nil {
				t.Fatal(err)
			}
			// The damage is reported and does not keep the journal from being used.
			_ = again.load(now, func(*originpb.Record) {})
			if err := again.append([]*originpb.Record{testRecord("c")}, now); err != nil {
				t.Fatal(err)
			}
			if read := loadAll(t, folder, now); len(read) != 2 || read[1] != "c" {
				t.Errorf("records %v are read, want a and c", read)
			}
		})
	}
}

// loadAll returns the request IDs in a journal.
func loadAll(t *testing.T, folder string, now time.Time) (requests []string) {
	t.Helper()
	opened, err := openJournal(folder)
	if err != nil {
		t.Fatal(err)
	}
	if err := opened.load(now, func(record *originpb.Record) { requests = append(requests, record.GetRequest()) }); err == nil {
		t.Error("the damage is not reported")
	}
	return requests
}

// TestJournalThatCannotBeWritten guards that a node whose disk fails keeps records in memory and answers at once.
func TestJournalThatCannotBeWritten(t *testing.T) {
	play(t, func(c *cluster) {
		for _, name := range []string{"store-0", "store-1", "store-2"} {
			if err := os.RemoveAll(filepath.Join(c.nodes[name].folder, journalFolder)); err != nil {
				t.Fatal(err)
			}
		}
		c.record(originOne)
		c.kill("edge-0")
		c.find("edge-1", originOne, nil)
	})
}

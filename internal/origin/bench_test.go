package origin

import (
	"fmt"
	"testing"

	originpb "github.com/sloelift/sloelift/api/proto/origin"
	"github.com/sloelift/sloelift/internal/clock"
	"github.com/sloelift/sloelift/internal/membership"
)

// BenchmarkKeep measures the time and memory of one record in the book.
func BenchmarkKeep(b *testing.B) {
	now := clock.Now()
	kept := newBook()
	b.ReportAllocs()
	for number := range b.N {
		if number%maxRecords == 0 {
			kept = newBook()
		}
		kept.add(fmt.Sprintf("%016x", number), originOne, false, lifetime, now)
	}
}

// BenchmarkPlacement measures the choice of the nodes that keep a record, of 320 with 60 storage nodes.
func BenchmarkPlacement(b *testing.B) {
	view := &membership.View{Self: "node-319"}
	for number := range 320 {
		view.Members = append(view.Members, membership.Member{
			ID: membership.NodeID(fmt.Sprintf("node-%03d", number)), Zone: fmt.Sprintf("zone-%d", number%7), Store: number < 60,
		})
	}
	kept := newKeepers(view)
	b.ReportAllocs()
	for number := range b.N {
		kept.placement(requestID(number), maxKeepers)
	}
}

// BenchmarkJournal measures the time and the bytes on disk of one record, 20 in a frame, without syncs.
func BenchmarkJournal(b *testing.B) {
	written, err := openJournal(b.TempDir())
	if err != nil {
		b.Fatal(err)
	}
	now := clock.Now()
	for number := 0; number < b.N; number += 20 {
		var frame []*originpb.Record
		for offset := range 20 {
			frame = append(frame, testRecord(fmt.Sprintf("%016x", number+offset)))
		}
		if err := written.append(frame, now); err != nil {
			b.Fatal(err)
		}
	}
	if size, err := written.current.Seek(0, 1); err == nil {
		b.ReportMetric(float64(size)/float64(max(20, b.N)), "bytes/record")
	}
}

package balance

import (
	"net/netip"
	"testing"
	"time"

	"github.com/sloelift/sloelift/internal/region"
	"github.com/sloelift/sloelift/internal/replica"
)

func testDirectory() *replica.Directory {
	directory := replica.NewDirectory()
	address := netip.MustParseAddrPort("127.0.0.1:1")
	directory.Replace([]replica.Info{
		{ID: "near", Service: "s", Zone: "z1", Address: address, Slots: 10},
		{ID: "far", Service: "s", Zone: "z2", Address: address, Slots: 10},
		{ID: "other", Service: "t", Zone: "z1", Address: address, Slots: 10},
	})
	return directory
}

func TestPick(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	for _, test := range []struct {
		name    string
		prepare func(*replica.View)
		request Request
		want    string
	}{
		{"own zone first", nil, Request{Service: "s", Zone: "z1"}, "near"},
		{"other zone where that is its own", nil, Request{Service: "s", Zone: "z2"}, "far"},
		{"full one passed over", func(v *replica.View) {
			v.Find("near").NoteLoad(replica.Load{Running: 10, Waiting: 3, Slots: 10}, now)
		}, Request{Service: "s", Zone: "z1"}, "far"},
		{"failing one passed over", func(v *replica.View) { v.Find("near").Failed(now) }, Request{Service: "s", Zone: "z1"}, "far"},
		{"all failing are used", func(v *replica.View) {
			v.Find("near").Failed(now)
			v.Find("far").Failed(now)
		}, Request{Service: "s", Zone: "z1"}, "near"},
		{"no service", nil, Request{Service: "none", Zone: "z1"}, ""},
		{"over the bound", func(v *replica.View) {
			v.Find("near").NoteLoad(replica.Load{Running: 9, Slots: 10}, now)
			v.Find("far").NoteLoad(replica.Load{Running: 9, Slots: 10}, now)
		}, Request{Service: "s", Zone: "z1", MaxOccupancy: 0.5}, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			directory := testDirectory()
			if test.prepare != nil {
				test.prepare(directory.View())
			}
			picked := NewPicker(directory, region.Topology{}, func() float64 { return 0 }).Pick(&test.request, now)
			got := ""
			if picked != nil {
				got = picked.Info().ID
			}
			if got != test.want {
				t.Errorf("picked %q, want %q", got, test.want)
			}
		})
	}
}

func TestDrainingAndRemovedReplicasAreNotPicked(t *testing.T) {
	directory := testDirectory()
	near := *directory.View().Find("near").Info()
	near.Draining = true
	directory.Update([]replica.Info{near}, []string{"far"})
	if picked := NewPicker(directory, region.Topology{}, nil).Pick(&Request{Service: "s", Zone: "z1"}, time.Now()); picked != nil {
		t.Errorf("picked %s, want none", picked.Info().ID)
	}
}

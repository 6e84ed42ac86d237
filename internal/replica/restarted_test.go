package replica

import (
	"net/netip"
	"testing"
)

func bornInfo(id string, born int64) Info {
	return Info{ID: id, Service: "s", Zone: "z", Address: netip.MustParseAddrPort("127.0.0.1:1000"), Slots: 8, Born: born}
}

// TestReplicaThatStartsAgainUnderItsID checks that a new incarnation inherits nothing from the earlier one and that a delayed entry of an
// earlier incarnation changes nothing. Entries without a start time belong to the same incarnation.
func TestReplicaThatStartsAgainUnderItsID(t *testing.T) {
	applyBy := map[string]func(*Directory, Info){
		"change":  func(d *Directory, info Info) { d.Update([]Info{info}, nil) },
		"listing": func(d *Directory, info Info) { d.Replace([]Info{info}) },
		"copy":    func(d *Directory, info Info) { d.ReplaceByCopy([]Info{info}) },
	}
	for _, test := range []struct {
		name         string
		first, later int64
		isNew        bool
		born         int64
	}{
		{"new start", 100, 200, true, 200},
		{"same start", 100, 100, false, 100},
		{"late entry of an earlier start", 200, 100, false, 200},
		{"start not known", 0, 0, false, 0},
		{"start not known any more", 100, 0, false, 100},
		{"start known at last", 0, 100, true, 100},
	} {
		for source, apply := range applyBy {
			t.Run(test.name+" by "+source, func(t *testing.T) {
				directory := NewDirectory()
				directory.Replace([]Info{bornInfo("a", test.first)})
				before := directory.View().Find("a")
				before.NoteAnswer()
				apply(directory, bornInfo("a", test.later))
				after := directory.View().Find("a")
				if isNew := after != before; isNew != test.isNew || after.Info().Born != test.born {
					t.Fatalf("new is %t, born %d; want %t, %d", isNew, after.Info().Born, test.isNew, test.born)
				}
				if before.Usable() == test.isNew || before.Replaced() != test.isNew {
					t.Errorf("first handle is usable %t, replaced %t", before.Usable(), before.Replaced())
				}
				if test.isNew && (after.Key() == before.Key() || after.FailureRate() > 0 || after.InUse() > 0) {
					t.Error("the new incarnation has state of the earlier one")
				}
				if directory.View().Len() != 1 || len(directory.View().ForService("s")) != 1 {
					t.Errorf("%d replicas are listed, want 1", directory.View().Len())
				}
			})
		}
	}
}

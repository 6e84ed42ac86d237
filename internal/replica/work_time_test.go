package replica

import (
	"testing"
	"time"
)

func TestParseLoad(t *testing.T) {
	for _, test := range []struct {
		text string
		want Load
		read bool
	}{
		{"3,0,8", Load{Running: 3, Slots: 8}, true},
		{"3, 1, 8, 250", Load{Running: 3, Waiting: 1, Slots: 8, WorkTime: 250}, true},
		{"3,0", Load{}, false},
		{"3,0,8,100,1", Load{}, false},
		{"3,0,8,fast", Load{}, false},
		{"3,0,8,-1", Load{}, false},
		{"", Load{}, false},
	} {
		t.Run(test.text, func(t *testing.T) {
			if load, read := parseLoad(test.text); load != test.want || read != test.read {
				t.Errorf("%+v, %t, want %+v, %t", load, read, test.want, test.read)
			}
		})
	}
}

// TestSlowdownFades checks that a reported work time decays by its half-life, and that a report without one does not change it.
func TestSlowdownFades(t *testing.T) {
	now := time.Unix(1000, 0)
	handle := NewHandle(Info{ID: "a", Slots: 8})
	if slowdown := handle.Slowdown(now); slowdown != 0 {
		t.Errorf("slowdown %f before any report, want 0", slowdown)
	}
	handle.NoteLoad(Load{Slots: 8, WorkTime: 300}, now)
	if slowdown := handle.Slowdown(now); slowdown != 2 {
		t.Errorf("slowdown %f right after a report of three times the usual time, want 2", slowdown)
	}
	handle.NoteLoad(Load{Slots: 8}, now)
	if slowdown := handle.Slowdown(now.Add(workTimeHalfLife)); slowdown != 1 {
		t.Errorf("slowdown %f after one half-life, want 1", slowdown)
	}
	handle.NoteLoad(Load{Slots: 8, WorkTime: 60}, now)
	if slowdown := handle.Slowdown(now); slowdown != 0 {
		t.Errorf("slowdown %f when work takes less than its usual time, want 0", slowdown)
	}
}

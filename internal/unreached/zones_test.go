package unreached

import (
	"testing"
	"time"
)

func TestZoneIsCutOffWhereItsMembersAreSilent(t *testing.T) {
	type event struct {
		at     time.Duration
		answer bool
		member string
	}
	silence := func(at time.Duration, member string) event { return event{at: at, member: member} }
	answer := func(at time.Duration) event { return event{at: at, answer: true} }
	for _, test := range []struct {
		name   string
		events []event
		want   bool
	}{
		{"nothing is known", nil, false},
		{"one member is silent, again and again", []event{
			silence(time.Second, "a"), silence(2*time.Second, "a"), silence(3*time.Second, "a"),
		}, false},
		{"two members are silent", []event{silence(time.Second, "a"), silence(2*time.Second, "b")}, true},
		{"a third one answered between", []event{silence(time.Second, "a"), answer(1500 * time.Millisecond), silence(2*time.Second, "b")}, false},
		{"a third one answered a moment before the second fell silent", []event{
			silence(time.Second, "a"), answer(1950 * time.Millisecond), silence(2*time.Second, "b"),
		}, false},
		{"one answers again", []event{silence(time.Second, "a"), silence(2*time.Second, "b"), answer(3 * time.Second)}, false},
		{"cut off again", []event{
			silence(time.Second, "a"), silence(2*time.Second, "b"), answer(3 * time.Second),
			silence(4*time.Second, "a"), silence(5*time.Second, "b"),
		}, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			zones := NewZones()
			zone := zones.Get("z")
			for _, step := range test.events {
				now := zone.start.Add(step.at)
				if step.answer {
					zone.NoteAnswer(now)
					continue
				}
				zone.NoteSilence(step.member, now)
			}
			if zones.Get("z").CutOff() != test.want {
				t.Errorf("CutOff returned %t", !test.want)
			}
		})
	}
}

func TestProbesAreSpaced(t *testing.T) {
	zone := NewZones().Get("z")
	now := zone.start.Add(time.Second)
	if zone.ProbeDue(now) {
		t.Error("a probe is due for a zone that is not cut off")
	}
	zone.NoteSilence("a", now)
	zone.NoteSilence("b", now)
	probes := 0
	for step := range 100 {
		if zone.ProbeDue(now.Add(time.Duration(step) * 10 * time.Millisecond)) {
			probes++
		}
	}
	if probes != 4 {
		t.Errorf("%d probes in a second, want one every %s", probes, probeInterval)
	}
}

package experiment

import (
	"math"
	"testing"
	"time"

	"github.com/sloelift/sloelift/lab/load"
)

func TestBuiltInScenariosParse(t *testing.T) {
	names := BuiltInScenarios()
	if len(names) == 0 {
		t.Fatal("no scenarios")
	}
	for _, name := range names {
		scenario, err := LoadScenario(name)
		if err != nil {
			t.Fatal(err)
		}
		if scenario.Name != name {
			t.Fatalf("file %s holds scenario %s", name, scenario.Name)
		}
	}
}

func TestParseScenarioRefusesWhatItDoesNotKnow(t *testing.T) {
	for _, content := range []string{
		"name: a\nduration: 1s\nfaults: [{at: 1s, kind: earthquake}]\n",
		"name: a\nduration: 1s\nfaults: [{at: 1s, kind: kill_node, whom: x}]\n",
		"name: a\n",
	} {
		if _, err := ParseScenario([]byte(content)); err == nil {
			t.Fatalf("accepted %q", content)
		}
	}
}

func TestBoundIsMinimumOfWorkAndCapacity(t *testing.T) {
	small := load.Registry()
	small.Online.RequestsPerSecond, small.Online.BurstRequestsPerSecond = 0, 0
	small.Batch.JobsPerBurst, small.Batch.ItemsPerJob = 1, 4
	plan := load.NewPlan(small, 16*time.Second, 1)
	tokens := 0
	for _, job := range plan.Jobs {
		for _, item := range job.Items {
			tokens += item.Expected().Tokens
		}
	}
	if bound := Bound(plan); math.Abs(bound.Tokens-float64(tokens)) > 1e-6 {
		t.Fatalf("bound %v, want all %d tokens", bound.Tokens, tokens)
	}
	large := small
	large.Batch.ItemsPerJob = 20000
	large.Batch.ContentBytes = 4
	plan = load.NewPlan(large, 4*time.Second, 1)
	room := (plan.Duration - plan.Jobs[0].At).Seconds() * float64(large.Replicas)
	if bound := Bound(plan); math.Abs(bound.Work/room-1) > 0.01 {
		t.Fatalf("bound %v engine-seconds, want about %v", bound.Work, room)
	}
}

func TestMedian(t *testing.T) {
	if got := median([]float64{5, 1, 3}); got != 3 {
		t.Fatal(got)
	}
	if got := median([]float64{4, 1, 3, 2}); got != 2.5 {
		t.Fatal(got)
	}
	if got := median(nil); got != 0 {
		t.Fatal(got)
	}
}

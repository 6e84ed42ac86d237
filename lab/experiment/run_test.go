package experiment

import (
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/sloelift/sloelift/lab/load"
)

// smallOptions returns the options of a short run with few replicas and little load.
func smallOptions(faults ...Fault) Options {
	profile := load.Registry()
	profile.Replicas = 3
	profile.Online.RequestsPerSecond, profile.Online.BurstRequestsPerSecond = 20, 0
	profile.Online.NotRepeatableShare = 0.3
	profile.Batch.FirstBurst, profile.Batch.JobsPerBurst, profile.Batch.ItemsPerJob = 200*time.Millisecond, 3, 20
	return Options{
		Profile: profile, Seed: 5, Duration: 2 * time.Second, Policy: PolicySloelift, LogLevel: zerolog.InfoLevel,
		Scenario: Scenario{Name: "test", Duration: 2 * time.Second, Faults: faults},
	}
}

func runWhole(t *testing.T, options Options) Result {
	t.Helper()
	result, err := Run(context.Background(), options)
	if err != nil {
		t.Fatal(err)
	}
	if result.Failed {
		t.Fatalf("broken: %v, faults: %v", result.Verdict.Broken, result.FaultErrors)
	}
	return result
}

func TestARunWithoutFaultsCompletesAll(t *testing.T) {
	result := runWhole(t, smallOptions())
	if v := result.Verdict; v.OnlineCompleted != v.OnlineSent || v.ItemsCompleted != 60 || v.MarkedRunsMax != 1 {
		t.Fatalf("%+v", v)
	}
}

func TestARunWithAKilledStoreLosesNothing(t *testing.T) {
	result := runWhole(t, smallOptions(Fault{At: 300 * time.Millisecond, Kind: FaultKillNode, Target: TargetStore}))
	if v := result.Verdict; v.OnlineCompleted != v.OnlineSent || v.ItemsCompleted != 60 {
		t.Fatalf("%+v", v)
	}
}

func TestARunWithoutBatchSubmitsNone(t *testing.T) {
	options := smallOptions()
	options.Policy = PolicyOnlineOnly
	if result := runWhole(t, options); result.Load.Jobs != 0 || result.Verdict.JobsAccepted != 0 {
		t.Fatalf("%+v", result.Load)
	}
}

package batch

import (
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	batchpb "github.com/sloelift/sloelift/api/proto/batch"
	"github.com/sloelift/sloelift/internal/quarantine"
	"github.com/sloelift/sloelift/internal/replica"
)

// TestItemAtCrashingReplicasIsDoneWhenTheyAreStable guards accepted items against being held back to the end of their retention
// because three replicas crashed for other reasons, each while it had the item: further runs, which end no replica, complete it.
func TestItemAtCrashingReplicasIsDoneWhenTheyAreStable(t *testing.T) {
	const early = 2 * time.Millisecond
	late := func(events int) time.Duration { return time.Duration(events)*eventInterval + early }
	for name, test := range map[string]struct {
		endAfter []time.Duration
		owners   int
		within   time.Duration
	}{
		"before the first event":        {[]time.Duration{early, early, early}, 1, 25 * time.Second},
		"further each time":             {[]time.Duration{late(3), late(4), late(4)}, 1, 25 * time.Second},
		"at one event":                  {[]time.Duration{late(40), early, early}, 1, 25 * time.Second},
		"a replica of the first retry":  {[]time.Duration{early, early, early, early}, 1, 40 * time.Second},
		"replicas of two retries":       {[]time.Duration{early, late(3), early, early, late(2)}, 1, 55 * time.Second},
		"far further each time":         {[]time.Duration{late(30), late(30), late(30), late(30), late(30), late(30)}, 1, 35 * time.Second},
		"new owners after the third":    {[]time.Duration{early, early, early}, 3, 45 * time.Second},
		"new owners and a failed retry": {[]time.Duration{early, late(3), early, early}, 2, 55 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				replicas := newCrashingReplicas(20)
				replicas.endAfter = test.endAfter
				owner := startOwnerWithQuarantine(t, replicas)
				accepted := time.Now()
				owner.mustSubmit(t, testSubmission("j", 1))
				for range test.owners - 1 {
					for replicas.endedCount() < len(test.endAfter) && time.Since(accepted) < test.within {
						time.Sleep(10 * time.Millisecond)
					}
					time.Sleep(time.Second)
					owner.stop()
					owner = startOwnerWithQuarantine(t, replicas, owner.owned.records...)
				}
				defer owner.stop()
				result := owner.results(t, "j", 1, 70*time.Second)[0]
				if took := time.Since(accepted); result.State != batchpb.State_STATE_SUCCEEDED || took > test.within {
					t.Errorf("the item is %s after %s, want done within %s", result.State, took, test.within)
				}
				if ended := replicas.endedCount(); ended != len(test.endAfter) {
					t.Errorf("%d replicas ended, want %d", ended, len(test.endAfter))
				}
			})
		})
	}
}

// TestRetryWaitsForStableReplicas guards replicas and innocent items: a rejected item is not retried while replicas end for other
// reasons, however long that lasts, and is listed as a dead letter once its retention is over.
func TestRetryWaitsForStableReplicas(t *testing.T) {
	for name, test := range map[string]struct {
		unstable time.Duration
		want     batchpb.State
	}{
		"for half of the retention": {30 * time.Second, batchpb.State_STATE_SUCCEEDED},
		"beyond the retention":      {70 * time.Second, batchpb.State_STATE_DEAD_LETTER},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				series := newCrashSeries(100, 0)
				series.endAfter = []time.Duration{time.Millisecond, time.Millisecond, time.Millisecond}
				owner := startOwnerWithQuarantine(t, series.crashingReplicas)
				defer owner.stop()
				started := time.Now()
				owner.mustSubmit(t, testSubmission("j", 1))
				for series.endedCount() < len(series.endAfter) {
					time.Sleep(10 * time.Millisecond)
				}
				series.until = started.Add(test.unstable)
				series.crashOthers(t, owner, time.Second)
				if series.runs > len(series.endAfter) {
					t.Errorf("the item was sent %d times while replicas ended, want %d", series.runs, len(series.endAfter))
				}
				if result := owner.results(t, "j", 1, 30*time.Second)[0]; result.State != test.want {
					t.Errorf("the item is %s, want %s", result.State, test.want)
				}
			})
		})
	}
}

// TestRetriesAreLimitedOverOwners guards the rate at which an item that ends each replica that runs it does so, beyond the time for
// which the evidence on its message is kept, and while its owners change.
func TestRetriesAreLimitedOverOwners(t *testing.T) {
	for name, ownerLasts := range map[string]time.Duration{"one owner": 20 * time.Minute, "a new owner each 2 minutes": 2 * time.Minute} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const lasts = 20 * time.Minute
				most := 3 + retriesWithin(lasts)
				replicas := newCrashingReplicas(most + 4)
				replicas.fatalEvent = fatalBeforeFirstEvent
				owner := startOwnerWithQuarantine(t, replicas)
				owner.routes.Table().Routes[0].Retention = 2 * lasts
				owner.mustSubmit(t, testSubmission("j", 1))
				for passed := time.Duration(0); passed < lasts; passed += ownerLasts {
					for lived := time.Duration(0); lived < ownerLasts; lived += time.Second {
						time.Sleep(time.Second)
						owner.service.directory.Replace(replicas.living())
					}
					owner.stop()
					owner = startOwnerWithQuarantine(t, replicas, owner.owned.records...)
					owner.routes.Table().Routes[0].Retention = 2 * lasts
				}
				owner.stop()
				replicas.checkRetries(t, "/p/j-0", 3)
				// An item may lie without a run for 20 s, and for as long again where its owner changes.
				fewest := int((lasts - (lasts/ownerLasts)*20*time.Second) / (20 * time.Second))
				if ended := replicas.endedCount(); ended < fewest || ended > most {
					t.Errorf("%d replicas ended within %s, want %d to %d", ended, lasts, fewest, most)
				}
			})
		})
	}
}

// TestRetriesOfManyItemsAreDoneSoon guards items against waiting for each other when many were rejected for ends that had another
// cause.
func TestRetriesOfManyItemsAreDoneSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const items = 24
		replicas := newCrashingReplicas(12)
		owner := startOwnerWithQuarantine(t, replicas)
		defer owner.stop()
		submission := testSubmission("j", items)
		for number := range items {
			var ends []quarantine.RecordedEnd
			for end := range 3 {
				ends = append(ends, quarantine.RecordedEnd{Replica: endedKey(number, end), ReachedKnown: true})
			}
			owner.service.options.Quarantine.Recall(messageKey(submission, number, owner.service.client.Headers()), ends, 0)
		}
		owner.mustSubmit(t, submission)
		// Each item needs 1.5 s on its own.
		owner.results(t, "j", items, 30*time.Second)
	})
}

// endedKey returns the key of a replica that ended under an item before the test.
func endedKey(number, end int) replica.Key {
	return replica.KeyOf(fmt.Sprint(number, "-", end))
}

// skippedRetryRegister says that the next run of an item is a retry until retrying is reset.
type skippedRetryRegister struct {
	*countingRegister
	retrying atomic.Bool
}

func (s *skippedRetryRegister) Check(key quarantine.Key, _ ...quarantine.Key) quarantine.Verdict {
	if s.retrying.Load() {
		return quarantine.Apart
	}
	return s.countingRegister.Check(key)
}

func (s *skippedRetryRegister) CheckItem(key quarantine.Key, _ ...quarantine.Key) quarantine.Verdict {
	return s.Check(key)
}

func (s *skippedRetryRegister) NextEndRejects(quarantine.Key) bool { return s.retrying.Load() }

func (s *skippedRetryRegister) Retries(quarantine.Key) bool { return s.retrying.Load() }

// TestEndAfterASkippedRetryIsRecordedAsOrdinary guards items against the delays of retries: a retry for which there was no replica
// must not mark a later, ordinary run.
func TestEndAfterASkippedRetryIsRecordedAsOrdinary(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		register := &skippedRetryRegister{countingRegister: newCountingRegister(3)}
		register.retrying.Store(true)
		owner := startOwnerWithRegister(t, register, crashingScripts("/p/j-0", "a"))
		register.directory = owner.service.directory
		infos := []replica.Info{*owner.service.directory.View().Find("a").Info()}
		owner.removeReplica("a")
		owner.mustSubmit(t, testSubmission("j", 1))
		time.Sleep(time.Second)
		register.retrying.Store(false)
		owner.service.directory.Replace(infos)
		time.Sleep(3 * time.Second)
		owner.stop()
		if recorded := crashRecords(t, owner.owned.records); len(recorded) != 1 || recorded[0].Retry {
			t.Errorf("recorded: %v, want one end that is not of a retry", recorded)
		}
	})
}

// TestItemIsRetriedSoonAfterTheLastOfManyCrashes guards accepted items against lying in wait while all is calm: each crash under a
// retry doubled the delay of the next one, so that a sound item in a series of crashes waited for minutes, or hours, after it.
func TestItemIsRetriedSoonAfterTheLastOfManyCrashes(t *testing.T) {
	const (
		early = 2 * time.Millisecond
		late  = 3*eventInterval + early
		// most is how long an item may lie without a run after it failed, while its replicas are calm and have room.
		most = 20 * time.Second
		runs = 10 * time.Second
	)
	for name, test := range map[string]struct {
		crashes  int
		after    time.Duration
		newOwner bool
	}{
		"five":                     {5, early, false},
		"eight":                    {8, early, false},
		"twelve":                   {12, early, false},
		"eight, behind events":     {8, late, false},
		"eight, and new owners":    {8, early, true},
		"as many as in half a day": {40, early, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				replicas := newCrashingReplicas(test.crashes + 4)
				for range test.crashes {
					replicas.endAfter = append(replicas.endAfter, test.after)
				}
				owner := startOwnerWithQuarantine(t, replicas)
				owner.routes.Table().Routes[0].Retention = time.Hour
				defer func() { owner.stop() }()
				owner.mustSubmit(t, testSubmission("j", 1))
				for ended := 1; ended <= test.crashes; ended++ {
					owner.service.directory.Replace(replicas.living())
					for waited := time.Duration(0); replicas.endedCount() < ended; waited += 10 * time.Millisecond {
						if waited > most {
							t.Fatalf("no run within %s after crash %d, though all replicas are calm", most, ended-1)
						}
						time.Sleep(10 * time.Millisecond)
					}
					if test.newOwner && ended%3 == 0 {
						time.Sleep(time.Second)
						owner.stop()
						owner = startOwnerWithQuarantine(t, replicas, owner.owned.records...)
						owner.routes.Table().Routes[0].Retention = time.Hour
					}
				}
				owner.service.directory.Replace(replicas.living())
				if result := owner.results(t, "j", 1, most+runs)[0]; result.State != batchpb.State_STATE_SUCCEEDED {
					t.Errorf("the item is %s", result.State)
				}
			})
		})
	}
}

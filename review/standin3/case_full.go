//go:build review3

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	wire "github.com/sloelift/sloelift/platform"
)

const (
	// The batch jobs of the site: 44 items of 164 events of 75 bytes, and the largest burst.
	itemsOfJob, eventsOfItem, bytesOfEvent = 44, 164, 75
	jobInterval                            = 1040 * time.Millisecond
	burstFactor, burstTime, burstPause     = 6, 3 * time.Second, 5 * time.Second
	loadTime                               = 40 * time.Second
	// settleTime is completion_s and a margin; calmTime is the time at its end in which no replica has an item.
	settleTime, calmTime = 28 * time.Second, 5 * time.Second
)

// playFull: clients submit batch jobs at the rate of the site; in the trouble, many come at once, again and again.
func playFull(ctx context.Context, recorded *record, trouble bool) ([]string, error) {
	counted := &sends{count: map[string]int{}}
	diskMegabytes = 47
	var lastRun atomic.Int64
	fault := func(got arrived, _ *replicaConnection) (answered, keep bool) {
		lastRun.Store(time.Now().UnixNano())
		return false, false
	}
	started, err := prepare(ctx, smallPlan, recorded, func(ctx context.Context, d *deployment) error {
		for number := range 3 {
			if err := d.addReplica(ctx, fmt.Sprintf("r-%d", number+1), service, smallPlan.stores[number%3], counted, fault); err != nil {
				return err
			}
		}
		jobs := batchRoute("jobs", "/jobs/", service, 3)
		jobs.MaxQueued = 4_300_000
		return d.configure(ctx, []string{service}, []wire.RouteEntry{jobs})
	})
	if err != nil {
		return nil, err
	}
	defer started.close()
	var mutex sync.Mutex
	var accepted []*job
	refused := 0
	var clients sync.WaitGroup
	began := time.Now()
	for number := 0; time.Since(began) < loadTime; number++ {
		clients.Go(func() {
			sent := siteJob(number)
			body, _ := json.Marshal(wire.JobBody{Items: sent.items})
			taken := false
			// Clients of the site retry once.
			for try := 0; try < 2 && !taken; try++ {
				status, _, err := started.call(ctx, started.edges()[(number+try)%3], http.MethodPost, sent.path+sent.id, sent.id, body)
				taken = err == nil && status == http.StatusAccepted
				if !taken {
					sleep(ctx, 500*time.Millisecond)
				}
			}
			mutex.Lock()
			defer mutex.Unlock()
			if taken {
				accepted = append(accepted, sent)
			} else {
				refused++
			}
		})
		pause := jobInterval
		if since := time.Since(began) % (burstTime + burstPause); trouble && since < burstTime {
			pause = jobInterval / burstFactor
		}
		sleep(ctx, pause)
	}
	clients.Wait()
	recorded.note("traffic has ended: %d jobs accepted, %d refused", len(accepted), refused)
	sleep(ctx, settleTime)
	calm := time.Since(time.Unix(0, lastRun.Load())) > calmTime
	var violations []string
	var unlisted, unreadable atomic.Int64
	room := make(chan struct{}, 40)
	var readers sync.WaitGroup
	for _, sent := range accepted {
		room <- struct{}{}
		readers.Go(func() {
			defer func() { <-room }()
			listed, readable := started.listed(ctx, sent)
			unlisted.Add(int64(len(sent.items) - listed))
			if !readable {
				unreadable.Add(1)
			}
			recorded.note("job %s: readable %t, %d of %d items are listed", sent.id, readable, listed, len(sent.items))
		})
	}
	readers.Wait()
	recorded.note("%d jobs can't be read, %d items are unlisted; the last item began at a replica %.1f s ago",
		unreadable.Load(), unlisted.Load(), time.Since(time.Unix(0, lastRun.Load())).Seconds())
	if unreadable.Load() > 0 {
		violations = append(violations, fmt.Sprintf("LOST: %d of %d accepted jobs can't be read", unreadable.Load(), len(accepted)))
	}
	if unlisted.Load() > 0 && calm {
		violations = append(violations, fmt.Sprintf("LOST: %d items of accepted jobs are listed neither as succeeded nor as dead_letter, and no replica has one", unlisted.Load()))
	}
	if names := started.endedByThemselves(); len(names) > 0 {
		violations = append(violations, fmt.Sprintf("processes have ended by themselves: %v", names))
	}
	return violations, nil
}

// siteJob returns a job of the usual size.
func siteJob(number int) *job {
	sent := newJob(fmt.Sprintf("job%d", number), "/jobs/")
	for index := range itemsOfJob {
		payload := work{Events: eventsOfItem, Mark: fmt.Sprintf("%d-%d", number, index), Hex: bytesOfEvent}
		body, _ := json.Marshal(payload)
		sent.works = append(sent.works, payload)
		sent.items = append(sent.items, wire.JobItem{ID: fmt.Sprintf("%s-i%d", sent.id, index), Path: "/jobs/items/" + payload.Mark, Body: body, Tokens: 1400})
	}
	return sent
}

// listed returns how many items of a job are listed, and whether the job could be read to that position.
func (d *deployment) listed(ctx context.Context, sent *job) (count int, readable bool) {
	for failures := 0; failures < 2 && ctx.Err() == nil; {
		edge := d.edges()[failures]
		status, content, err := d.call(ctx, edge, http.MethodGet, fmt.Sprintf("%s%s?%s=%d", wire.PathLots, sent.id, wire.QueryFrom, count), sent.id, nil)
		var answer wire.JobResults
		if err != nil || status != http.StatusOK || json.Unmarshal(content, &answer) != nil {
			failures++
			continue
		}
		count += len(answer.Results)
		if len(answer.Results) == 0 || count >= len(sent.items) {
			return count, true
		}
	}
	return count, false
}

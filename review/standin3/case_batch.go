//go:build review3

package main

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	wire "github.com/sloelift/sloelift/platform"
)

const service = "registry"

// judgeResults checks the results of a job whose items can all be done.
func judgeResults(sent *job, results []wire.JobResult, counts func(itemID string) string) []string {
	var violations []string
	listed := map[string]int{}
	for position, result := range results {
		listed[result.ID]++
		switch {
		case result.State == "dead_letter":
			violations = append(violations, fmt.Sprintf("MIXED: %s is dead_letter: %s", result.ID, counts(result.ID)))
		case result.Text != sent.textOf(result.ID):
			violations = append(violations, fmt.Sprintf("MIXED: %s at position %d is succeeded with a text of %d bytes, its whole output has %d",
				result.ID, position, len(result.Text), len(sent.textOf(result.ID))))
		}
	}
	for _, item := range sent.items {
		if listed[item.ID] != 1 {
			violations = append(violations, fmt.Sprintf("LOST or TWICE: %s is listed %d times", item.ID, listed[item.ID]))
		}
	}
	return violations
}

func works(prefix string, count, events int) []work {
	var made []work
	for number := range count {
		made = append(made, work{Events: events, Mark: fmt.Sprintf("%s%d", prefix, number)})
	}
	return made
}

// garbled reports whether the answer is one of those that a faulty replica spoils: one of the replicas spoils one in fifty of its answers.
func garbled(got arrived) bool {
	return got.replica.id == "r-1" && got.replica.answers.Load()%50 == 25
}

// playUnsigned: a replica sends a 200 that is none of its answers in place of some of them: it lacks the signature and the events.
func playUnsigned(ctx context.Context, recorded *record, trouble bool) ([]string, error) {
	counted := &sends{count: map[string]int{}}
	fault := func(got arrived, connection *replicaConnection) (answered, keep bool) {
		if !trouble || !garbled(got) {
			return false, false
		}
		recorded.note("replica %s: answers %s (%s) with a 200 that lacks its signature and the events", got.replica.id, got.id, got.work.Mark)
		_, err := fmt.Fprintf(connection, "HTTP/1.1 200 OK\r\nX-Sloelift-Request-Id: %s\r\nContent-Length: 0\r\n\r\n", got.id)
		return true, err == nil
	}
	started, err := prepare(ctx, smallPlan, recorded, func(ctx context.Context, d *deployment) error {
		for number, zone := range []string{"hall-a", "hall-b", "hall-c"} {
			if err := d.addReplica(ctx, fmt.Sprintf("r-%d", number+1), service, zone, counted, fault); err != nil {
				return err
			}
		}
		return d.configure(ctx, []string{service}, []wire.RouteEntry{batchRoute("jobs", "/jobs/", service, 3)})
	})
	if err != nil {
		return nil, err
	}
	defer started.close()
	reading, cancel := context.WithTimeout(ctx, 60*time.Second)
	defer cancel()
	var violations []string
	for number := range 6 {
		sent := newJob(fmt.Sprintf("job%d", number), "/jobs/", works(fmt.Sprintf("a%d-", number), 100, 40)...)
		if err := started.submit(ctx, started.edges()[0], sent); err != nil {
			return nil, err
		}
		results := started.read(reading, started.edges()[1], sent)
		violations = append(violations, judgeResults(sent, results, func(id string) string { return fmt.Sprintf("sent %d times", counted.of(id)) })...)
	}
	return violations, nil
}

// lateRounds is the number of items that fail once in playLateExtra.
const lateRounds = 8

// playLateExtra: an item fails once. The replica's connection stays open, and an extra copy of that answer comes late, in the place of the
// next answer to a request on the connection.
func playLateExtra(ctx context.Context, recorded *record, trouble bool) ([]string, error) {
	counted := &sends{count: map[string]int{}}
	var mutex sync.Mutex
	failures := map[string]int{}
	fault := func(got arrived, connection *replicaConnection) (answered, keep bool) {
		if !strings.HasPrefix(got.work.Mark, "flaky") || got.send != 1 {
			return false, false
		}
		mutex.Lock()
		failures[got.id]++
		mutex.Unlock()
		answer := got.replica.whole(500, got.id, "")
		recorded.note("replica %s: answers %s (%s) with a 500", got.replica.id, got.id, got.work.Mark)
		if trouble {
			connection.late = answer
		}
		_, err := connection.Write(answer)
		return true, err == nil
	}
	started, err := prepare(ctx, smallPlan, recorded, func(ctx context.Context, d *deployment) error {
		if err := d.addReplica(ctx, "r-1", service, "hall-a", counted, fault); err != nil {
			return err
		}
		return d.configure(ctx, []string{service}, []wire.RouteEntry{batchRoute("jobs", "/jobs/", service, 2)})
	})
	if err != nil {
		return nil, err
	}
	defer started.close()
	reading, cancel := context.WithTimeout(ctx, 80*time.Second)
	defer cancel()
	explain := func(id string) string {
		mutex.Lock()
		defer mutex.Unlock()
		return fmt.Sprintf("sent %d times, answered with 500 %d times, the route allows 2 attempts", counted.of(id), failures[id])
	}
	// Enough answers that the extra ones are under three in a hundred.
	sound := []*job{newJob("sound0", "/jobs/", works("a", 150, 20)...), newJob("sound1", "/jobs/", works("b", 150, 20)...)}
	for round := range lateRounds {
		// The replica reads the long prompts of the other items while the first item waits for its second attempt.
		sound = append(sound, newJob(fmt.Sprintf("round%d", round), "/jobs/", work{Events: 20, Mark: fmt.Sprintf("flaky%d", round)},
			work{Events: 20, Mark: "long0", FirstMs: 400}, work{Events: 20, Mark: "long1", FirstMs: 450}))
	}
	var violations []string
	for _, sent := range sound {
		if err := started.submit(ctx, started.edges()[0], sent); err != nil {
			return nil, err
		}
		violations = append(violations, judgeResults(sent, started.read(reading, started.edges()[1], sent), explain)...)
	}
	return violations, nil
}

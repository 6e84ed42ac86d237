//go:build review3

package main

import (
	"context"
	"fmt"
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

// garbleFor is shorter than the longest garble of the site (5.5 s).
const garbleFor = 5 * time.Second

// garble is one disruption: for garbleFor, one of the three replicas spoils one in fifty of its answers.
type garble struct {
	mutex   sync.Mutex
	began   time.Time
	answers int
}

// spoils reports whether this answer is spoilt; the first answer of the replica begins the disruption.
func (g *garble) spoils(got arrived) bool {
	if got.replica.id != "r-1" {
		return false
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.began.IsZero() {
		g.began = time.Now()
	}
	g.answers++
	return g.answers%50 == 0 && time.Since(g.began) < garbleFor
}

// playUnsigned: a replica sends a 200 that is none of its answers in place of some of them: it lacks the signature and the events.
func playUnsigned(ctx context.Context, recorded *record, trouble bool) ([]string, error) {
	counted := &sends{count: map[string]int{}}
	var disruption garble
	fault := func(got arrived, connection *replicaConnection) (answered, keep bool) {
		if !trouble || !disruption.spoils(got) {
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

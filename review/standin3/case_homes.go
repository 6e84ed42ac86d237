//go:build review3

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	wire "github.com/sloelift/sloelift/platform"
)

// playHomes: while an edge is frozen, a batch route with homes is added, gets a job, and is then replaced by one without homes.
func playHomes(ctx context.Context, recorded *record, trouble bool) ([]string, error) {
	const freeze = 4 * time.Second
	counted := &sends{count: map[string]int{}}
	open := batchRoute("open", "/open/", service, 3)
	north := batchRoute("north", "/north/", service, 3)
	north.AllowedRegions = []string{"upper"}
	anywhere := batchRoute("anywhere", "/north/", service, 3)
	planned := plan{
		zones:  map[string]string{"hall-a": "upper", "hall-b": "upper", "hall-c": "upper", "hall-d": "lower"},
		stores: []string{"hall-a", "hall-b", "hall-c"}, edges: []string{"hall-a", "hall-b", "hall-c", "hall-d"},
	}
	started, err := prepare(ctx, planned, recorded, func(ctx context.Context, d *deployment) error {
		for number, zone := range []string{"hall-a", "hall-b", "hall-c"} {
			if err := d.addReplica(ctx, fmt.Sprintf("r-%d", number+1), service, zone, counted, nil); err != nil {
				return err
			}
		}
		return d.configure(ctx, []string{service}, []wire.RouteEntry{open})
	})
	if err != nil {
		return nil, err
	}
	defer started.close()
	near, frozen := started.edges()[0], started.edges()[1]
	if trouble {
		recorded.note("%s is frozen for %s", frozen.name, freeze)
		frozen.freeze(true)
		continues := time.AfterFunc(freeze, func() {
			frozen.freeze(false)
			recorded.note("%s continues", frozen.name)
		})
		defer continues.Stop()
	}
	frozenAt := time.Now()
	sleep(ctx, 2100*time.Millisecond)
	if err := started.configure(ctx, []string{service}, []wire.RouteEntry{open, north}); err != nil {
		return nil, err
	}
	sent := newJob("job1", "/north/", works("a", 10, 40)...)
	if err := started.submit(ctx, near, sent); err != nil {
		return nil, err
	}
	acceptedAt := time.Now()
	reading, cancel := context.WithTimeout(ctx, 20*time.Second)
	defer cancel()
	recorded.note("the job is accepted %.1f s after the freeze began", time.Since(frozenAt).Seconds())
	if err := started.configure(ctx, []string{service}, []wire.RouteEntry{open, anywhere}); err != nil {
		return nil, err
	}
	results := started.read(reading, near, sent)
	violations := judgeResults(sent, results, func(string) string { return "" })
	// The edge is in touch again contact_ms after the freeze: 4 s on the site.
	sleep(ctx, time.Until(frozenAt.Add(freeze+4500*time.Millisecond)))
	for range 3 {
		status, content, err := started.call(ctx, frozen, http.MethodGet, wire.PathLots+sent.id+"?"+wire.QueryFrom+"=0", sent.id, nil)
		var answer wire.JobResults
		if err == nil && status == http.StatusOK {
			_ = json.Unmarshal(content, &answer)
		}
		if status == http.StatusNotFound || status == http.StatusGone {
			violations = append(violations, fmt.Sprintf("LOST: %s answers %d for the job that was accepted %.1f s before", frozen.name, status, time.Since(acceptedAt).Seconds()))
		}
		sleep(ctx, 300*time.Millisecond)
	}
	body, _ := json.Marshal(wire.JobBody{Items: sent.items})
	before := counted.of(sent.items[0].ID)
	status, _, err := started.call(ctx, frozen, http.MethodPost, sent.path+sent.id, sent.id, body)
	if err != nil {
		return violations, nil
	}
	sleep(ctx, 2*time.Second)
	if after := counted.of(sent.items[0].ID); after > before {
		violations = append(violations, fmt.Sprintf("TWICE: the job was sent again, got a %d, and its first item, which was listed, ran again", status))
	}
	return violations, nil
}

package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is what was sent, answered and run, and what was done to the machines.
type record struct {
	mutex   sync.Mutex
	file    *os.File
	started time.Time
	// runs holds the runs of requests at replicas, by the requests' ids.
	runs map[string]*runs
}

// runs are the runs of one request: how many are under way, when the last one ended, and how many made their answer to its end.
type runs struct {
	underWay, whole int
	lastEnd         time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, started: time.Now(), runs: map[string]*runs{}}, nil
}

// note writes one line with the time since the start.
func (r *record) note(format string, arguments ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.write(format, arguments...)
}

func (r *record) write(format string, arguments ...any) {
	_, _ = fmt.Fprintf(r.file, "%8.3f ", time.Since(r.started).Seconds())
	_, _ = fmt.Fprintf(r.file, format+"\n", arguments...)
}

// of returns the runs of a request. The mutex is held.
func (r *record) of(id string) *runs {
	if r.runs[id] == nil {
		r.runs[id] = &runs{}
	}
	return r.runs[id]
}

// began notes that a replica began work on a request.
func (r *record) began(id, replicaID, lastEvent string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.of(id).underWay++
	r.write("run of %s at %s after event %q", id, replicaID, lastEvent)
}

// ended notes that a replica no longer works on a request.
func (r *record) ended(id string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.of(id).underWay--
	r.of(id).lastEnd = time.Now()
}

// whole notes that a replica has sent its whole answer to a request.
func (r *record) whole(id, replicaID string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.of(id).whole++
	r.write("run of %s at %s is whole", id, replicaID)
}

// idleFor returns for how long no replica has worked on a request, and how many whole answers it got.
func (r *record) idleFor(id string) (idle time.Duration, whole int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	known := r.of(id)
	switch {
	case known.underWay > 0:
		return 0, known.whole
	case known.lastEnd.IsZero():
		return time.Since(r.started), known.whole
	default:
		return time.Since(known.lastEnd), known.whole
	}
}

package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// record holds what was sent, answered and run, and writes it to a file.
type record struct {
	mutex sync.Mutex
	began time.Time
	lines []string
	// items holds what replicas did with each item.
	items map[string]*itemRecord
	// finishes are the times at which replicas finished items.
	finishes []time.Time
}

// itemRecord is what replicas did with one item.
type itemRecord struct {
	// present is the number of replicas that have it now; lastPresent and lastFailed are when a replica last had it, and when it last
	// failed at one.
	present     int
	lastPresent time.Time
	lastFailed  time.Time
	runs        int
	finished    bool
}

func newRecord() *record { return &record{began: time.Now(), items: map[string]*itemRecord{}} }

func (r *record) noteLocked(format string, arguments ...any) {
	r.lines = append(r.lines, fmt.Sprintf("%8.3f ", time.Since(r.began).Seconds())+fmt.Sprintf(format, arguments...))
}

func (r *record) note(format string, arguments ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.noteLocked(format, arguments...)
}

func (r *record) item(id string) *itemRecord {
	if r.items[id] == nil {
		r.items[id] = &itemRecord{}
	}
	return r.items[id]
}

func (r *record) arrived(id, replica string, after int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	item := r.item(id)
	item.present++
	item.runs++
	r.noteLocked("item %s reaches replica %s, behind event %d", id, replica, after)
}

func (r *record) left(id, _ string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	item := r.item(id)
	item.present--
	item.lastPresent = time.Now()
}

func (r *record) failed(id, replica string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.item(id).lastFailed = time.Now()
	r.noteLocked("item %s is lost with replica %s", id, replica)
}

func (r *record) finished(id, replica string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.item(id).finished = true
	r.finishes = append(r.finishes, time.Now())
	r.noteLocked("item %s is finished by replica %s", id, replica)
}

// seen returns a copy of what replicas did with an item.
func (r *record) seen(id string) itemRecord {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return *r.item(id)
}

func (r *record) write(path string) error {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return os.WriteFile(path, []byte(strings.Join(r.lines, "\n")+"\n"), 0o644)
}

// finishedSince returns how many items were finished since then, and lastFinished when the last one was.
func (r *record) finishedSince(then time.Time) int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	count := 0
	for _, at := range r.finishes {
		if at.After(then) {
			count++
		}
	}
	return count
}

func (r *record) lastFinished() (last time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if len(r.finishes) > 0 {
		last = r.finishes[len(r.finishes)-1]
	}
	return last
}

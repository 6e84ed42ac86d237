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
	// tenants are the tenants for which requests ran, by their ids.
	tenants map[string]string
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, started: time.Now(), tenants: map[string]string{}}, nil
}

// note writes one line with the time since the start.
func (r *record) note(format string, arguments ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.write(format, arguments...)
}

func (r *record) write(format string, arguments ...any) {
	fmt.Fprintf(r.file, "%8.3f ", time.Since(r.started).Seconds())
	fmt.Fprintf(r.file, format+"\n", arguments...)
}

// ran notes that a replica began work on a request.
func (r *record) ran(id, tenant, replicaID, lastEvent string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.tenants[id] = tenant
	r.write("run of %s at %s after event %q", id, replicaID, lastEvent)
}

// tenantOf returns the tenant for which a replica ran a request; found is false if none did.
func (r *record) tenantOf(id string) (tenant string, found bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	tenant, found = r.tenants[id]
	return tenant, found
}

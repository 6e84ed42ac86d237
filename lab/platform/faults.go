package platform

import (
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Service names one of the stand-ins.
type Service string

// Services of the platform. AnyService in a Fault means all of them.
const (
	AnyService  Service = ""
	KeyValue    Service = "key-value"
	MachineList Service = "machine-list"
	WeightStore Service = "weight-store"
)

// AnyZone in a Fault means the callers of all zones.
const AnyZone = ""

// Outage says how an unavailable service behaves. In all ways the call has no effect.
type Outage string

// Outages.
const (
	// NoOutage serves.
	NoOutage Outage = ""
	// OutageRefuses answers that there is no leader.
	OutageRefuses Outage = "refuse"
	// OutageDrops closes the connection without an answer.
	OutageDrops Outage = "drop"
	// OutageHangs gives no answer and keeps the connection; watches that are open fall silent for good.
	OutageHangs Outage = "hang"
)

// Fault is what is wrong with one service for the callers of one zone.
type Fault struct {
	Zone    string  `json:"zone"`
	Service Service `json:"service"`
	Outage  Outage  `json:"outage,omitempty"`
	// CallsPerSecond limits the rate of calls; 0 is no limit.
	CallsPerSecond float64 `json:"calls_per_second,omitempty"`
	// DelayMilliseconds is waited before the call takes effect.
	DelayMilliseconds int64 `json:"delay_milliseconds,omitempty"`
	// LoseAnswer is the probability that a change takes effect and its answer is lost.
	LoseAnswer float64 `json:"lose_answer,omitempty"`
}

type faultKey struct {
	zone    string
	service Service
}

type activeFault struct {
	Fault
	limiter *rate.Limiter
}

// Faults holds the faults that are switched on. It is safe for concurrent use.
type Faults struct {
	mutex sync.Mutex
	// random, active and changed are guarded by mutex.
	random  *rand.Rand
	active  map[faultKey]*activeFault
	changed chan struct{}
}

func newFaults(seed uint64) *Faults {
	return &Faults{
		random:  rand.New(rand.NewPCG(seed, seed)),
		active:  make(map[faultKey]*activeFault),
		changed: make(chan struct{}),
	}
}

// Set switches fault on, in place of the one of the same zone and service.
func (f *Faults) Set(fault Fault) {
	entry := &activeFault{Fault: fault}
	if fault.CallsPerSecond > 0 {
		entry.limiter = rate.NewLimiter(rate.Limit(fault.CallsPerSecond), max(1, int(fault.CallsPerSecond)))
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.active[faultKey{fault.Zone, fault.Service}] = entry
	f.signal()
}

// Clear switches off the fault of zone and service as it was set.
func (f *Faults) Clear(zone string, service Service) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	delete(f.active, faultKey{zone, service})
	f.signal()
}

// List returns the faults that are on.
func (f *Faults) List() []Fault {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	list := make([]Fault, 0, len(f.active))
	for _, entry := range f.active {
		list = append(list, entry.Fault)
	}
	return list
}

// signal wakes the watches, which end in an outage. The caller holds mutex.
func (f *Faults) signal() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// verdict is what the faults do to one call.
type verdict struct {
	outage     Outage
	limited    bool
	delay      time.Duration
	loseAnswer bool
}

// judge decides on one call from zone to service.
func (f *Faults) judge(zone string, service Service) verdict {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	var result verdict
	for _, entry := range f.matching(zone, service) {
		if entry.Outage != NoOutage {
			result.outage = entry.Outage
		}
		if entry.limiter != nil && !entry.limiter.Allow() {
			result.limited = true
		}
		result.delay += time.Duration(entry.DelayMilliseconds) * time.Millisecond
		if entry.LoseAnswer > 0 && f.random.Float64() < entry.LoseAnswer {
			result.loseAnswer = true
		}
	}
	return result
}

// outage returns the present outage for zone, and a channel that is closed at the next change.
func (f *Faults) outage(zone string, service Service) (Outage, <-chan struct{}) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	present := NoOutage
	for _, entry := range f.matching(zone, service) {
		if entry.Outage != NoOutage {
			present = entry.Outage
		}
	}
	return present, f.changed
}

// matching returns the faults that concern zone and service. The caller holds mutex.
func (f *Faults) matching(zone string, service Service) []*activeFault {
	zones := []string{AnyZone}
	if zone != AnyZone {
		zones = append(zones, zone)
	}
	var found []*activeFault
	for _, ofZone := range zones {
		for _, ofService := range []Service{AnyService, service} {
			if entry, present := f.active[faultKey{ofZone, ofService}]; present {
				found = append(found, entry)
			}
		}
	}
	return found
}

package platform

import (
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Service is the name of a simulated service.
type Service string

// Services of the platform; AnyService in a Fault stands for all of them.
const (
	AnyService  Service = ""
	KeyValue    Service = "key-value"
	MachineList Service = "machine-list"
	WeightStore Service = "weight-store"
)

// AnyZone in a Fault stands for the callers of all zones.
const AnyZone = ""

// Outage is the way in which a service is unavailable. Calls during an outage have no effect.
type Outage string

// Outages.
const (
	// NoOutage means that the service is available.
	NoOutage Outage = ""
	// OutageRefuses responds with an error that there is no leader.
	OutageRefuses Outage = "refuse"
	// OutageDrops closes the connection without a response.
	OutageDrops Outage = "drop"
	// OutageHangs keeps the connection open without a response; open watches deliver nothing more, also after the outage.
	OutageHangs Outage = "hang"
	// OutageLoses is like OutageHangs, but calls that begin in it are never answered, not even by the end of their connection.
	OutageLoses Outage = "lose"
)

// endsWatches reports whether open watches deliver nothing more, also after the outage.
func (o Outage) endsWatches() bool { return o == OutageHangs || o == OutageLoses }

// Fault describes how one service misbehaves for the callers of one zone.
type Fault struct {
	Zone    string  `json:"zone"`
	Service Service `json:"service"`
	Outage  Outage  `json:"outage,omitempty"`
	// CallsPerSecond limits the rate of calls; 0 means no limit.
	CallsPerSecond float64 `json:"calls_per_second,omitempty"`
	// DelayMilliseconds is the delay before a call takes effect.
	DelayMilliseconds int64 `json:"delay_milliseconds,omitempty"`
	// LoseAnswer is the probability that a change takes effect but its response is lost.
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

// Faults holds the active faults. It is safe for concurrent use.
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

// Set activates fault, replacing the one set for the same zone and service.
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

// Clear removes the fault that was set with exactly this zone and service.
func (f *Faults) Clear(zone string, service Service) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	delete(f.active, faultKey{zone, service})
	f.signal()
}

// List returns the active faults.
func (f *Faults) List() []Fault {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	list := make([]Fault, 0, len(f.active))
	for _, entry := range f.active {
		list = append(list, entry.Fault)
	}
	return list
}

// signal wakes the watches, so that they notice an outage. The caller holds mutex.
func (f *Faults) signal() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// faultEffect is the combined effect of the faults on one call.
type faultEffect struct {
	outage     Outage
	limited    bool
	delay      time.Duration
	loseAnswer bool
}

// effectOn returns the effect of the faults on one call from zone to service.
func (f *Faults) effectOn(zone string, service Service) faultEffect {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	var result faultEffect
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

// outage returns the current outage of service for zone, and a channel that is closed at the next change of faults.
func (f *Faults) outage(zone string, service Service) (Outage, <-chan struct{}) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	current := NoOutage
	for _, entry := range f.matching(zone, service) {
		if entry.Outage != NoOutage {
			current = entry.Outage
		}
	}
	return current, f.changed
}

// matching returns the faults that apply to zone and service. The caller holds mutex.
func (f *Faults) matching(zone string, service Service) []*activeFault {
	zones := []string{AnyZone}
	if zone != AnyZone {
		zones = append(zones, zone)
	}
	var found []*activeFault
	for _, candidateZone := range zones {
		for _, candidateService := range []Service{AnyService, service} {
			if entry, present := f.active[faultKey{candidateZone, candidateService}]; present {
				found = append(found, entry)
			}
		}
	}
	return found
}

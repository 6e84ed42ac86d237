package load

import (
	"fmt"
	"time"
)

// Profile describes one user's fleet and the arrivals it sees.
type Profile struct {
	Name   string
	Region string
	Zones  []string
	// Replicas is the number of engines of the service, spread over the zones in turn.
	Replicas int
	Service  string
	Model    string
	StepBase time.Duration
	Online   OnlineShape
	Batch    BatchShape
}

// OnlineShape describes the online arrivals: a base rate and bursts on top of it.
type OnlineShape struct {
	// RequestsPerSecond is the base rate; BurstRequestsPerSecond is added during bursts.
	RequestsPerSecond      float64
	BurstRequestsPerSecond float64
	// BurstEvery is the mean time between the starts of bursts, BurstLength their length.
	BurstEvery  time.Duration
	BurstLength time.Duration
	// Prefixes is the number of shared prompt beginnings, PrefixBytes their length.
	Prefixes    int
	PrefixBytes int
	// QuestionBytes is the mean length of what follows the shared beginning.
	QuestionBytes int
	MaxTokens     int
	// LongShare of the requests are long sessions of up to LongTokens.
	LongShare  float64
	LongTokens int
	// NotRepeatableShare of the requests are marked; ResendShare of those are sent
	// twice at once, to two nodes.
	NotRepeatableShare float64
	ResendShare        float64
}

// BatchShape describes the heaps of batch jobs.
type BatchShape struct {
	// HeapEvery is the time between heaps; it varies by a tenth.
	HeapEvery time.Duration
	// FirstHeap is when the first one arrives.
	FirstHeap    time.Duration
	JobsPerHeap  int
	ItemsPerJob  int
	PrefixBytes  int
	ContentBytes int
	MaxTokens    int
	// UrgentShare of the jobs have the higher batch priority.
	UrgentShare float64
	// NotRepeatableShare of the jobs have marked items; ResendShare are submitted twice.
	NotRepeatableShare float64
	ResendShare        float64
	// CancelShare of the jobs are cancelled soon after their submission.
	CancelShare float64
	Deadline    time.Duration
}

// Names of the declarations that the load uses.
const (
	PriorityOnline = "counter"
	PriorityUrgent = "urgent"
	PriorityBatch  = "overnight"
	TenantName     = "office"
	// TenantKey is the tenant's bearer key.
	TenantKey = "lab-office-key"
)

// Registry returns the profile of the Civil Registry Assistant.
func Registry() Profile {
	return Profile{
		Name:     "registry",
		Region:   "lahore",
		Zones:    []string{"shadman-hall", "gulberg-hall", "iqbal-town-hall"},
		Replicas: 12,
		Service:  "registry-assist",
		Model:    "registry-assist-v1",
		StepBase: 3400 * time.Microsecond,
		Online: OnlineShape{
			RequestsPerSecond: 30, BurstRequestsPerSecond: 120,
			BurstEvery: 4 * time.Second, BurstLength: time.Second,
			Prefixes: 24, PrefixBytes: 1024, QuestionBytes: 160, MaxTokens: 48,
			LongShare: 0.04, LongTokens: 600,
			NotRepeatableShare: 0.05, ResendShare: 0.3,
		},
		Batch: BatchShape{
			HeapEvery: 8 * time.Second, FirstHeap: time.Second, JobsPerHeap: 6, ItemsPerJob: 40,
			PrefixBytes: 1024, ContentBytes: 1024, MaxTokens: 96,
			UrgentShare: 0.2, NotRepeatableShare: 0.17, ResendShare: 0.3,
			Deadline: 4 * time.Hour,
		},
	}
}

// Tidewater returns the profile of the Tidewater Forecast Assistant.
func Tidewater() Profile {
	return Profile{
		Name:     "tidewater",
		Region:   "gulf-lowlands",
		Zones:    []string{"levee-hall", "bayou-sub", "pump-north", "annex-b"},
		Replicas: 18,
		Service:  "wxchat",
		Model:    "wxchat-v1",
		StepBase: 3900 * time.Microsecond,
		Online: OnlineShape{
			RequestsPerSecond: 40, BurstRequestsPerSecond: 160,
			BurstEvery: 5 * time.Second, BurstLength: time.Second,
			Prefixes: 32, PrefixBytes: 768, QuestionBytes: 128, MaxTokens: 32,
			LongShare: 0.04, LongTokens: 600,
			NotRepeatableShare: 0.03, ResendShare: 0.3,
		},
		Batch: BatchShape{
			HeapEvery: 9 * time.Second, FirstHeap: time.Second, JobsPerHeap: 6, ItemsPerJob: 60,
			PrefixBytes: 2048, ContentBytes: 1024, MaxTokens: 96,
			UrgentShare: 0.35, NotRepeatableShare: 0.1, ResendShare: 0.3,
			Deadline: 3 * time.Hour,
		},
	}
}

// ProfileByName returns a profile.
func ProfileByName(name string) (Profile, error) {
	for _, profile := range []Profile{Registry(), Tidewater()} {
		if profile.Name == name {
			return profile, nil
		}
	}
	return Profile{}, fmt.Errorf("no profile %q: registry and tidewater are known", name)
}

package load

import (
	"fmt"
	"time"
)

// Profile describes the fleet of one user organization and its load.
type Profile struct {
	Name   string
	Region string
	Zones  []string
	// Replicas is the number of engines of the service, assigned to the zones round-robin.
	Replicas int
	Service  string
	Model    string
	StepBase time.Duration
	Online   OnlineShape
	Batch    BatchShape
}

// OnlineShape describes the online arrivals: a base rate with bursts added to it.
type OnlineShape struct {
	// RequestsPerSecond is the base rate; BurstRequestsPerSecond is added during bursts.
	RequestsPerSecond      float64
	BurstRequestsPerSecond float64
	// BurstEvery is the mean time between the starts of bursts, BurstLength their duration.
	BurstEvery  time.Duration
	BurstLength time.Duration
	// Prefixes is the number of shared prompt prefixes, PrefixBytes their length.
	Prefixes    int
	PrefixBytes int
	// QuestionBytes is the mean length of the text after the shared prefix.
	QuestionBytes int
	MaxTokens     int
	// LongShare is the share of requests that are long sessions of up to LongTokens tokens.
	LongShare  float64
	LongTokens int
	// NotRepeatableShare is the share of requests that are marked as not repeatable, and
	// ResendShare the share of those that are sent to two nodes at the same time.
	NotRepeatableShare float64
	ResendShare        float64
}

// BatchShape describes the arrivals of batch jobs, which come in bursts of several jobs.
type BatchShape struct {
	// BurstEvery is the time between bursts; it varies by a tenth.
	BurstEvery time.Duration
	// FirstBurst is the time at which the first burst arrives.
	FirstBurst   time.Duration
	JobsPerBurst int
	ItemsPerJob  int
	PrefixBytes  int
	ContentBytes int
	MaxTokens    int
	// UrgentShare is the share of jobs with the higher batch priority.
	UrgentShare float64
	// NotRepeatableShare is the share of jobs with marked items, ResendShare the share that is submitted twice.
	NotRepeatableShare float64
	ResendShare        float64
	// CancelShare is the share of jobs that are cancelled soon after their submission.
	CancelShare float64
	Deadline    time.Duration
}

// Names of the configuration's declarations that the load uses.
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
			BurstEvery: 8 * time.Second, FirstBurst: time.Second, JobsPerBurst: 6, ItemsPerJob: 40,
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
			BurstEvery: 9 * time.Second, FirstBurst: time.Second, JobsPerBurst: 6, ItemsPerJob: 60,
			PrefixBytes: 2048, ContentBytes: 1024, MaxTokens: 96,
			UrgentShare: 0.35, NotRepeatableShare: 0.1, ResendShare: 0.3,
			Deadline: 3 * time.Hour,
		},
	}
}

// ProfileByName returns the profile with the given name.
func ProfileByName(name string) (Profile, error) {
	for _, profile := range []Profile{Registry(), Tidewater()} {
		if profile.Name == name {
			return profile, nil
		}
	}
	return Profile{}, fmt.Errorf("no profile %q: registry and tidewater are known", name)
}

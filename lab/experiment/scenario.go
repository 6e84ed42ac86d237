package experiment

import (
	"embed"
	"fmt"
	"io/fs"
	"os"
	"path"
	"strings"
	"time"

	"github.com/goccy/go-yaml"

	"github.com/sloelift/sloelift/lab/load"
)

// FaultKind is the kind of a fault.
type FaultKind string

// Kinds of faults.
const (
	FaultKillNode        FaultKind = "kill_node"
	FaultLoseDisk        FaultKind = "lose_disk"
	FaultPauseNode       FaultKind = "pause_node"
	FaultKeyValueDown    FaultKind = "key_value_down"
	FaultKeyValueSlow    FaultKind = "key_value_slow"
	FaultKeyValueAnswers FaultKind = "key_value_answers_lost"
	FaultCutZone         FaultKind = "cut_zone"
	FaultKillReplica     FaultKind = "kill_replica"
	FaultLeaveReplica    FaultKind = "leave_replica"
	FaultLoadLag         FaultKind = "load_lag"
	FaultCacheEventsLost FaultKind = "cache_events_lost"
	FaultRollingRestart  FaultKind = "rolling_restart"
	// FaultSilence silences the open connections to the platform and engines of nodes that are processes of their own.
	FaultSilence FaultKind = "silence_connections"
	// FaultConfiguration applies Count changed files over its duration; no node may revert one or get one late.
	FaultConfiguration FaultKind = "change_configuration"
	// FaultRollVersion declares a new version of the model; every replica must come to serve only that version.
	FaultRollVersion FaultKind = "roll_version"
)

// Target is the class of nodes that a fault can hit.
type Target string

// Targets of node faults.
const (
	TargetAny     Target = ""
	TargetStore   Target = "store"
	TargetGateway Target = "gateway"
)

// Fault is one fault of a scenario.
type Fault struct {
	At   time.Duration `yaml:"at"`
	Kind FaultKind     `yaml:"kind"`
	// For is the duration of the fault; 0 means until the end of the run.
	For    time.Duration `yaml:"for"`
	Target Target        `yaml:"target"`
	// Count is the number of nodes or replicas that are hit at once; 0 means one.
	Count int `yaml:"count"`
	// Share is the probability of losing a response or a cache event.
	Share float64 `yaml:"share"`
	// Lag is the delay of load reports or of the key-value service.
	Lag time.Duration `yaml:"lag"`
}

// LoadChange changes the profile's load; nil fields change nothing.
type LoadChange struct {
	ResendShare        *float64 `yaml:"resendShare"`
	CancelShare        *float64 `yaml:"cancelShare"`
	NotRepeatableShare *float64 `yaml:"notRepeatableShare"`
	OnlineScale        *float64 `yaml:"onlineScale"`
	BatchScale         *float64 `yaml:"batchScale"`
}

// Scenario is the content of one fault file.
type Scenario struct {
	Name        string        `yaml:"name"`
	Description string        `yaml:"description"`
	Duration    time.Duration `yaml:"duration"`
	Load        LoadChange    `yaml:"load"`
	Faults      []Fault       `yaml:"faults"`
}

//go:embed faults/*.yaml
var builtIn embed.FS

// LoadScenario reads a fault file, given its path or the name of a built-in one.
func LoadScenario(name string) (Scenario, error) {
	content, err := os.ReadFile(name)
	if os.IsNotExist(err) {
		content, err = builtIn.ReadFile(path.Join("faults", strings.TrimSuffix(name, ".yaml")+".yaml"))
	}
	if err != nil {
		return Scenario{}, fmt.Errorf("read fault file: %w", err)
	}
	return ParseScenario(content)
}

// ParseScenario parses the content of a fault file. Unknown keys and kinds are errors.
func ParseScenario(content []byte) (Scenario, error) {
	var scenario Scenario
	if err := yaml.UnmarshalWithOptions(content, &scenario, yaml.Strict()); err != nil {
		return Scenario{}, fmt.Errorf("fault file: %w", err)
	}
	if scenario.Name == "" || scenario.Duration <= 0 {
		return Scenario{}, fmt.Errorf("fault file: name and duration are required")
	}
	for index, fault := range scenario.Faults {
		if _, known := actions[fault.Kind]; !known {
			return Scenario{}, fmt.Errorf("fault file: faults[%d]: unknown kind %q", index, fault.Kind)
		}
	}
	return scenario, nil
}

// BuiltInScenarios returns the names of the built-in fault files.
func BuiltInScenarios() []string {
	files, err := fs.Glob(builtIn, "faults/*.yaml")
	if err != nil {
		panic(err) // The pattern is a constant.
	}
	names := make([]string, len(files))
	for index, file := range files {
		names[index] = strings.TrimSuffix(path.Base(file), ".yaml")
	}
	return names
}

// apply returns the changed profile.
func (c LoadChange) apply(profile load.Profile) load.Profile {
	set := func(value *float64, fields ...*float64) {
		for _, field := range fields {
			if value != nil {
				*field = *value
			}
		}
	}
	set(c.ResendShare, &profile.Batch.ResendShare, &profile.Online.ResendShare)
	set(c.CancelShare, &profile.Batch.CancelShare)
	set(c.NotRepeatableShare, &profile.Batch.NotRepeatableShare, &profile.Online.NotRepeatableShare)
	if c.OnlineScale != nil {
		profile.Online.RequestsPerSecond *= *c.OnlineScale
		profile.Online.BurstRequestsPerSecond *= *c.OnlineScale
	}
	if c.BatchScale != nil {
		profile.Batch.ItemsPerJob = int(float64(profile.Batch.ItemsPerJob) * *c.BatchScale)
	}
	return profile
}

// expectations returns what the scenario's faults allow.
func (s Scenario) expectations() load.Expectations {
	var expected load.Expectations
	for _, fault := range s.Faults {
		switch fault.Kind {
		case FaultKillNode, FaultLoseDisk, FaultPauseNode:
			expected.ConnectionsMayBreak = true
		case FaultCutZone:
			expected.ConnectionsMayBreak, expected.RunsMayBeLost = true, true
		case FaultKillReplica:
			expected.RunsMayBeLost = true
		}
	}
	return expected
}

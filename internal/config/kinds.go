package config

import "time"

// Kind names a kind of declaration.
type Kind string

// Kinds of declarations. One file may hold several documents, separated by "---";
// the file is applied as a whole.
const (
	KindModel    Kind = "Model"
	KindService  Kind = "Service"
	KindPriority Kind = "Priority"
	KindTenant   Kind = "Tenant"
	KindJob      Kind = "Job"
)

// Model declares one model with its version and adapters.
type Model struct {
	Name string `yaml:"name" json:"name" validate:"required,dns_label"`
	// Version is the version that replicas should serve.
	Version  string   `yaml:"version" json:"version" validate:"required,max=128"`
	Adapters []string `yaml:"adapters,omitempty" json:"adapters,omitempty" validate:"unique,dive,dns_label"`
	// ContextTokens limits the tokens of prompt and answer together.
	ContextTokens int `yaml:"contextTokens" json:"contextTokens" validate:"required,min=1"`
}

// Service declares a set of replicas that serve models to callers.
type Service struct {
	Name string `yaml:"name" json:"name" validate:"required,dns_label"`
	// Models are names of Model declarations; the first is the default.
	Models []string `yaml:"models" json:"models" validate:"required,min=1,unique,dive,dns_label"`
	// MaxConcurrentPerReplica limits the concurrent online streams of one replica.
	MaxConcurrentPerReplica int `yaml:"maxConcurrentPerReplica" json:"maxConcurrentPerReplica" validate:"required,min=1"`
	// BatchConcurrentPerReplica limits the concurrent batch streams of one replica.
	BatchConcurrentPerReplica int `yaml:"batchConcurrentPerReplica" json:"batchConcurrentPerReplica" validate:"min=0"`
	// QueueLimit limits the online requests queued on one node.
	QueueLimit int `yaml:"queueLimit" json:"queueLimit" validate:"min=0"`
	// RequestTimeout limits an online request from acceptance to its last token.
	RequestTimeout time.Duration `yaml:"requestTimeout" json:"requestTimeout" validate:"required,min=1ms"`
	// RetryBudgetPercent is the maximum share of requests that are retries, in percent.
	RetryBudgetPercent int `yaml:"retryBudgetPercent" json:"retryBudgetPercent" validate:"min=0,max=100"`
}

// Priority declares a priority that requests and jobs refer to by name.
type Priority struct {
	Name string `yaml:"name" json:"name" validate:"required,dns_label"`
	// Rank orders priorities; a higher one goes first.
	Rank int `yaml:"rank" json:"rank" validate:"min=0,max=1000"`
	// Online marks a priority of online requests; others are for batch jobs.
	Online bool `yaml:"online" json:"online"`
}

// Tenant declares one tenant with its keys and limits.
type Tenant struct {
	Name string `yaml:"name" json:"name" validate:"required,dns_label"`
	// KeyDigests are SHA-256 digests, in hex, of the tenant's bearer keys.
	KeyDigests []string `yaml:"keyDigests" json:"keyDigests" validate:"required,min=1,unique,dive,len=64,hexadecimal,lowercase"`
	// Services are the services that the tenant may use; empty means all.
	Services []string `yaml:"services,omitempty" json:"services,omitempty" validate:"unique,dive,dns_label"`
	// RequestsPerSecond and Burst limit the tenant's online requests on all nodes
	// together; 0 is no limit.
	RequestsPerSecond float64 `yaml:"requestsPerSecond" json:"requestsPerSecond" validate:"min=0"`
	Burst             int     `yaml:"burst" json:"burst" validate:"min=0"`
	// MaxConcurrent limits the tenant's online requests in flight on one node; 0 is no limit.
	MaxConcurrent int `yaml:"maxConcurrent" json:"maxConcurrent" validate:"min=0"`
	// Weight is the tenant's relative share when tenants compete.
	Weight int `yaml:"weight" json:"weight" validate:"min=0"`
	// MaxJobItems limits the items of one job; 0 means the system's own limit.
	MaxJobItems int `yaml:"maxJobItems" json:"maxJobItems" validate:"min=0"`
}

// Job declares defaults for batch jobs that are submitted under its name.
type Job struct {
	Name     string `yaml:"name" json:"name" validate:"required,dns_label"`
	Tenant   string `yaml:"tenant" json:"tenant" validate:"required,dns_label"`
	Service  string `yaml:"service" json:"service" validate:"required,dns_label"`
	Priority string `yaml:"priority" json:"priority" validate:"required,dns_label"`
	// Deadline is the time from acceptance within which the job should complete.
	Deadline time.Duration `yaml:"deadline" json:"deadline" validate:"required,min=1s"`
	// Retention is how long results stay readable after the end of the job.
	Retention time.Duration `yaml:"retention" json:"retention" validate:"required,min=1s"`
	// NotRepeatable marks all items of the job: each runs at most once.
	NotRepeatable bool `yaml:"notRepeatable,omitempty" json:"notRepeatable,omitempty"`
	// Input is the path of a JSONL file below the operator's folder; empty for a template.
	Input string `yaml:"input,omitempty" json:"input,omitempty" validate:"omitempty,inner_path"`
}

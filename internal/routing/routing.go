package routing

import (
	"github.com/sloelift/sloelift/internal/engine"
)

// Request is what routing looks at.
type Request struct {
	ID      string
	Service string
	Model   string
	Adapter string
	// PrefixBlocks are engine.PrefixBlocks of the prompt.
	PrefixBlocks []uint64
	// PromptBytes and MaxTokens estimate the work.
	PromptBytes int
	MaxTokens   int
	Batch       bool
	// Exclude holds replicas that already failed this request.
	Exclude map[string]bool
}

// Decision is the replica chosen.
type Decision struct {
	Endpoint engine.Endpoint
	Zone     string
	// ExpectedBlocks is the number of prefix blocks expected in the replica's cache.
	ExpectedBlocks int
}

// Router picks replicas. It is safe for concurrent use.
type Router interface {
	// Pick chooses a replica and counts the request as running there until done is
	// called, once. Its error is an *outcome.Error with outcome.NotRun.
	Pick(request Request) (decision Decision, done func(), err error)
}

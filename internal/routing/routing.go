package routing

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/sloelift/sloelift/internal/engine"
)

// Request holds the properties of a request that routing depends on.
type Request struct {
	ID      string
	Service string
	Model   string
	Adapter string
	// PrefixBlocks holds the block hashes of the prompt, from engine.PrefixBlocks.
	PrefixBlocks []uint64
	// PromptBytes and MaxTokens are an estimate of the work.
	PromptBytes int
	MaxTokens   int
	Batch       bool
	// Exclude holds replicas that already failed this request.
	Exclude map[string]bool
}

// affinityBlocks is the number of leading blocks that identify a prompt prefix.
const affinityBlocks = 8

// PrefixID identifies the prefix of the prompt; requests with the same one should go to the same
// replicas. It is 0 for a prompt shorter than one block.
func (r *Request) PrefixID() uint64 {
	if len(r.PrefixBlocks) == 0 {
		return 0
	}
	return r.PrefixBlocks[min(affinityBlocks, len(r.PrefixBlocks))-1]
}

// Affinity returns the rendezvous weight of a replica for a prompt prefix, the same on all nodes;
// higher is preferred.
func Affinity(prefix uint64, replica string) uint64 {
	return xxhash.Sum64String(replica + string(binary.LittleEndian.AppendUint64(nil, prefix)))
}

// Decision is the chosen replica.
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

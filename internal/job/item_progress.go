package job

import (
	jobpb "github.com/sloelift/sloelift/api/proto/job"
	"github.com/sloelift/sloelift/internal/engine"
)

// itemProgress is what is known of an item between its runs.
type itemProgress struct {
	// offset tokens of the answer are in text.
	offset int
	text   []byte
	// failures in a row set the wait before the next try; lost counts those of them
	// whose run may have begun.
	failures int
	lost     int
	// exclude holds replicas that failed the item.
	exclude map[string]bool
	// attach is the recorded call of an item that is not repeatable.
	attach *jobpb.ItemAttempt
}

// take adds a chunk; one that was taken before is passed over.
func (p *itemProgress) take(chunk engine.Chunk) error {
	if chunk.Tokens == 0 && chunk.Text == "" {
		return nil
	}
	switch {
	case chunk.Offset == p.offset:
		p.offset += chunk.Tokens
		p.text = append(p.text, chunk.Text...)
		p.lost, p.failures = 0, 0
		return nil
	case chunk.Offset+chunk.Tokens <= p.offset:
		return nil
	default:
		return engine.KindLost.New("chunk at %d does not follow %d", chunk.Offset, p.offset)
	}
}

// errFinished ends consume with the whole answer.
type errFinished struct {
	reason string
	usage  *engine.Usage
}

func (e *errFinished) Error() string { return "finished: " + e.reason }

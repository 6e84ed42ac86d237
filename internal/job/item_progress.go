package job

import (
	jobpb "github.com/sloelift/sloelift/api/proto/job"
	"github.com/sloelift/sloelift/internal/engine"
)

// itemProgress is the state of an item that carries over from one run to the next.
type itemProgress struct {
	// offset is the number of answer tokens in text.
	offset int
	text   []byte
	// failures counts the consecutive failed attempts and determines the backoff. lostRuns
	// counts those whose run may have started. Both are reset by a new token.
	failures int
	lostRuns int
	// excluded holds the replica that failed the item last; nil if none is excluded.
	excluded map[string]bool
	// recordedAttempt is the recorded engine call of an item that is not repeatable.
	recordedAttempt *jobpb.ItemAttempt
}

// addChunk appends a chunk of the answer. It ignores a chunk received before, and returns
// an error if tokens are missing in front of it.
func (p *itemProgress) addChunk(chunk engine.Chunk) error {
	if chunk.Tokens == 0 && chunk.Text == "" {
		return nil
	}
	switch {
	case chunk.Offset == p.offset:
		p.offset += chunk.Tokens
		p.text = append(p.text, chunk.Text...)
		p.lostRuns, p.failures = 0, 0
		return nil
	case chunk.Offset+chunk.Tokens <= p.offset:
		return nil
	default:
		return engine.KindLost.New("chunk at %d does not follow %d", chunk.Offset, p.offset)
	}
}

// finishedError is returned by consume at the end of an answer, with the finish reason.
type finishedError struct {
	reason string
	usage  *engine.Usage
}

func (e *finishedError) Error() string { return "finished: " + e.reason }

package roster

import (
	"context"
	"errors"
	"time"

	rosterpb "github.com/sloelift/sloelift/api/proto/roster"
	"github.com/sloelift/sloelift/internal/pause"
	"github.com/sloelift/sloelift/internal/transport"
)

const (
	// seedHold is how long seeds hold the question at a start whether the list is long: seeds with
	// a data folder that start together with this node have read the first entries by then.
	// seedTimeout bounds the wait for their answers, seedsTimeout the wait for a seed that knows.
	seedHold     = 250 * time.Millisecond
	seedTimeout  = 300 * time.Millisecond
	seedsTimeout = 2 * time.Second
	// seedsBackoff is the delay between two rounds, for seeds that refuse at once.
	seedsBackoff = 50 * time.Millisecond
)

// LongBySeeds asks the seeds whether the list is too long for each node to keep all of it; false if
// no seed says so within seedsTimeout. When many nodes of a large fleet start at once, it saves the
// key-value service a read of the first entries for each of them. Seeds that are starting as well
// are asked again until then.
func (f *Follower) LongBySeeds(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, seedsTimeout)
	defer cancel()
	for ctx.Err() == nil {
		response, starting := f.askSeeds(ctx)
		if response != nil {
			return !response.GetShort()
		}
		if !starting || !pause.Sleep(ctx, seedsBackoff) {
			break
		}
	}
	return false
}

// askSeeds asks all seeds at once and returns the first answer. starting reports whether a seed
// responded with an error because it does not know the list yet.
func (f *Follower) askSeeds(ctx context.Context) (response *rosterpb.FollowResponse, starting bool) {
	type answer struct {
		response *rosterpb.FollowResponse
		err      error
	}
	ctx, cancel := context.WithTimeout(ctx, seedTimeout)
	defer cancel()
	answers := make(chan answer, len(f.options.Seeds))
	for _, seed := range f.options.Seeds {
		go func() {
			response, err := f.ask(ctx, seed, seedHold)
			answers <- answer{response, err}
		}()
	}
	for range f.options.Seeds {
		result := <-answers
		if result.err == nil {
			return result.response, false
		}
		var refused *transport.RemoteError
		starting = starting || errors.As(result.err, &refused)
	}
	return nil, starting
}

// LongByRelay asks one relay, a different one for each attempt, whether the list is too long for
// each node to keep all of it.
func (f *Follower) LongByRelay(ctx context.Context, attempt int) bool {
	targets := f.targets()
	if len(targets) == 0 {
		return false
	}
	response, err := f.ask(ctx, targets[attempt%len(targets)], 0)
	return err == nil && !response.GetShort()
}

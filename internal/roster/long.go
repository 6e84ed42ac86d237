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
	// seedHold is how long nodes of the settings are asked at a start whether the list is long: those with a data folder, which start with this
	// node, have read the first entries by then. seedTimeout bounds the wait for their answers, seedPatience that for one that knows.
	seedHold     = 250 * time.Millisecond
	seedTimeout  = 300 * time.Millisecond
	seedPatience = 2 * time.Second
	// seedPause is the wait between two rounds, for seeds that refuse at once.
	seedPause = 50 * time.Millisecond
)

// LongBySeeds asks the seeds whether the list is too long for each node to keep all; false where none says so in time. It spares the key-value
// service the first entries for each node of a large fleet that starts at once. Seeds that start as well are asked again for a while.
func (f *Follower) LongBySeeds(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, seedPatience)
	defer cancel()
	for ctx.Err() == nil {
		response, starting := f.askSeeds(ctx)
		if response != nil {
			return !response.GetShort()
		}
		if !starting || !pause.Sleep(ctx, seedPause) {
			break
		}
	}
	return false
}

// askSeeds asks all seeds at once and returns the first answer; starting says that one answers and does not know yet.
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
		each := <-answers
		if each.err == nil {
			return each.response, false
		}
		var refused *transport.RemoteError
		starting = starting || errors.As(each.err, &refused)
	}
	return nil, starting
}

// LongByRelay asks one relay, another one with each attempt, whether the list is too long for each node to keep all.
func (f *Follower) LongByRelay(ctx context.Context, attempt int) bool {
	targets := f.targets()
	if len(targets) == 0 {
		return false
	}
	response, err := f.ask(ctx, targets[attempt%len(targets)], 0)
	return err == nil && !response.GetShort()
}

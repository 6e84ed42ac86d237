package origin

import (
	"context"
	"errors"
	"time"

	originpb "github.com/sloelift/sloelift/api/proto/origin"
	"github.com/sloelift/sloelift/internal/clock"
	"github.com/sloelift/sloelift/internal/membership"
	"github.com/sloelift/sloelift/internal/pause"
	"github.com/sloelift/sloelift/internal/replica"
	"github.com/sloelift/sloelift/internal/transport"
)

var (
	// ErrUnknown means that no node knows the stream's origin, or that two were recorded.
	ErrUnknown = errors.New("origin of the stream is not known")
	// ErrUnanswered means that nodes which may know the stream's origin have not answered.
	ErrUnanswered = errors.New("nodes that may know the origin of the stream have not answered")
)

const (
	// askedTogether is the number of nodes that are asked for a record at the same time: those that should keep it, and one more since the
	// recording node may have seen other members.
	askedTogether = copies + 1
	// maxAsked bounds the nodes that are asked for a record.
	maxAsked = 2 * askedTogether
	// findTimeout bounds the answer of a node that is asked for a record.
	findTimeout = 200 * time.Millisecond
	// findRetryDelay is the wait before nodes that have not answered are asked again.
	findRetryDelay = 30 * time.Millisecond
)

// knowledge is what an asked node says of a record.
type knowledge int

const (
	// silent: the node has not answered, and may know the record.
	silent knowledge = iota
	// ignorant: the node does not have the record. That is no statement about the stream.
	ignorant
	// knowing: the node has the record.
	knowing
)

// Find implements forward.Origins. While nodes that may know the origin do not answer, it asks them again until ctx ends.
func (s *Service) Find(ctx context.Context, requestID string) (replica.Origin, error) {
	for {
		found, err := s.findOnce(ctx, requestID)
		if !errors.Is(err, ErrUnanswered) || !pause.Sleep(ctx, findRetryDelay) {
			s.metrics.countFind(err)
			return found, err
		}
	}
}

// findOnce asks this node, then the nodes that should keep the record, then as many others.
func (s *Service) findOnce(ctx context.Context, requestID string) (replica.Origin, error) {
	s.mutex.Lock()
	known, exists := s.book.find(requestID, clock.Now())
	s.mutex.Unlock()
	if exists {
		return known.result()
	}
	candidates := s.placement(requestID, maxAsked)
	result := ErrUnknown
	if len(candidates) == 0 {
		// A node that has just started knows no other yet.
		result = ErrUnanswered
	}
	for asked := 0; asked < len(candidates); asked += askedTogether {
		known, said := s.askTogether(ctx, candidates[asked:min(asked+askedTogether, len(candidates))], requestID)
		if said == knowing {
			return known.result()
		}
		if said == silent {
			result = ErrUnanswered
		}
	}
	return replica.Origin{}, result
}

// result returns what a record tells about its stream.
func (r record) result() (replica.Origin, error) {
	if r.disputed {
		return replica.Origin{}, ErrUnknown
	}
	return r.origin, nil
}

// askTogether asks nodes for a record at the same time. It returns the first record received; without one, silent if a node has not
// answered.
func (s *Service) askTogether(ctx context.Context, members []membership.Member, requestID string) (record, knowledge) {
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	type answer struct {
		known record
		said  knowledge
	}
	answers := make(chan answer, len(members))
	for _, member := range members {
		go func() {
			known, said := s.ask(ctx, member, requestID)
			answers <- answer{known, said}
		}()
	}
	said := ignorant
	for range members {
		received := <-answers
		if received.said == knowing {
			return received.known, knowing
		}
		said = min(said, received.said)
	}
	return record{}, said
}

// ask asks one node for a record.
func (s *Service) ask(ctx context.Context, member membership.Member, requestID string) (record, knowledge) {
	var response originpb.FindResponse
	err := s.caller.Call(ctx, member.PeerAddress, methodFind, &originpb.FindRequest{Request: requestID}, &response)
	var declined *transport.RemoteError
	switch {
	case errors.As(err, &declined):
		// A node of an older build keeps no records.
		return record{}, ignorant
	case err != nil || !response.GetAnswered():
		return record{}, silent
	case response.GetRecord() == nil:
		return record{}, ignorant
	}
	message := response.GetRecord()
	return record{origin: decodeOrigin(message), disputed: message.GetDisputed()}, knowing
}

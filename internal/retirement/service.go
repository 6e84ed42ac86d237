package retirement

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/sloelift/sloelift/internal/logging"
	"github.com/sloelift/sloelift/internal/membership"
	"github.com/sloelift/sloelift/internal/pause"
	"github.com/sloelift/sloelift/internal/platform"
)

const (
	// checkInterval is the wait between two looks whether a node is empty, callTimeout bounds one call.
	checkInterval = 300 * time.Millisecond
	callTimeout   = 2 * time.Second
)

// State is how far a retirement is.
type State int

// States of a retirement.
const (
	Running State = iota
	Done
)

// Translator reads the operators' requests and writes the state of one.
type Translator interface {
	// RetiringNode returns the node that key asks to empty; found is false for a key of anything else.
	RetiringNode(key string) (node string, found bool)
	// RetirementStatus returns the key and the value that tell the state of a node's retirement.
	RetirementStatus(node string, state State) (key string, value []byte)
}

// Emptier empties nodes. *ledger.Manager is one.
type Emptier interface {
	SetRetiring(nodes map[membership.NodeID]bool)
	Emptied(ctx context.Context, node membership.NodeID) (bool, error)
}

// Service takes in the operators' requests as a discovery.OperatorFollower.
type Service struct {
	store      platform.KeyValue
	translator Translator
	emptier    Emptier
	viewer     membership.Viewer
	logger     zerolog.Logger

	// requested holds what the operators ask for; it belongs to the goroutine that calls Replace and Update. pending holds the
	// retirements that are being watched, guarded by mutex, as stopped is, after which none is begun.
	requested map[membership.NodeID]bool
	mutex     sync.Mutex
	pending   map[membership.NodeID]bool
	stopped   bool

	ctx     context.Context
	cancel  context.CancelFunc
	running sync.WaitGroup
}

// New returns a Service; it acts on what it is given.
func New(store platform.KeyValue, translator Translator, emptier Emptier, viewer membership.Viewer, logger zerolog.Logger) *Service {
	service := &Service{
		store: store, translator: translator, emptier: emptier, viewer: viewer,
		logger:    logger.With().Str(logging.FieldSlice, "retirement").Logger(),
		requested: map[membership.NodeID]bool{}, pending: map[membership.NodeID]bool{},
	}
	service.ctx, service.cancel = context.WithCancel(context.Background())
	return service
}

// Stop ends what was begun; what comes later begins nothing.
func (s *Service) Stop() {
	s.mutex.Lock()
	s.stopped = true
	s.mutex.Unlock()
	s.cancel()
	s.running.Wait()
}

// Replace takes in all that operators have written.
func (s *Service) Replace(listing platform.Listing) {
	s.requested = map[membership.NodeID]bool{}
	for _, entry := range listing.Entries {
		s.noteRequest(entry.Key)
	}
	s.apply()
}

// Update takes in what operators have changed.
func (s *Service) Update(_ int64, changed []platform.Entry, deleted []string) {
	concerned := false
	for _, entry := range changed {
		concerned = s.noteRequest(entry.Key) || concerned
	}
	for _, key := range deleted {
		if node, found := s.translator.RetiringNode(key); found {
			delete(s.requested, membership.NodeID(node))
			concerned = true
		}
	}
	if concerned {
		s.apply()
	}
}

// noteRequest notes the request under key, if it is one for a node to be emptied.
func (s *Service) noteRequest(key string) bool {
	node, found := s.translator.RetiringNode(key)
	if found {
		s.requested[membership.NodeID(node)] = true
	}
	return found
}

// apply puts what is requested in force.
func (s *Service) apply() {
	nodes := make(map[membership.NodeID]bool, len(s.requested))
	for node := range s.requested {
		nodes[node] = true
	}
	s.emptier.SetRetiring(nodes)
	for node := range nodes {
		s.watch(node)
	}
}

// watch writes the state of a node's retirement until it is done, unless that is under way.
func (s *Service) watch(node membership.NodeID) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.pending[node] || s.stopped {
		return
	}
	s.pending[node] = true
	s.running.Go(func() {
		s.logger.Info().Str("retiring", string(node)).Msg("retirement_begun")
		for written := State(-1); written != Done; {
			written = s.writeState(node, written)
			if written != Done && !pause.Sleep(s.ctx, checkInterval) {
				return
			}
		}
	})
}

// writeState writes the node's state where it has changed and this node is the one to write it; it returns the state written last.
func (s *Service) writeState(node membership.NodeID, written State) State {
	if !s.reports() {
		return written
	}
	ctx, cancel := context.WithTimeout(s.ctx, callTimeout)
	defer cancel()
	state := Running
	emptied, err := s.emptier.Emptied(ctx, node)
	if err != nil {
		return written
	}
	if emptied {
		state = Done
	}
	if state == written {
		return written
	}
	key, value := s.translator.RetirementStatus(string(node), state)
	_, err = s.store.Commit(ctx, platform.Transaction{Changes: []platform.Change{{Key: key, Value: value}}})
	s.logger.Info().Str("retiring", string(node)).Int("state", int(state)).Err(err).Msg("retirement_told")
	if err != nil {
		return written
	}
	return state
}

// reports says whether this node is the first live one with a store, which writes the states. A late change of the first node
// makes two write the same, which does no harm.
func (s *Service) reports() bool {
	view := s.viewer.View()
	for _, member := range view.Members {
		if member.Store && member.State == membership.Alive {
			return member.ID == view.Self
		}
	}
	return false
}

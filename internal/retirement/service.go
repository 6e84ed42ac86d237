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
	// checkInterval is how often it is looked whether a node is empty, callTimeout bounds one call.
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
	// RetirementPrefix is the prefix of the requests' keys; RetiringNode returns the node that a key names.
	RetirementPrefix() string
	RetiringNode(key string) string
	// RetirementStatus returns the key and the value that tell the state of a node's retirement.
	RetirementStatus(node string, state State) (key string, value []byte)
}

// Emptier empties nodes. *ledger.Manager is one.
type Emptier interface {
	SetRetiring(nodes map[membership.NodeID]bool)
	Emptied(ctx context.Context, node membership.NodeID) (bool, error)
}

// Service follows the operators' requests.
type Service struct {
	store      platform.KeyValue
	translator Translator
	emptier    Emptier
	viewer     membership.Viewer
	logger     zerolog.Logger

	// requested holds what the operators ask for; it belongs to the goroutine that follows. pending holds the
	// retirements that are being watched, guarded by mutex.
	requested map[membership.NodeID]bool
	mutex     sync.Mutex
	pending   map[membership.NodeID]bool

	ctx     context.Context
	cancel  context.CancelFunc
	running sync.WaitGroup
}

// New returns a Service; nothing runs before Start.
func New(store platform.KeyValue, translator Translator, emptier Emptier, viewer membership.Viewer, logger zerolog.Logger) *Service {
	service := &Service{
		store: store, translator: translator, emptier: emptier, viewer: viewer,
		logger:    logger.With().Str(logging.FieldSlice, "retirement").Logger(),
		requested: map[membership.NodeID]bool{}, pending: map[membership.NodeID]bool{},
	}
	service.ctx, service.cancel = context.WithCancel(context.Background())
	return service
}

// Start begins to follow. It does not wait.
func (s *Service) Start() {
	s.running.Go(func() {
		platform.Follow(s.ctx, s.store, s.translator.RetirementPrefix(), platform.Follower{
			Replace: func(listing platform.Listing) {
				s.requested = map[membership.NodeID]bool{}
				s.take(listing.Entries, nil)
			},
			Update: func(_ int64, changed []platform.Entry, deleted []string) { s.take(changed, deleted) },
			Failed: func(err error) { s.logger.Warn().Err(err).Msg("retirements_not_followed") },
		})
	})
}

// Stop ends the following.
func (s *Service) Stop() {
	s.cancel()
	s.running.Wait()
}

func (s *Service) take(changed []platform.Entry, deleted []string) {
	for _, entry := range changed {
		s.requested[membership.NodeID(s.translator.RetiringNode(entry.Key))] = true
	}
	for _, key := range deleted {
		delete(s.requested, membership.NodeID(s.translator.RetiringNode(key)))
	}
	nodes := make(map[membership.NodeID]bool, len(s.requested))
	for node := range s.requested {
		nodes[node] = true
	}
	s.emptier.SetRetiring(nodes)
	for node := range nodes {
		s.watch(node)
	}
}

// watch tells the state of a node's retirement until it is done, unless that is under way.
func (s *Service) watch(node membership.NodeID) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.pending[node] {
		return
	}
	s.pending[node] = true
	s.running.Go(func() {
		s.logger.Info().Str("retiring", string(node)).Msg("retirement_begun")
		for told := State(-1); told != Done; {
			told = s.tell(node, told)
			if told != Done && !pause.Sleep(s.ctx, checkInterval) {
				return
			}
		}
	})
}

// tell writes the node's state where it has changed and this node is the one to write it; it returns the state told last.
func (s *Service) tell(node membership.NodeID, told State) State {
	if !s.reports() {
		return told
	}
	ctx, cancel := context.WithTimeout(s.ctx, callTimeout)
	defer cancel()
	state := Running
	emptied, err := s.emptier.Emptied(ctx, node)
	if err != nil {
		return told
	}
	if emptied {
		state = Done
	}
	if state == told {
		return told
	}
	key, value := s.translator.RetirementStatus(string(node), state)
	_, err = s.store.Commit(ctx, platform.Transaction{Changes: []platform.Change{{Key: key, Value: value}}})
	s.logger.Info().Str("retiring", string(node)).Int("state", int(state)).Err(err).Msg("retirement_told")
	if err != nil {
		return told
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

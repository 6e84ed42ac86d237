package retirement

import (
	"context"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/sloelift/sloelift/internal/logging"
	"github.com/sloelift/sloelift/internal/membership"
	"github.com/sloelift/sloelift/internal/pause"
	"github.com/sloelift/sloelift/internal/platform"
)

const (
	// checkInterval is the time between two checks whether a node is drained.
	checkInterval = 300 * time.Millisecond
	// callTimeout bounds one check and the write of its result.
	callTimeout = 2 * time.Second
)

// State is the progress of a retirement.
type State int

// States of a retirement.
const (
	Running State = iota
	Done
)

// Translator interprets the operators' requests and encodes the state of a retirement.
type Translator interface {
	// RetiringNode returns the node that key asks to retire; found is false for any other key.
	RetiringNode(key string) (node string, found bool)
	// RetirementStatus returns the key and value under which the state of a node's retirement is stored.
	RetirementStatus(node string, state State) (key string, value []byte)
}

// Emptier drains nodes. *ledger.Manager implements it.
type Emptier interface {
	// SetRetiring replaces the set of nodes to drain.
	SetRetiring(nodes map[membership.NodeID]bool)
	// IsDrained reports whether node has been drained, and otherwise why not; an error means that this could not be determined.
	IsDrained(ctx context.Context, node membership.NodeID) (drained bool, obstacle string, err error)
}

// Service carries out the operators' retirement requests, which it receives as a discovery.OperatorFollower.
type Service struct {
	store      platform.KeyValue
	translator Translator
	emptier    Emptier
	viewer     membership.Viewer
	logger     zerolog.Logger
	// waiting counts the nodes that are not drained, by obstacle.
	waiting *prometheus.GaugeVec

	// requested are the nodes that operators have asked to retire. Only the goroutine that calls Replace and Update uses it.
	requested map[membership.NodeID]bool

	// mutex guards watched and stopped.
	mutex sync.Mutex
	// watched are the nodes whose retirement is or was watched.
	watched map[membership.NodeID]bool
	// stopped is set by Stop; no watch starts after that.
	stopped bool

	ctx        context.Context
	cancel     context.CancelFunc
	background sync.WaitGroup
}

// New returns a Service. It acts only when Replace or Update is called.
func New(
	store platform.KeyValue, translator Translator, emptier Emptier, viewer membership.Viewer, registerer prometheus.Registerer, logger zerolog.Logger,
) *Service {
	service := &Service{
		store: store, translator: translator, emptier: emptier, viewer: viewer,
		logger:    logger.With().Str(logging.FieldSlice, "retirement").Logger(),
		requested: map[membership.NodeID]bool{}, watched: map[membership.NodeID]bool{},
		waiting: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "sloelift_retirements_waiting",
			Help: "Nodes to be retired that are not drained, by the reason, at the node that writes the states.",
		}, []string{"reason"}),
	}
	registerer.MustRegister(service.waiting)
	service.ctx, service.cancel = context.WithCancel(context.Background())
	return service
}

// Stop ends all watches and waits for them. Later calls of Replace and Update start none.
func (s *Service) Stop() {
	s.mutex.Lock()
	s.stopped = true
	s.mutex.Unlock()
	s.cancel()
	s.background.Wait()
}

// Replace replaces the requests by those in a complete listing of the operators' prefix.
func (s *Service) Replace(listing platform.Listing) {
	s.requested = map[membership.NodeID]bool{}
	for _, entry := range listing.Entries {
		s.addRequest(entry.Key)
	}
	s.apply()
}

// Update applies changes below the operators' prefix.
func (s *Service) Update(_ int64, changed []platform.Entry, deleted []string) {
	requestsChanged := false
	for _, entry := range changed {
		requestsChanged = s.addRequest(entry.Key) || requestsChanged
	}
	for _, key := range deleted {
		if node, found := s.translator.RetiringNode(key); found {
			delete(s.requested, membership.NodeID(node))
			requestsChanged = true
		}
	}
	if requestsChanged {
		s.apply()
	}
}

// addRequest adds the request under key, and reports whether key is a retirement request.
func (s *Service) addRequest(key string) bool {
	node, found := s.translator.RetiringNode(key)
	if found {
		s.requested[membership.NodeID(node)] = true
	}
	return found
}

// apply puts the requests in force and watches each retirement.
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

// watch starts writing the state of a node's retirement until it is done, unless it has been started before.
func (s *Service) watch(node membership.NodeID) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.watched[node] || s.stopped {
		return
	}
	s.watched[node] = true
	s.background.Go(func() {
		s.logger.Info().Str("retiring", string(node)).Msg("retirement_begun")
		watched := &watch{node: node, written: State(-1)}
		for watched.written != Done {
			s.writeState(watched)
			if watched.written != Done && !pause.Sleep(s.ctx, checkInterval) {
				return
			}
		}
	})
}

// watch is the retirement of one node as this process follows it. It belongs to one goroutine.
type watch struct {
	node membership.NodeID
	// written is the state written last; negative if none was. obstacle is what kept the node from being drained at the latest check.
	written  State
	obstacle string
}

// writeState writes the state of a node's retirement if it differs from the one written last and this process is the one that writes states.
// Errors are retried at the next check.
func (s *Service) writeState(watched *watch) {
	if !s.writesStates() {
		s.setObstacle(watched, "")
		return
	}
	ctx, cancel := context.WithTimeout(s.ctx, callTimeout)
	defer cancel()
	drained, obstacle, err := s.emptier.IsDrained(ctx, watched.node)
	if err != nil {
		return
	}
	s.setObstacle(watched, obstacle)
	state := Running
	if drained {
		state = Done
	}
	if state == watched.written {
		return
	}
	key, value := s.translator.RetirementStatus(string(watched.node), state)
	_, err = s.store.Commit(ctx, platform.Transaction{Changes: []platform.Change{{Key: key, Value: value}}})
	s.logger.Info().Str("retiring", string(watched.node)).Int("state", int(state)).Err(err).Msg("retirement_told")
	if err == nil {
		watched.written = state
	}
}

// setObstacle notes, and logs, what keeps a node from being drained.
func (s *Service) setObstacle(watched *watch, obstacle string) {
	if obstacle == watched.obstacle {
		return
	}
	if watched.obstacle != "" {
		s.waiting.WithLabelValues(watched.obstacle).Dec()
	}
	watched.obstacle = obstacle
	if obstacle == "" {
		return
	}
	s.waiting.WithLabelValues(obstacle).Inc()
	s.logger.Info().Str("retiring", string(watched.node)).Str(logging.FieldReason, obstacle).Msg("retirement_waits")
}

// writesStates reports whether this node is the first live storage node, which writes the states. While membership views differ, two nodes
// may write the same state, which is harmless.
func (s *Service) writesStates() bool {
	view := s.viewer.View()
	for _, member := range view.Members {
		if member.Store && member.State == membership.Alive {
			return member.ID == view.Self
		}
	}
	return false
}

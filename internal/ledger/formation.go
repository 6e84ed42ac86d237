package ledger

import (
	"context"
	"slices"
	"time"

	ledgerpb "github.com/sloelift/sloelift/api/proto/ledger"
	"github.com/sloelift/sloelift/internal/clock"
	"github.com/sloelift/sloelift/internal/ledger/protocol"
	"github.com/sloelift/sloelift/internal/ledger/wire"
	"github.com/sloelift/sloelift/internal/membership"
)

const (
	// directoryTimeout bounds one round of loading the directory.
	directoryTimeout = 10 * time.Second
	// loadInterval is the wait between rounds.
	loadInterval = time.Second
	// peersOnlyPeriod is how long after its start a node that owns no partitions asks only its peers for the directory,
	// while other nodes form it.
	peersOnlyPeriod = 4 * time.Second
	// maxAskedPeers bounds the peers asked for ensembles in one round.
	maxAskedPeers = 3
)

// loadDirectory reads the head and ensembles from the key-value service, or from other nodes while it
// is down, and creates what is missing once there are stores. It runs on the control goroutine.
func (m *Manager) loadDirectory(now time.Time) {
	if m.loading || now.Before(m.nextLoad) {
		return
	}
	m.loading, m.stale = true, false
	mayForm := m.mayForm(now)
	var err error
	m.start(
		func() {
			ctx, cancel := context.WithTimeout(m.ctx, directoryTimeout)
			defer cancel()
			if err = m.loadOrForm(ctx, mayForm); err != nil && m.ctx.Err() == nil {
				m.logger.Warn().Err(err).Msg("ledger_directory_unavailable")
				m.askPeers(ctx)
			}
			m.dropReplaced(ctx)
		},
		func() {
			m.loading = false
			m.stale = m.stale || err != nil
			m.nextLoad = clock.Now().Add(loadInterval)
			if err != nil {
				m.nextLoad = clock.Now().Add(m.timing.ChangeRetry)
			}
			m.reportSettings()
			m.check(clock.Now())
		})
}

// reportSettings logs a warning, once, if the number of partitions in this node's settings differs from the ledger's;
// the ledger's number applies. It runs on the control goroutine.
func (m *Manager) reportSettings() {
	fixed, known := m.directory.fixed()
	if !known || m.settingsReported {
		return
	}
	m.settingsReported = true
	if fixed.partitions != m.settings.Partitions {
		m.logger.Warn().Int("partitions", fixed.partitions).Int("setting", m.settings.Partitions).Msg("ledger_setting_differs")
	}
}

// mayForm reports whether this node should create missing parts of the directory: when there are enough stores, or
// Timing.Formation has passed. Nodes other than the first live one wait for Timing.Formation longer, so that not all
// of them try at once.
func (m *Manager) mayForm(now time.Time) bool {
	view := m.viewer.View()
	stores := len(storesOf(view))
	if stores == 0 {
		return false
	}
	waited := now.Sub(m.started)
	if live := view.Live(); len(live) == 0 || live[0].ID != m.self {
		waited -= m.timing.Formation
	}
	return waited >= m.timing.Formation || (stores >= m.settings.Replicas && waited >= 0)
}

// dropReplaced drops partitions from the local store that moved to other stores while it was away.
func (m *Manager) dropReplaced(ctx context.Context) {
	if m.local == nil {
		return
	}
	dropped, err := m.local.Drop(ctx, m.directory.all())
	if dropped > 0 || (err != nil && ctx.Err() == nil) {
		m.logger.Info().Int("partitions", dropped).Err(err).Msg("replaced_partitions_dropped")
	}
}

func (m *Manager) loadOrForm(ctx context.Context, mayForm bool) error {
	if m.neverOwns() {
		// This node owns no partitions, and the nodes with a store know all that it needs: avoid a call to the key-value
		// service.
		if m.askPeers(ctx); m.directory.complete() || clock.Since(m.started) < peersOnlyPeriod {
			return nil
		}
	}
	if err := m.directory.load(ctx); err != nil || m.directory.complete() || !mayForm {
		return err
	}
	fixed, known := m.directory.fixed()
	if !known {
		wanted := head{partitions: m.settings.Partitions, replicas: m.settings.Replicas, writeQuorum: m.settings.WriteQuorum}
		if err := m.directory.createHead(ctx, wanted); err != nil {
			return err
		}
		fixed, _ = m.directory.fixed()
	}
	stores := storesOf(m.viewer.View())
	var missing []protocol.Ensemble
	for partition := range PartitionID(fixed.partitions) {
		if _, known := m.directory.ensemble(partition); !known {
			chosen := chooseStores(stores, partition, fixed.replicas, nil)
			missing = append(missing, newEnsemble(partition, chosen, fixed.writeQuorum))
		}
	}
	return m.directory.createEnsembles(ctx, missing)
}

// compareStores is a comparison function that orders nodes with a store before the others.
func compareStores(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	default:
		return 1
	}
}

// askPeers learns the directory from other nodes, those with a store first.
func (m *Manager) askPeers(ctx context.Context) {
	peers := m.viewer.View().Live()
	slices.SortStableFunc(peers, func(a, b membership.Member) int { return compareStores(a.Store, b.Store) })
	asked := 0
	for _, member := range peers {
		if member.ID == m.self || asked == maxAskedPeers {
			continue
		}
		asked++
		m.askPeer(ctx, member)
		if m.directory.complete() {
			return
		}
	}
}

// askPeer learns the head and the ensembles that a member knows. A member that does not answer is skipped: others are
// asked, and all of them again in the next round.
func (m *Manager) askPeer(ctx context.Context, member membership.Member) {
	ctx, cancel := context.WithTimeout(ctx, m.timing.Request)
	defer cancel()
	var response ledgerpb.EnsemblesResponse
	if err := m.caller.Call(ctx, member.PeerAddress, methodEnsembles, &ledgerpb.EnsemblesRequest{}, &response); err != nil {
		return
	}
	m.directory.learnHead(response.Head)
	for _, ensemble := range response.Ensembles {
		m.directory.learn(wire.ToEnsemble(ensemble))
	}
}

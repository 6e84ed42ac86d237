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
	// peersFirst is for how long after its start a node that owns nothing leaves the directory to those that form it.
	peersFirst = 4 * time.Second
	// askedPeers bounds the peers asked for ensembles in one round.
	askedPeers = 3
)

// loadDirectory reads head and ensembles from the key-value service, or from other nodes while it
// is down, and forms what is missing once there are stores. It runs on the control goroutine.
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
			m.dropForeign(ctx)
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

// reportSettings warns, once, of a number of partitions in this node's settings that is not the ledger's, which
// holds. It runs on the control goroutine.
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

// mayForm says whether this node should create what is missing: once there are stores enough, or the wait for more
// is over. The first live node goes first, the others after one more wait, so that they don't all try.
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

// dropForeign has the local store forget partitions that were given to others while it was away.
func (m *Manager) dropForeign(ctx context.Context) {
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
		// This node owns nothing, and those with a store know all that it needs: the key-value service is spared the call.
		if m.askPeers(ctx); m.directory.complete() || clock.Since(m.started) < peersFirst {
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

// compareStores orders nodes with a store before the others.
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

// askPeers copies what other nodes know, those with a store first.
func (m *Manager) askPeers(ctx context.Context) {
	peers := m.viewer.View().Live()
	slices.SortStableFunc(peers, func(a, b membership.Member) int { return compareStores(a.Store, b.Store) })
	asked := 0
	for _, member := range peers {
		if member.ID == m.self || asked == askedPeers {
			continue
		}
		asked++
		m.askPeer(ctx, member)
		if m.directory.complete() {
			return
		}
	}
}

// askPeer takes in the ensembles that a member knows. One that does not answer is passed over: others are asked, and all again in the next
// round.
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

package ledger

import (
	"context"
	"time"

	"github.com/sloelift/sloelift/internal/clock"
	"github.com/sloelift/sloelift/internal/ledger/protocol"
	"github.com/sloelift/sloelift/internal/logging"
	"github.com/sloelift/sloelift/internal/membership"
	"github.com/sloelift/sloelift/internal/region"
)

// confinedFormationState is the control goroutine's state for the formation of confined partitions.
type confinedFormationState struct {
	running bool
	next    time.Time
	// since is the time at which a partition was first seen without a durable ensemble.
	since map[PartitionID]time.Time
	// reported holds the partitions for which regions_lack_stores was logged.
	reported map[PartitionID]bool
}

// formConfined forms the wanted confined partitions that this node should own, and asks the preferred owners of the
// others for the ensembles that they know, until all have a durable ensemble. Without wanted partitions it does
// nothing. It runs on the control goroutine.
func (m *Manager) formConfined(view *membership.View, now time.Time) {
	if m.confinedFormation.running || now.Before(m.confinedFormation.next) {
		return
	}
	var missing []protocol.Ensemble
	var asked []membership.Member
	for partition, regions := range m.wantedPartitions() {
		if m.durable(partition) {
			m.reportDurable(partition)
			continue
		}
		owner, found := m.preferredOwner(view, partition)
		switch {
		case !found:
			m.reportNotDurable(partition, regions, 0)
		case owner.ID != m.self:
			asked = append(asked, owner)
		default:
			missing = m.appendMissing(missing, view, partition, regions, now)
		}
	}
	if len(missing)+len(asked) == 0 {
		return
	}
	m.confinedFormation.running = true
	var err error
	m.start(
		func() {
			ctx, cancel := context.WithTimeout(m.ctx, directoryTimeout)
			defer cancel()
			for _, owner := range asked {
				m.askPeer(ctx, owner)
			}
			if len(missing) > 0 {
				err = m.directory.createEnsembles(ctx, missing)
			}
		},
		func() {
			m.confinedFormation.running = false
			m.confinedFormation.next = clock.Now().Add(loadInterval)
			if err != nil {
				m.logger.Warn().Err(err).Msg("confined_partitions_not_formed")
			}
			m.check(clock.Now())
		})
}

// appendMissing appends the first ensemble of a partition that has none, once its regions have enough stores or
// Timing.Formation has passed. An ensemble that exists and is too small is grown by maintain instead.
func (m *Manager) appendMissing(
	missing []protocol.Ensemble, view *membership.View, partition PartitionID, regions region.Set, now time.Time,
) []protocol.Ensemble {
	fixed, _ := m.directory.fixed()
	stores := m.storesFor(partition, view)
	since, noted := m.confinedFormation.since[partition]
	if !noted {
		since = now
		m.confinedFormation.since[partition] = now
	}
	if len(stores) < fixed.replicas && now.Sub(since) < m.timing.Formation {
		return missing
	}
	if ensemble, known := m.directory.ensemble(partition); known || len(stores) == 0 {
		m.reportNotDurable(partition, regions, len(ensemble.Members))
		return missing
	}
	first := newEnsemble(partition, chooseStores(stores, partition, fixed.replicas, nil), fixed.writeQuorum)
	first.Regions = regions.Names()
	return append(missing, first)
}

// reportNotDurable logs, once, that a partition survives fewer losses than required and accepts no new records.
func (m *Manager) reportNotDurable(partition PartitionID, regions region.Set, stores int) {
	if m.local == nil || m.confinedFormation.reported[partition] {
		return
	}
	m.confinedFormation.reported[partition] = true
	fixed, _ := m.directory.fixed()
	m.logger.Warn().Uint32(logging.FieldPartition, uint32(partition)).Stringer("regions", regions).Int("stores", stores).
		Int("wanted", fixed.replicas).Int("losses", fixed.writeQuorum-1).Int("zones", m.settings.SurvivesZones).Msg("regions_lack_stores")
}

// reportDurable logs that a partition reported by reportNotDurable is durable.
func (m *Manager) reportDurable(partition PartitionID) {
	if m.confinedFormation.reported[partition] {
		delete(m.confinedFormation.reported, partition)
		m.logger.Info().Uint32(logging.FieldPartition, uint32(partition)).Msg("regions_have_stores")
	}
}

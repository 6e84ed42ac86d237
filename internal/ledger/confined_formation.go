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

// confinedUpkeep is the control goroutine's state of the formation of confined partitions.
type confinedUpkeep struct {
	running bool
	next    time.Time
	// since is when a partition was first seen to lack something; reported are those whose lack stands in the log.
	since    map[PartitionID]time.Time
	reported map[PartitionID]bool
}

// keepConfined forms the wanted confined partitions that the node should own, and asks the nodes that should own the others for what they
// know, until all have a durable ensemble. Without wanted partitions it does nothing. It runs on the control goroutine.
func (m *Manager) keepConfined(view *membership.View, now time.Time) {
	if m.upkeep.running || now.Before(m.upkeep.next) {
		return
	}
	var missing []protocol.Ensemble
	var asked []membership.Member
	for partition, regions := range m.wanted() {
		if m.durable(partition) {
			m.reportDurable(partition)
			continue
		}
		owner, found := preferredOwner(view, partition, m.ownersOf(partition))
		switch {
		case !found:
			m.reportLack(partition, regions, 0)
		case owner.ID != m.self:
			asked = append(asked, owner)
		default:
			missing = m.appendMissing(missing, view, partition, regions, now)
		}
	}
	if len(missing)+len(asked) == 0 {
		return
	}
	m.upkeep.running = true
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
			m.upkeep.running = false
			m.upkeep.next = clock.Now().Add(loadInterval)
			if err != nil {
				m.logger.Warn().Err(err).Msg("confined_partitions_not_formed")
			}
			m.check(clock.Now())
		})
}

// appendMissing adds the first ensemble of a partition that has none, once there are stores enough in its regions or the wait for more is
// over. One that exists and is too small grows by the ledger's usual upkeep.
func (m *Manager) appendMissing(missing []protocol.Ensemble, view *membership.View, partition PartitionID, regions region.Set, now time.Time) []protocol.Ensemble {
	fixed, _ := m.directory.fixed()
	stores := m.storesFor(partition, view)
	since, noted := m.upkeep.since[partition]
	if !noted {
		since = now
		m.upkeep.since[partition] = now
	}
	if len(stores) < fixed.replicas && now.Sub(since) < m.timing.Formation {
		return missing
	}
	if ensemble, known := m.directory.ensemble(partition); known || len(stores) == 0 {
		m.reportLack(partition, regions, len(ensemble.Members))
		return missing
	}
	made := newEnsemble(partition, chooseStores(stores, partition, fixed.replicas, nil), fixed.writeQuorum)
	made.Regions = regions.Names()
	return append(missing, made)
}

// reportLack logs, once, that a partition survives fewer losses than the ledger is to survive: it takes no new records.
func (m *Manager) reportLack(partition PartitionID, regions region.Set, stores int) {
	if m.local == nil || m.upkeep.reported[partition] {
		return
	}
	m.upkeep.reported[partition] = true
	fixed, _ := m.directory.fixed()
	m.logger.Warn().Uint32(logging.FieldPartition, uint32(partition)).Stringer("regions", regions).Int("stores", stores).
		Int("wanted", fixed.replicas).Int("losses", fixed.writeQuorum-1).Int("zones", m.settings.SurvivesZones).Msg("regions_lack_stores")
}

// reportDurable logs the end of what reportLack logged.
func (m *Manager) reportDurable(partition PartitionID) {
	if m.upkeep.reported[partition] {
		delete(m.upkeep.reported, partition)
		m.logger.Info().Uint32(logging.FieldPartition, uint32(partition)).Msg("regions_have_stores")
	}
}

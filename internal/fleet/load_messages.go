package fleet

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	fleetpb "github.com/sloelift/sloelift/api/proto/fleet"
	"github.com/sloelift/sloelift/internal/engine"
	"github.com/sloelift/sloelift/internal/membership"
)

// sendLoads sends the changed loads of the replicas that this node is home to: deltas to
// its own zone, and summaries, less often, to other zones. The intervals follow from a
// receiver's byte budget.
func (s *state) sendLoads(now time.Time) []action {
	var actions []action
	zoneInterval := intervalWithin(s.options.PollInterval, s.replicasInZone, loadDeltaBytes, s.options.DeltaBytesPerSecond)
	if now.Sub(s.deltaAt) >= zoneInterval {
		s.deltaAt = now
		delta := s.buildDelta(now, func(replica *entry) bool {
			changed := replica.changedForZone
			replica.changedForZone = false
			return changed
		}, true)
		actions = appendDelta(actions, s, delta, true)
	}
	summaryInterval := intervalWithin(s.options.SummaryInterval, s.replicasInOtherZones, summaryBytes, s.options.DeltaBytesPerSecond)
	if now.Sub(s.summaryAt) >= summaryInterval {
		s.summaryAt = now
		delta := s.buildDelta(now, func(replica *entry) bool {
			changed := replica.changedForOtherZones
			replica.changedForOtherZones = false
			return changed
		}, false)
		actions = appendDelta(actions, s, delta, false)
	}
	return actions
}

func appendDelta(actions []action, s *state, delta *fleetpb.LoadDelta, ownZone bool) []action {
	if len(delta.GetLoads()) == 0 {
		return actions
	}
	to := s.peers(func(m *membership.Member) bool { return (m.Zone == s.zone) == ownZone })
	if len(to) == 0 {
		return actions
	}
	return append(actions, sendDelta{to: to, delta: delta})
}

// buildDelta builds the message with the loads of homed replicas for which changed returns
// true. For this node's own zone, a load equal to the one last sent is left out until
// RefreshInterval has passed.
func (s *state) buildDelta(now time.Time, changed func(*entry) bool, ownZone bool) *fleetpb.LoadDelta {
	delta := &fleetpb.LoadDelta{}
	for _, replica := range s.replicas {
		if !replica.isHome || !changed(replica) {
			continue
		}
		if !ownZone {
			delta.Loads = append(delta.Loads, newSummary(now, replica))
			continue
		}
		load := newLoadMessage(replica)
		refresh := now.Sub(replica.sentAt) >= s.options.RefreshInterval
		if !refresh && !replica.detailChanged && sameCounts(load, replica.sent) {
			continue
		}
		replica.sent = proto.Clone(load).(*fleetpb.ReplicaLoad)
		if refresh || replica.detailChanged {
			load.Detail = newDetail(&replica.Load)
			replica.detailChanged = false
			replica.sentAt = now
		}
		delta.Loads = append(delta.Loads, load)
	}
	return delta
}

// detailInterval is how often unchanged details are sent to other zones again.
const detailInterval = 30 * time.Second

// newSummary returns the load message for other zones, with enough to compare a replica
// with their own. Details are included if they changed or detailInterval has passed.
func newSummary(now time.Time, replica *entry) *fleetpb.ReplicaLoad {
	report := &replica.Load
	summary := &fleetpb.ReplicaLoad{
		Replica: HashReplica(replica.ID), Sequence: report.Sequence,
		Running: uint32(report.Running), RunningBatch: uint32(report.RunningBatch),
		Waiting: uint32(report.Waiting), WaitingBatch: uint32(report.WaitingBatch), MaxRunning: uint32(report.MaxRunning),
		Leaving: replica.Leaving, Unreachable: replica.unreachable,
	}
	if !sameModels(replica.summarizedModels, report.Models) || replica.summarizedRole != report.Role ||
		now.Sub(replica.summarizedAt) >= detailInterval {
		replica.summarizedModels, replica.summarizedRole, replica.summarizedAt = report.Models, report.Role, now
		summary.Detail = newDetail(report)
		summary.StepMicros, summary.FenceToken = uint32(report.StepMicros), report.FenceToken
	}
	return summary
}

func sameCounts(a, b *fleetpb.ReplicaLoad) bool {
	return b != nil && a.GetRunning() == b.GetRunning() && a.GetRunningBatch() == b.GetRunningBatch() &&
		a.GetWaiting() == b.GetWaiting() && a.GetWaitingBatch() == b.GetWaitingBatch() &&
		a.GetMaxRunning() == b.GetMaxRunning() && a.GetLeaving() == b.GetLeaving() &&
		a.GetUnreachable() == b.GetUnreachable() && a.GetFenceToken() == b.GetFenceToken()
}

func newLoadMessage(replica *entry) *fleetpb.ReplicaLoad {
	report := &replica.Load
	return &fleetpb.ReplicaLoad{
		Replica:          HashReplica(replica.ID),
		Sequence:         report.Sequence,
		MeasuredAtMicros: uint64(max(0, report.MeasuredAt.UnixMicro())),
		Running:          uint32(report.Running),
		RunningBatch:     uint32(report.RunningBatch),
		Waiting:          uint32(report.Waiting),
		WaitingBatch:     uint32(report.WaitingBatch),
		MaxRunning:       uint32(report.MaxRunning),
		CacheBlocks:      uint32(report.CacheBlocks),
		CacheUsed:        uint32(report.CacheUsed),
		StepMicros:       uint32(report.StepMicros),
		QueuedPrefill:    uint32(report.QueuedPrefill),
		FenceToken:       report.FenceToken,
		Leaving:          replica.Leaving,
		Unreachable:      replica.unreachable,
	}
}

func newDetail(report *engine.LoadReport) *fleetpb.ReplicaDetail {
	detail := &fleetpb.ReplicaDetail{Role: report.Role}
	for _, loaded := range report.Models {
		detail.Models = append(detail.Models, &fleetpb.LoadedModel{
			Model: loaded.Model, Version: loaded.Version, Adapters: loaded.Adapters,
			Ready: loaded.State == loadedReady,
		})
	}
	return detail
}

// States of engine.LoadedModel.
const (
	loadedReady   = "ready"
	loadedLoading = "loading"
)

// decodeReport decodes a load message. Models and role are taken from previous if the message has no detail.
func decodeReport(load *fleetpb.ReplicaLoad, previous *engine.LoadReport) engine.LoadReport {
	report := engine.LoadReport{
		Sequence:      load.GetSequence(),
		MeasuredAt:    time.UnixMicro(int64(load.GetMeasuredAtMicros())),
		Running:       int(load.GetRunning()),
		RunningBatch:  int(load.GetRunningBatch()),
		Waiting:       int(load.GetWaiting()),
		WaitingBatch:  int(load.GetWaitingBatch()),
		MaxRunning:    int(load.GetMaxRunning()),
		CacheBlocks:   int(load.GetCacheBlocks()),
		CacheUsed:     int(load.GetCacheUsed()),
		StepMicros:    int64(load.GetStepMicros()),
		QueuedPrefill: int(load.GetQueuedPrefill()),
		FenceToken:    load.GetFenceToken(),
		Leaving:       load.GetLeaving(),
		Models:        previous.Models,
		Role:          previous.Role,
	}
	if load.GetMeasuredAtMicros() == 0 { // a summary, which omits fields that rarely change or matter little
		report.MeasuredAt = previous.MeasuredAt
		report.StepMicros = max(report.StepMicros, previous.StepMicros)
		report.FenceToken = max(report.FenceToken, previous.FenceToken)
	}
	if detail := load.GetDetail(); detail != nil {
		report.Role = detail.GetRole()
		report.Models = decodeModels(detail)
	}
	return report
}

func decodeModels(detail *fleetpb.ReplicaDetail) []engine.LoadedModel {
	models := make([]engine.LoadedModel, 0, len(detail.GetModels()))
	for _, loaded := range detail.GetModels() {
		state := loadedLoading
		if loaded.GetReady() {
			state = loadedReady
		}
		models = append(models, engine.LoadedModel{
			Model: loaded.GetModel(), Version: loaded.GetVersion(), Adapters: loaded.GetAdapters(), State: state,
		})
	}
	return models
}

func sameModels(a, b []engine.LoadedModel) bool {
	return slices.EqualFunc(a, b, func(x, y engine.LoadedModel) bool {
		return x.Model == y.Model && x.Version == y.Version && x.State == y.State && slices.Equal(x.Adapters, y.Adapters)
	})
}

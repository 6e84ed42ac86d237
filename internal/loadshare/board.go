package loadshare

import (
	"maps"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	loadsharepb "github.com/sloelift/sloelift/api/proto/loadshare"
	"github.com/sloelift/sloelift/internal/replica"
)

const (
	// reportStaleAfter is the age beyond which a node's report is dropped; the node has then missed two reports in a row.
	reportStaleAfter = 1500 * time.Millisecond
	// relayStaleAfter is the age beyond which the last message from another exchange is dropped.
	relayStaleAfter = time.Second
	// purgeInterval is how often replicas without load are purged.
	purgeInterval = 5 * time.Second
)

// report is the last load received from one node or from another exchange.
type report struct {
	receivedAt time.Time
	origin     *loadsharepb.Origin
	replicas   replicaLoads
	demands    demands
	// onlineNodes is the number of nodes with callers in the report: 0 or 1 for a node's own.
	onlineNodes int
}

// supersedes reports whether r was sent by the same run of a process as origin and not before it.
func (r *report) supersedes(origin *loadsharepb.Origin) bool {
	return r != nil && r.origin.GetRun() == origin.GetRun() && r.origin.GetSequence() >= origin.GetSequence()
}

// sameLoad reports whether r and other, either of which may be nil, hold the same loads.
func (r *report) sameLoad(other *report) bool {
	if r == nil || other == nil {
		return r == other
	}
	return r.onlineNodes == other.onlineNodes && maps.Equal(r.replicas, other.replicas) && maps.Equal(r.demands, other.demands)
}

// total is the sum of the loads at one replica.
type total struct {
	// reported is the load of the nodes that report here, relayed the load received from other exchanges.
	reported, relayed replica.Use
	// reportedVersion is the Board's version at the last change of reported, changedVersion at the last change of either load.
	reportedVersion, changedVersion uint64
}

// use returns the load of all nodes.
func (t total) use() replica.Use { return t.reported.Plus(t.relayed, 1) }

// Board holds the loads that nodes report to an exchange and those that other exchanges relay to it. It is safe for concurrent use.
//
// Invariant: totals, reportedDemands, relayedDemands, reportedNodes and relayedNodes are the sums over reports and relays.
type Board struct {
	// run identifies this Board; versions of different runs cannot be compared.
	run uint64

	mutex sync.Mutex
	// version counts the changes.
	version uint64
	// reportedVersion is the version at the last change of the nodes' reports.
	reportedVersion uint64
	// reports are the nodes' last reports, relays the last loads of the other exchanges; both by address.
	reports         map[netip.AddrPort]*report
	relays          map[netip.AddrPort]*report
	totals          map[replica.Key]total
	reportedDemands demands
	relayedDemands  demands
	reportedNodes   int
	relayedNodes    int
	// lastPurgeVersion is the version at the last purge, forgottenVersion the version at the one before it. Replicas without load whose last
	// change was at forgottenVersion or before may be gone from totals.
	lastPurgeVersion, forgottenVersion uint64
	purgedAt                           time.Time
}

// NewBoard returns an empty Board.
func NewBoard(now time.Time) *Board {
	return &Board{
		run: rand.Uint64(), reports: map[netip.AddrPort]*report{}, relays: map[netip.AddrPort]*report{},
		totals: map[replica.Key]total{}, reportedDemands: demands{}, relayedDemands: demands{}, purgedAt: now,
	}
}

// recordReport records a node's report, unless it arrives after a later one.
func (b *Board) recordReport(from netip.AddrPort, message *loadsharepb.NodeLoad, now time.Time) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	last := b.reports[from]
	if last.supersedes(message.GetOrigin()) {
		return
	}
	next := &report{
		receivedAt: now, origin: message.GetOrigin(),
		replicas: decodeReplicas(message.GetReplicas()), demands: decodeDemands(message.GetDemands()),
	}
	if message.GetKind() == loadsharepb.Kind_KIND_ONLINE {
		next.onlineNodes = 1
	}
	b.replaceReport(from, next)
}

// replaceReport replaces a node's last report by next, or removes it if next is nil. The caller must hold mutex.
func (b *Board) replaceReport(from netip.AddrPort, next *report) {
	last := b.reports[from]
	b.replace(b.reports, from, next, b.reportedDemands, &b.reportedNodes, func(sum *total, change replica.Use) {
		sum.reported = sum.reported.Plus(change, 1)
		sum.reportedVersion = b.version
	})
	if !last.sameLoad(next) {
		b.reportedVersion = b.version
	}
}

// recordRelay records a message from another exchange, unless it arrives after a later one.
func (b *Board) recordRelay(from netip.AddrPort, message *loadsharepb.ExchangeLoad, now time.Time) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	last := b.relays[from]
	if last.supersedes(message.GetOrigin()) {
		return
	}
	replicas := decodeReplicas(message.GetReplicas())
	if last != nil && !message.GetWhole() {
		merged := maps.Clone(last.replicas)
		maps.Copy(merged, replicas)
		replicas = merged
	}
	b.replaceRelay(from, &report{
		receivedAt: now, origin: message.GetOrigin(),
		replicas: replicas, demands: decodeDemands(message.GetDemands()), onlineNodes: int(message.GetOnlineNodes()),
	})
}

// replaceRelay replaces another exchange's last load by next, or removes it if next is nil. The caller must hold mutex.
func (b *Board) replaceRelay(from netip.AddrPort, next *report) {
	b.replace(b.relays, from, next, b.relayedDemands, &b.relayedNodes, func(sum *total, change replica.Use) {
		sum.relayed = sum.relayed.Plus(change, 1)
	})
}

// replace replaces one of entries and updates the sums that it counts towards; next may be nil. The caller must hold mutex.
func (b *Board) replace(
	entries map[netip.AddrPort]*report, from netip.AddrPort, next *report, demandSums demands, nodes *int,
	apply func(sum *total, change replica.Use),
) {
	b.version++
	last := entries[from]
	if last == nil {
		last = &report{}
	}
	if next == nil {
		next = &report{}
		delete(entries, from)
	} else {
		entries[from] = next
	}
	for key, use := range next.replicas {
		b.applyChange(key, use.Plus(last.replicas[key], -1), apply)
	}
	for key, use := range last.replicas {
		if _, stillReported := next.replicas[key]; !stillReported {
			b.applyChange(key, replica.Use{}.Plus(use, -1), apply)
		}
	}
	demandSums.add(last.demands, -1)
	demandSums.add(next.demands, 1)
	*nodes += next.onlineNodes - last.onlineNodes
}

func (b *Board) applyChange(key replica.Key, change replica.Use, apply func(sum *total, change replica.Use)) {
	if change == (replica.Use{}) {
		return
	}
	sum := b.totals[key]
	apply(&sum, change)
	sum.changedVersion = b.version
	b.totals[key] = sum
}

// prune drops the loads of nodes and exchanges that have gone silent, and every purgeInterval the totals of replicas without load.
func (b *Board) prune(now time.Time) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for node, last := range b.reports {
		if now.Sub(last.receivedAt) > reportStaleAfter {
			b.replaceReport(node, nil)
		}
	}
	for exchange, last := range b.relays {
		if now.Sub(last.receivedAt) > relayStaleAfter {
			b.replaceRelay(exchange, nil)
		}
	}
	if now.Sub(b.purgedAt) < purgeInterval {
		return
	}
	b.purgedAt = now
	b.forgottenVersion, b.lastPurgeVersion = b.lastPurgeVersion, b.version
	for key, sum := range b.totals {
		if sum.use() == (replica.Use{}) && sum.changedVersion <= b.forgottenVersion {
			delete(b.totals, key)
		}
	}
}

// Answer returns the loads that changed since knownVersion, or all of them if that is a version of another run or too old.
func (b *Board) Answer(knownRun, knownVersion uint64) *loadsharepb.FleetLoad {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	whole := knownRun != b.run || knownVersion < b.forgottenVersion
	changed := replicaLoads{}
	for key, sum := range b.totals {
		use := sum.use()
		if whole && use != (replica.Use{}) || !whole && sum.changedVersion > knownVersion {
			changed[key] = use
		}
	}
	return b.fleetLoad(changed, whole)
}

// AnswerTo answers a query: with the loads of the replicas that it names, or, if it names none, with the changes since the version that it
// names.
func (b *Board) AnswerTo(query *loadsharepb.NodeLoad) *loadsharepb.FleetLoad {
	if len(query.GetOf()) == 0 {
		return b.Answer(query.GetKnownRun(), query.GetKnownVersion())
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	loads := replicaLoads{}
	for _, rawKey := range query.GetOf() {
		key := replica.Key(rawKey)
		if use := b.totals[key].use(); use != (replica.Use{}) {
			loads[key] = use
		}
	}
	answer := b.fleetLoad(loads, true)
	// The answer carries no version, so that a later query for all replicas gets all of them.
	answer.Run, answer.Version = 0, 0
	return answer
}

// fleetLoad returns an answer with the given replicas and the demand for all services. The caller must hold mutex.
func (b *Board) fleetLoad(replicas replicaLoads, whole bool) *loadsharepb.FleetLoad {
	all := maps.Clone(b.reportedDemands)
	all.add(b.relayedDemands, 1)
	return &loadsharepb.FleetLoad{
		Run: b.run, Version: b.version, Whole: whole, Replicas: encodeReplicas(replicas), Demands: encodeDemands(all),
		OnlineNodes: uint32(max(0, b.reportedNodes+b.relayedNodes)),
	}
}

// changesToRelay returns the reported loads that changed since the given version, or all of them if whole is set, and the current version.
func (b *Board) changesToRelay(since uint64, whole bool) (*loadsharepb.ExchangeLoad, uint64) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	changed := replicaLoads{}
	for key, sum := range b.totals {
		if whole && sum.reported != (replica.Use{}) || !whole && sum.reportedVersion > since {
			changed[key] = sum.reported
		}
	}
	return &loadsharepb.ExchangeLoad{
		Whole: whole, Replicas: encodeReplicas(changed), Demands: encodeDemands(b.reportedDemands),
		OnlineNodes: uint32(max(0, b.reportedNodes)),
	}, b.version
}

// reportsChangedSince reports whether the nodes' reports have changed since the given version.
func (b *Board) reportsChangedSince(version uint64) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.reportedVersion > version
}

// hasNoReports reports whether no node reports here.
func (b *Board) hasNoReports() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return len(b.reports) == 0
}

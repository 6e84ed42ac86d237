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
	// reportStale is the age at which a node's report no longer counts: it missed two reports in a row.
	reportStale = 1500 * time.Millisecond
	// relayStale is the age at which what another exchange sent no longer counts.
	relayStale = time.Second
	// purgeInterval is how often replicas without requests are forgotten.
	purgeInterval = 5 * time.Second
)

// report is what one node, or another exchange, sent last.
type report struct {
	at       time.Time
	origin   *loadsharepb.Origin
	replicas replicaLoads
	demands  demands
	// onlineNodes is 0 or 1 for a node.
	onlineNodes int
}

// outdates says that r was sent after origin by the same run of a process.
func (r *report) outdates(origin *loadsharepb.Origin) bool {
	return r != nil && r.origin.GetRun() == origin.GetRun() && r.origin.GetSequence() >= origin.GetSequence()
}

// says that r and other, of which either may be nil, hold the same numbers.
func (r *report) says(other *report) bool {
	if r == nil || other == nil {
		return r == other
	}
	return r.onlineNodes == other.onlineNodes && maps.Equal(r.replicas, other.replicas) && maps.Equal(r.demands, other.demands)
}

// total is what nodes have at one replica.
type total struct {
	// reported are those of the nodes that report here, relayed those that other exchanges sent.
	reported, relayed replica.Use
	// reportedAt and changedAt are the Board's versions of the last change of reported and of either.
	reportedAt, changedAt uint64
}

// use is what all nodes have.
func (t total) use() replica.Use { return t.reported.Plus(t.relayed, 1) }

// Board holds what nodes report to an exchange and what other exchanges send. It is safe for concurrent use.
//
// Invariant: totals, reportedDemands, relayedDemands and the two numbers of nodes are the sums of all reports and relays held.
type Board struct {
	run uint64

	mutex   sync.Mutex
	version uint64
	// reportedAt is the version of the last change of what nodes report here.
	reportedAt      uint64
	reports         map[netip.AddrPort]*report
	relays          map[netip.AddrPort]*report
	totals          map[replica.Key]total
	reportedDemands demands
	relayedDemands  demands
	reportedNodes   int
	relayedNodes    int
	// purgeableTo is the version at the last purge, purgedTo that at the one before: replicas whose last change was up to
	// purgedTo may be forgotten.
	purgeableTo, purgedTo uint64
	purgedAt              time.Time
}

// NewBoard returns an empty Board.
func NewBoard(now time.Time) *Board {
	return &Board{
		run: rand.Uint64(), reports: map[netip.AddrPort]*report{}, relays: map[netip.AddrPort]*report{}, totals: map[replica.Key]total{},
		reportedDemands: demands{}, relayedDemands: demands{}, purgedAt: now,
	}
}

// takeReport takes in a node's report, unless a later one came before it.
func (b *Board) takeReport(from netip.AddrPort, message *loadsharepb.NodeLoad, now time.Time) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	last := b.reports[from]
	if last.outdates(message.GetOrigin()) {
		return
	}
	next := &report{at: now, origin: message.GetOrigin(), replicas: decodeReplicas(message.GetReplicas()), demands: decodeDemands(message.GetDemands())}
	if message.GetKind() == loadsharepb.Kind_KIND_ONLINE {
		next.onlineNodes = 1
	}
	b.replaceReport(from, next)
}

// replaceReport puts next, which may be nil, in the place of a node's last report. The mutex is held.
func (b *Board) replaceReport(from netip.AddrPort, next *report) {
	last := b.reports[from]
	b.replace(b.reports, from, next, b.reportedDemands, &b.reportedNodes, func(sum *total, change replica.Use) {
		sum.reported = sum.reported.Plus(change, 1)
		sum.reportedAt = b.version
	})
	if !last.says(next) {
		b.reportedAt = b.version
	}
}

// takeRelay takes in what another exchange sent, unless a later message came before it.
func (b *Board) takeRelay(from netip.AddrPort, message *loadsharepb.ExchangeLoad, now time.Time) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	last := b.relays[from]
	if last.outdates(message.GetOrigin()) {
		return
	}
	replicas := decodeReplicas(message.GetReplicas())
	if last != nil && !message.GetWhole() {
		merged := maps.Clone(last.replicas)
		maps.Copy(merged, replicas)
		replicas = merged
	}
	b.replaceRelay(from, &report{at: now, origin: message.GetOrigin(), replicas: replicas, demands: decodeDemands(message.GetDemands()), onlineNodes: int(message.GetOnlineNodes())})
}

// replaceRelay puts next, which may be nil, in the place of what an exchange sent last. The mutex is held.
func (b *Board) replaceRelay(from netip.AddrPort, next *report) {
	b.replace(b.relays, from, next, b.relayedDemands, &b.relayedNodes, func(sum *total, change replica.Use) { sum.relayed = sum.relayed.Plus(change, 1) })
}

// replace changes one entry of held and the sums that it is part of. The mutex is held.
func (b *Board) replace(held map[netip.AddrPort]*report, from netip.AddrPort, next *report, sums demands, nodes *int, apply func(sum *total, change replica.Use)) {
	b.version++
	last := held[from]
	if last == nil {
		last = &report{}
	}
	if next == nil {
		next = &report{}
		delete(held, from)
	} else {
		held[from] = next
	}
	for key, use := range next.replicas {
		b.change(key, use.Plus(last.replicas[key], -1), apply)
	}
	for key, use := range last.replicas {
		if _, again := next.replicas[key]; !again {
			b.change(key, replica.Use{}.Plus(use, -1), apply)
		}
	}
	sums.add(last.demands, -1)
	sums.add(next.demands, 1)
	*nodes += next.onlineNodes - last.onlineNodes
}

func (b *Board) change(key replica.Key, change replica.Use, apply func(sum *total, change replica.Use)) {
	if change == (replica.Use{}) {
		return
	}
	sum := b.totals[key]
	apply(&sum, change)
	sum.changedAt = b.version
	b.totals[key] = sum
}

// prune forgets nodes and exchanges that fell silent, and now and then replicas without requests.
func (b *Board) prune(now time.Time) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for node, last := range b.reports {
		if now.Sub(last.at) > reportStale {
			b.replaceReport(node, nil)
		}
	}
	for exchange, last := range b.relays {
		if now.Sub(last.at) > relayStale {
			b.replaceRelay(exchange, nil)
		}
	}
	if now.Sub(b.purgedAt) < purgeInterval {
		return
	}
	b.purgedAt = now
	b.purgedTo, b.purgeableTo = b.purgeableTo, b.version
	for key, sum := range b.totals {
		if sum.use() == (replica.Use{}) && sum.changedAt <= b.purgedTo {
			delete(b.totals, key)
		}
	}
}

// Answer returns what changed since the named state, or all where that state is of another run or too old.
func (b *Board) Answer(knownRun, knownVersion uint64) *loadsharepb.FleetLoad {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	whole := knownRun != b.run || knownVersion < b.purgedTo
	changed := replicaLoads{}
	for key, sum := range b.totals {
		use := sum.use()
		if whole && use != (replica.Use{}) || !whole && sum.changedAt > knownVersion {
			changed[key] = use
		}
	}
	return b.fleetLoad(changed, whole)
}

// AnswerTo answers a question: with what changed since the state that it names, or with all of the replicas that it names.
func (b *Board) AnswerTo(question *loadsharepb.NodeLoad) *loadsharepb.FleetLoad {
	if len(question.GetOf()) == 0 {
		return b.Answer(question.GetKnownRun(), question.GetKnownVersion())
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	found := replicaLoads{}
	for _, each := range question.GetOf() {
		key := replica.Key(each)
		if use := b.totals[key].use(); use != (replica.Use{}) {
			found[key] = use
		}
	}
	answer := b.fleetLoad(found, true)
	// It names no state: behind it a question about all replicas gets all.
	answer.Run, answer.Version = 0, 0
	return answer
}

// fleetLoad returns an answer with the loads of replicas. The mutex is held.
func (b *Board) fleetLoad(replicas replicaLoads, whole bool) *loadsharepb.FleetLoad {
	all := maps.Clone(b.reportedDemands)
	all.add(b.relayedDemands, 1)
	return &loadsharepb.FleetLoad{
		Run: b.run, Version: b.version, Whole: whole, Replicas: encodeReplicas(replicas), Demands: encodeDemands(all),
		OnlineNodes: uint32(max(0, b.reportedNodes+b.relayedNodes)),
	}
}

// relayed returns what changed since version of what nodes report here, or all of it with whole set, and the present version.
func (b *Board) relayed(since uint64, whole bool) (*loadsharepb.ExchangeLoad, uint64) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	changed := replicaLoads{}
	for key, sum := range b.totals {
		if whole && sum.reported != (replica.Use{}) || !whole && sum.reportedAt > since {
			changed[key] = sum.reported
		}
	}
	return &loadsharepb.ExchangeLoad{
		Whole: whole, Replicas: encodeReplicas(changed), Demands: encodeDemands(b.reportedDemands), OnlineNodes: uint32(max(0, b.reportedNodes)),
	}, b.version
}

// reportedSince says that what nodes report here has changed since a version.
func (b *Board) reportedSince(version uint64) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.reportedAt > version
}

// empty says that no node reports here.
func (b *Board) empty() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return len(b.reports) == 0
}

package membership

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	membershippb "github.com/sloelift/sloelift/api/proto/membership"
)

// probe is a probe of a member that has not been answered yet.
type probe struct {
	target      *record
	incarnation uint64 // the target's when the probe was sent
	sentAt      time.Time
	// indirect reports whether helpers were asked to probe the target.
	indirect bool
	// failed reports whether the probe timed out. It is kept, as a late answer still shows how slow
	// this node is.
	failed bool
}

// relay is a probe made on behalf of another node.
type relay struct {
	origin   netip.AddrPort
	sequence uint64
	target   NodeID
	sentAt   time.Time
}

// startProbes sends the probes that are due.
func (p *protocol) startProbes() {
	if !p.now.Before(p.nextZoneProbe) {
		p.nextZoneProbe = p.nextTime(p.nextZoneProbe, p.timing.ZoneProbePeriod)
		p.probeOwnZone()
	}
	if !p.now.Before(p.nextRemoteProbe) {
		p.nextRemoteProbe = p.nextTime(p.nextRemoteProbe, p.timing.RemoteProbePeriod)
		for _, target := range p.remoteTargets() {
			p.probe(target)
		}
	}
}

// nextTime returns the next due time of a task with the given period. After a pause of more than a
// period it is a random time within the next one.
func (p *protocol) nextTime(due time.Time, period time.Duration) time.Time {
	if p.now.Sub(due) > period {
		return p.now.Add(time.Duration(p.random.Int64N(int64(period))))
	}
	return due.Add(period)
}

func (p *protocol) probeOwnZone() {
	p.lastSuccessor = p.lastSuccessor%ringSuccessors + 1
	successor := p.ringSuccessor(p.lastSuccessor)
	if successor != nil {
		p.probe(successor)
	}
	notSuccessor := func(candidate *record) bool { return candidate != successor }
	for _, target := range p.sample(p.lookup().contacts[p.self.zone], 1, notSuccessor) {
		p.probe(target)
	}
}

// remoteTargets returns the members of other zones to probe: if a zone has several suspects, some
// of its other members, else a random contact in a random zone if this node is selected in this
// period.
func (p *protocol) remoteTargets() []*record {
	index := p.lookup()
	var remote, suspicious []zoneKey
	for _, zone := range index.zones {
		if zone == p.self.zone {
			continue
		}
		remote = append(remote, zone)
		if count := index.suspects[zone]; count >= suspectZoneThreshold && count < len(index.byZone[zone]) {
			suspicious = append(suspicious, zone)
		}
	}
	switch {
	case len(suspicious) > 0:
		zone := suspicious[p.random.IntN(len(suspicious))]
		unsuspected := func(candidate *record) bool { return candidate.State != Suspect }
		return p.sample(index.byZone[zone], suspectZoneProbes, unsuspected)
	case len(remote) > 0 && p.selectedThisPeriod(crossZoneProbers):
		return p.sample(index.contacts[remote[p.random.IntN(len(remote))]], 1, nil)
	}
	return nil
}

func (p *protocol) probe(target *record) {
	p.lastSequence++
	p.probes[p.lastSequence] = &probe{target: target, incarnation: target.Incarnation, sentAt: p.now}
	p.ping(target, p.lastSequence)
}

func (p *protocol) ping(target *record, sequence uint64) {
	p.send(target.PeerAddress, methodPing, &membershippb.Ping{
		Sender:   p.sender(),
		Sequence: sequence,
		News:     p.news.take(target.ID, p.records, p.now),
	})
}

// checkProbes asks helpers to probe targets that are late to answer, and suspects targets whose
// probe timed out.
func (p *protocol) checkProbes() {
	for _, sequence := range slices.Sorted(maps.Keys(p.probes)) {
		pending := p.probes[sequence]
		waited := p.now.Sub(pending.sentAt)
		switch {
		case waited >= maxLateAnswer:
			delete(p.probes, sequence)
		case pending.failed:
		case waited >= p.probeTime(p.timing.ProbeTimeout):
			pending.failed = true
			if !p.isSuspectZone(pending.target.zone) {
				p.slowness = min(p.slowness+1, maxSlowness)
			}
			p.probeFailed(pending)
		case waited >= p.probeTime(p.timing.DirectTimeout) && !pending.indirect:
			pending.indirect = true
			p.askHelpers(pending.target, sequence)
		}
	}
	for sequence, pending := range p.relays {
		if p.now.Sub(pending.sentAt) >= p.timing.ProbeTimeout {
			delete(p.relays, sequence)
		}
	}
}

func (p *protocol) probeFailed(pending *probe) {
	target := pending.target
	if target.Incarnation != pending.incarnation || target.lastHeard.After(pending.sentAt) {
		return
	}
	p.suspect(target, pending.sentAt)
	p.lastSequence++
	p.ping(target, p.lastSequence)
}

// isSuspectZone reports whether a zone other than this node's has at least suspectZoneThreshold
// suspects. Probes that fail there do not indicate that this node is slow.
func (p *protocol) isSuspectZone(zone zoneKey) bool {
	return zone != p.self.zone && p.lookup().suspects[zone] >= suspectZoneThreshold
}

// noteAnswer lowers the slowness that failed probes raised by one, unless this answer is late. The
// slowness is then at least what the round trip of a direct answer requires.
func (p *protocol) noteAnswer(pending *probe, direct bool) {
	needed := 0
	if direct {
		needed = min(int(p.now.Sub(pending.sentAt)/p.timing.ProbeTimeout), maxSlowness)
	}
	p.answerSlowness = max(p.answerSlowness-1, needed)
	if pending.failed {
		p.slowness = max(p.slowness, needed)
		return
	}
	p.slowness = max(p.slowness-1, needed)
}

// probeTime extends a timeout by this node's slowness.
func (p *protocol) probeTime(timeout time.Duration) time.Duration {
	return timeout * time.Duration(1+p.slowness)
}

// slownessAllowance returns how much longer than limit this node waits for a refutation.
func (p *protocol) slownessAllowance(limit time.Duration) time.Duration {
	return limit / 2 * time.Duration(max(p.slowness-toleratedSlowness, 0))
}

// askHelpers asks helpers in several zones for indirect probes, so that a network partition between
// two zones is told from a dead member.
func (p *protocol) askHelpers(target *record, sequence uint64) {
	index := p.lookup()
	helpful := func(candidate *record) bool { return candidate != target && candidate.State == Alive }
	helpers := p.sample(index.byZone[p.self.zone], 1, helpful)
	if target.zone != p.self.zone {
		helpers = append(helpers, p.sample(index.byZone[target.zone], 1, helpful)...)
	}
	chosen := map[*record]bool{}
	for _, helper := range helpers {
		chosen[helper] = true
	}
	others := index.ring
	if target.zone != p.self.zone {
		others = index.byZone[index.zones[p.random.IntN(len(index.zones))]]
	}
	unused := func(candidate *record) bool { return helpful(candidate) && !chosen[candidate] }
	helpers = append(helpers, p.sample(others, indirectProbes-len(helpers), unused)...)
	for _, helper := range helpers {
		p.send(helper.PeerAddress, methodProbeRequest, &membershippb.ProbeRequest{
			Sender:        p.sender(),
			Sequence:      sequence,
			TargetId:      string(target.ID),
			TargetAddress: encodeAddress(target.PeerAddress),
		})
	}
}

func (p *protocol) receivePing(from netip.AddrPort, message *membershippb.Ping) {
	known := p.noteSender(from, message.GetSender())
	p.mergeAll(from, message.GetNews())
	p.send(from, methodAck, &membershippb.Ack{
		Sender:   p.sender(),
		Sequence: message.GetSequence(),
		News:     p.news.take(NodeID(message.GetSender().GetId()), p.records, p.now),
	})
	if !known {
		p.sendDigest(from)
	}
}

func (p *protocol) receiveAck(from netip.AddrPort, message *membershippb.Ack) {
	p.noteSender(from, message.GetSender())
	p.mergeAll(from, message.GetNews())
	reached := message.GetSender()
	if message.GetTarget() != nil {
		reached = message.GetTarget()
	}
	if pending := p.probes[message.GetSequence()]; pending != nil && string(pending.target.ID) == reached.GetId() {
		delete(p.probes, message.GetSequence())
		direct := message.GetTarget() == nil
		if direct {
			pending.target.roundTrip = p.now.Sub(pending.sentAt)
		}
		p.noteAnswer(pending, direct)
		if reached.GetIncarnation() == pending.target.Incarnation {
			pending.target.lastHeard = p.now
		}
		return
	}
	if pending, present := p.relays[message.GetSequence()]; present && string(pending.target) == reached.GetId() {
		delete(p.relays, message.GetSequence())
		p.send(pending.origin, methodAck, &membershippb.Ack{
			Sender:   p.sender(),
			Sequence: pending.sequence,
			Target:   reached,
		})
	}
}

func (p *protocol) receiveProbeRequest(from netip.AddrPort, message *membershippb.ProbeRequest) {
	p.noteSender(from, message.GetSender())
	address, valid := decodeAddress(message.GetTargetAddress())
	if !valid {
		return
	}
	p.lastSequence++
	target := NodeID(message.GetTargetId())
	p.relays[p.lastSequence] = relay{origin: from, sequence: message.GetSequence(), target: target, sentAt: p.now}
	p.send(address, methodPing, &membershippb.Ping{
		Sender:   p.sender(),
		Sequence: p.lastSequence,
		News:     p.news.take(target, p.records, p.now),
	})
}

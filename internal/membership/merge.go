package membership

import (
	"net/netip"
	"slices"
	"time"

	membershippb "github.com/sloelift/sloelift/api/proto/membership"
)

// mergeAll merges the records of one message. Members that arrive in bulk, as on a joining node,
// are not queued as news: their sender has passed them on, and digests find what is missing.
func (p *protocol) mergeAll(from netip.AddrPort, records []*membershippb.Record) {
	p.bulk = len(records) > bulkThreshold
	defer func() { p.bulk = false }()
	for _, wire := range records {
		p.merge(from, wire)
	}
}

// merge merges one record.
func (p *protocol) merge(from netip.AddrPort, wire *membershippb.Record) {
	member := p.records[NodeID(wire.GetId())]
	if member == p.self {
		p.mergeSelf(from, wire)
		return
	}
	switch wire.GetState() {
	case membershippb.State_STATE_ALIVE, membershippb.State_STATE_LEAVING:
		p.mergeLive(member, wire)
	case membershippb.State_STATE_SUSPECT:
		if p.adoptIncarnation(member, wire) {
			silence := time.Duration(wire.GetSilentMillis()) * time.Millisecond
			p.suspect(member, p.now.Add(-silence))
			p.notifySuspect(member)
		}
	case membershippb.State_STATE_DEAD:
		if p.adoptIncarnation(member, wire) {
			p.mergeDead(member, wire.GetLeft())
		}
	}
}

// adoptIncarnation reports whether a record of suspicion or death applies to the incarnation known
// here. A newer incarnation in the record is adopted first.
func (p *protocol) adoptIncarnation(member *record, wire *membershippb.Record) bool {
	if member == nil || wire.GetIncarnation() < member.Incarnation {
		return false
	}
	if wire.GetIncarnation() > member.Incarnation {
		member.Incarnation = wire.GetIncarnation()
		p.indexStale, p.viewChanged = true, true
		if member.State == Dead {
			member.State = Suspect
			p.startSuspicion(member, p.now)
		}
	}
	return member.State != Dead
}

// mergeSelf refutes a record of this node that is wrong: a suspicion or death of its present
// incarnation, or any record of a newer one.
func (p *protocol) mergeSelf(from netip.AddrPort, wire *membershippb.Record) {
	negative := wire.GetState() == membershippb.State_STATE_SUSPECT || wire.GetState() == membershippb.State_STATE_DEAD
	newer := wire.GetIncarnation() > p.self.Incarnation
	same := wire.GetIncarnation() == p.self.Incarnation
	if p.self.State == Dead || !newer && !(same && negative) {
		return
	}
	p.self.Incarnation = wire.GetIncarnation() + 1
	p.report(p.self, changeRefuted)
	p.sendRecords(from, []*record{p.self})
	p.announceSelf()
}

func (p *protocol) mergeLive(member *record, wire *membershippb.Record) {
	update, valid := decodeMember(wire)
	if !valid {
		return
	}
	switch {
	case member == nil:
		p.addMember(update, changeJoined)
	case update.Incarnation > member.Incarnation:
		p.renewMember(member, update)
	case update.Incarnation == member.Incarnation && update.State == Leaving && !member.leaving:
		p.markLeaving(member)
	}
}

func (p *protocol) addMember(joined Member, kind changeKind) {
	member := newRecord(joined)
	p.insert(member)
	p.recordChange(member, kind)
	if p.bulk {
		p.news.remove(member.ID)
	}
}

// renewMember replaces a member by a newer incarnation of it.
func (p *protocol) renewMember(member *record, update Member) {
	before, roundTrip := member.State, member.roundTrip
	*member = *newRecord(update)
	member.roundTrip = roundTrip
	switch {
	case before == Dead:
		p.recordChange(member, changeReturned)
	case before == Suspect:
		p.recordChange(member, changeRefuted)
	case update.State == Leaving && before != Leaving:
		p.recordChange(member, changeLeaving)
	default:
		p.recordChange(member, "")
	}
}

func (p *protocol) markLeaving(member *record) {
	member.leaving = true
	if member.State == Alive {
		member.State = Leaving
	}
	p.recordChange(member, changeLeaving)
}

// mergeDead does not accept a death that another node reports: the member is suspected and first
// gets time to refute. A stop that the member itself announced (left) takes effect at once.
func (p *protocol) mergeDead(member *record, left bool) {
	if left {
		member.left = true
		p.declareDead(member, changeLeft)
		return
	}
	latest := p.now.Add(p.timing.ClaimRefuteTime + p.slownessAllowance(p.timing.ClaimRefuteTime))
	if member.State == Suspect {
		if member.deadline.After(latest) {
			member.deadline = latest
		}
		return
	}
	p.suspect(member, p.now)
	member.deadline = latest
	p.notifySuspect(member)
}

// suspect marks a member as suspect, silent since the given time. Of several suspicions the one
// with the longest silence applies. Otherwise a node whose own probe failed later than that of
// another node would declare the death later than all others.
func (p *protocol) suspect(member *record, silentSince time.Time) {
	if member.State == Suspect {
		p.advanceDeadline(member, silentSince)
		return
	}
	if member.State == Dead {
		return
	}
	member.State = Suspect
	p.startSuspicion(member, silentSince)
	p.recordChange(member, changeSuspect)
}

// advanceDeadline moves a suspect's deadline to an earlier time if it has been silent for longer
// than was known, but leaves it time to refute.
func (p *protocol) advanceDeadline(member *record, silentSince time.Time) {
	longer := member.silentSince.Sub(silentSince)
	if longer <= 0 {
		return
	}
	member.silentSince = silentSince
	if deadline := p.withRefuteTime(member, member.deadline.Add(-longer)); deadline.Before(member.deadline) {
		member.deadline = deadline
	}
}

// withRefuteTime returns deadline, or the earliest time by which a suspect that learns of the
// suspicion now can have refuted it, whichever is later. Measured round trips extend the time to
// refute, failed probes do not: a node that has probed dead members would declare them dead late.
func (p *protocol) withRefuteTime(member *record, deadline time.Time) time.Time {
	refuteTime := p.timing.RefuteTime * time.Duration(1+p.answerSlowness)
	refuteTime = max(refuteTime, member.roundTrip+p.timing.RefuteTime)
	if earliest := p.now.Add(refuteTime); deadline.Before(earliest) {
		return earliest
	}
	return deadline
}

// notifySuspect pings a suspect with the suspicion, so that it can refute. About suspectNotifiers
// of all nodes that learn of a suspicion do so; pings from all of them would overload the suspect.
func (p *protocol) notifySuspect(member *record) {
	if member.State == Suspect && member.suspectedAt.Equal(p.now) && p.random.IntN(len(p.records)) < suspectNotifiers {
		p.lastSequence++
		p.ping(member, p.lastSequence)
	}
}

func (p *protocol) startSuspicion(member *record, silentSince time.Time) {
	limit := p.timing.RemoteDeathAfter
	if member.zone == p.self.zone {
		limit = p.timing.ZoneDeathAfter
	}
	member.silentSince = silentSince
	member.suspectedAt = p.now
	member.newsRenewed, member.finalPingSent = false, false
	member.deadline = p.withRefuteTime(member, silentSince.Add(limit+p.slownessAllowance(limit)))
}

// checkSuspicions declares suspects dead whose deadline has passed, unless this node has heard from
// them since the suspicion.
func (p *protocol) checkSuspicions() {
	for _, member := range p.suspects() {
		p.renewNewsBeforeDeadline(member)
		p.pingBeforeDeadline(member)
		if p.now.Before(member.deadline) {
			continue
		}
		if member.lastHeard.After(member.suspectedAt) {
			member.State = Alive
			if member.leaving {
				member.State = Leaving
			}
			p.recordChange(member, changeRefuted)
			continue
		}
		p.declareDead(member, changeDead)
	}
}

// renewNewsBeforeDeadline passes a suspicion on once more, shortly before its deadline. A node that
// missed it while it was passed on would declare the death by a later silence of its own, or after
// the others have.
func (p *protocol) renewNewsBeforeDeadline(member *record) {
	if member.newsRenewed || p.now.Before(member.deadline.Add(-p.timing.RenewedNewsLead)) {
		return
	}
	if member.lastHeard.After(member.suspectedAt) {
		// This node drops the suspicion at its deadline.
		return
	}
	member.newsRenewed = true
	p.news.add(member.ID)
}

// pingBeforeDeadline pings a suspect once, shortly before its deadline, so that each node decides
// on an answer of its own and does not depend on a refutation reaching it.
func (p *protocol) pingBeforeDeadline(member *record) {
	if member.finalPingSent || p.now.Before(member.deadline.Add(-p.probeTime(p.timing.RefuteTime))) {
		return
	}
	member.finalPingSent = true
	p.lastSequence++
	p.ping(member, p.lastSequence)
}

// suspects returns the suspects in a deterministic order.
func (p *protocol) suspects() []*record {
	var suspects []*record
	index := p.lookup()
	for _, zone := range index.zones {
		if index.suspects[zone] == 0 {
			continue
		}
		for _, member := range index.byZone[zone] {
			if member.State == Suspect {
				suspects = append(suspects, member)
			}
		}
	}
	return suspects
}

func (p *protocol) declareDead(member *record, kind changeKind) {
	member.State = Dead
	member.diedAt = p.now
	p.recordChange(member, kind)
}

// forgetDead removes dead members after ForgetAfter, or after the shorter ForgetUnlistedAfter if
// the machine list no longer names them.
func (p *protocol) forgetDead() {
	for _, member := range slices.Clone(p.sorted) {
		if member.State != Dead || member == p.self {
			continue
		}
		keep := p.timing.ForgetAfter
		if _, listed := p.listed[member.ID]; p.haveListing && !listed {
			keep = p.timing.ForgetUnlistedAfter
		}
		if p.now.Sub(member.diedAt) >= keep {
			p.remove(member.ID)
			p.viewChanged = true
			p.report(member, changeForgotten)
		}
	}
}

// recordChange queues a change as news and marks the view as changed. It is reported to the log and
// the metrics unless kind is empty.
func (p *protocol) recordChange(member *record, kind changeKind) {
	p.indexStale, p.viewChanged = true, true
	p.publishUrgent = p.publishUrgent || kind == changeDead || kind == changeLeft || kind == changeLeaving
	p.news.add(member.ID)
	if kind != "" {
		p.report(member, kind)
	}
}

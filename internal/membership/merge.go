package membership

import (
	"net/netip"
	"slices"
	"time"

	membershippb "github.com/sloelift/sloelift/api/proto/membership"
)

// mergeAll takes news. Members that come in bulk, as to a node that joins, are not
// passed on: whoever sent them has, and digests find what is missing.
func (p *protocol) mergeAll(from netip.AddrPort, records []*membershippb.Record) {
	p.bulk = len(records) > bulkRecords
	defer func() { p.bulk = false }()
	for _, wire := range records {
		p.merge(from, wire)
	}
}

// merge takes one piece of news.
func (p *protocol) merge(from netip.AddrPort, wire *membershippb.Record) {
	held := p.records[NodeID(wire.GetId())]
	if held == p.self {
		p.mergeSelf(from, wire)
		return
	}
	switch wire.GetState() {
	case membershippb.State_STATE_ALIVE, membershippb.State_STATE_LEAVING:
		p.mergeLive(held, wire)
	case membershippb.State_STATE_SUSPECT:
		if p.concerns(held, wire) {
			silence := time.Duration(wire.GetSilentMillis()) * time.Millisecond
			p.suspect(held, p.now.Add(-silence))
			p.tellSuspect(held)
		}
	case membershippb.State_STATE_DEAD:
		if p.concerns(held, wire) {
			p.mergeDead(held, wire.GetLeft())
		}
	}
}

// concerns says whether news of suspicion or death is about the incarnation held, and
// takes over a newer one.
func (p *protocol) concerns(held *record, wire *membershippb.Record) bool {
	if held == nil || wire.GetIncarnation() < held.Incarnation {
		return false
	}
	if wire.GetIncarnation() > held.Incarnation {
		held.Incarnation = wire.GetIncarnation()
		p.stale, p.changed = true, true
		if held.State == Dead {
			held.State = Suspect
			p.takeOnSuspicion(held, p.now)
		}
	}
	return held.State != Dead
}

// mergeSelf refutes what others wrongly hold of this node.
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

func (p *protocol) mergeLive(held *record, wire *membershippb.Record) {
	member, valid := decodeMember(wire)
	if !valid {
		return
	}
	switch {
	case held == nil:
		p.addMember(member, changeJoined)
	case member.Incarnation > held.Incarnation:
		p.renewMember(held, member)
	case member.Incarnation == held.Incarnation && member.State == Leaving && !held.leaving:
		p.markLeaving(held)
	}
}

func (p *protocol) addMember(member Member, kind changeKind) {
	held := newRecord(member)
	p.insert(held)
	p.noteChange(held, kind)
	if p.bulk {
		p.news.remove(held.ID)
	}
}

// renewMember takes over a newer incarnation.
func (p *protocol) renewMember(held *record, member Member) {
	before := held.State
	*held = *newRecord(member)
	switch {
	case before == Dead:
		p.noteChange(held, changeReturned)
	case before == Suspect:
		p.noteChange(held, changeRefuted)
	case member.State == Leaving && before != Leaving:
		p.noteChange(held, changeLeaving)
	default:
		p.noteChange(held, "")
	}
}

func (p *protocol) markLeaving(held *record) {
	held.leaving = true
	if held.State == Alive {
		held.State = Leaving
	}
	p.noteChange(held, changeLeaving)
}

// mergeDead does not take another node's word for a death: the member first gets time
// to refute it. A member's own word counts at once.
func (p *protocol) mergeDead(held *record, left bool) {
	if left {
		held.left = true
		p.declareDead(held, changeLeft)
		return
	}
	latest := p.now.Add(p.timing.ClaimRefuteTime + p.ownSlowness(p.timing.ClaimRefuteTime))
	if held.State == Suspect {
		if held.deadline.After(latest) {
			held.deadline = latest
		}
		return
	}
	p.suspect(held, p.now)
	held.deadline = latest
	p.tellSuspect(held)
}

// suspect takes on a suspicion against a member that is silent since then. Of several suspicions the one of the longest silence holds: a node whose own
// probe failed later than that of another would otherwise declare the death later than all others.
func (p *protocol) suspect(held *record, silentSince time.Time) {
	if held.State == Suspect {
		p.advanceDeath(held, silentSince)
		return
	}
	if held.State == Dead {
		return
	}
	held.State = Suspect
	p.takeOnSuspicion(held, silentSince)
	p.noteChange(held, changeSuspect)
}

// advanceDeath has a suspect that is silent for longer than was known declared dead earlier, but leaves it the time to refute.
func (p *protocol) advanceDeath(held *record, silentSince time.Time) {
	longer := held.silentSince.Sub(silentSince)
	if longer <= 0 {
		return
	}
	held.silentSince = silentSince
	if deadline := p.afterRefutation(held.deadline.Add(-longer)); deadline.Before(held.deadline) {
		held.deadline = deadline
	}
}

// afterRefutation returns deadline, or the time until which a suspect that learns of it now may refute, if that is later.
func (p *protocol) afterRefutation(deadline time.Time) time.Time {
	if earliest := p.now.Add(p.probeTime(p.timing.RefuteTime)); deadline.Before(earliest) {
		return earliest
	}
	return deadline
}

// tellSuspect makes sure that about suspectTellers of all who hear of a suspicion pass
// it to the suspect at once, so that it can refute; all of them would be a storm.
func (p *protocol) tellSuspect(held *record) {
	if held.State == Suspect && held.suspectedAt.Equal(p.now) && p.random.IntN(len(p.records)) < suspectTellers {
		p.lastSequence++
		p.ping(held, p.lastSequence)
	}
}

func (p *protocol) takeOnSuspicion(held *record, silentSince time.Time) {
	limit := p.timing.RemoteDeathAfter
	if held.zone == p.self.zone {
		limit = p.timing.ZoneDeathAfter
	}
	held.silentSince = silentSince
	held.suspectedAt = p.now
	held.askedAgain = false
	held.deadline = p.afterRefutation(silentSince.Add(limit + p.ownSlowness(limit)))
}

// checkSuspicions declares dead whose time is up, unless this node itself heard the
// suspect since.
func (p *protocol) checkSuspicions() {
	for _, held := range p.suspects() {
		p.askOnceMore(held)
		if p.now.Before(held.deadline) {
			continue
		}
		if held.lastHeard.After(held.suspectedAt) {
			held.State = Alive
			if held.leaving {
				held.State = Leaving
			}
			p.noteChange(held, changeRefuted)
			continue
		}
		p.declareDead(held, changeDead)
	}
}

// askOnceMore pings a suspect shortly before its time is up, so that each node judges
// by an answer of its own and not by whether a refutation reached it.
func (p *protocol) askOnceMore(held *record) {
	if held.askedAgain || p.now.Before(held.deadline.Add(-p.probeTime(p.timing.RefuteTime))) {
		return
	}
	held.askedAgain = true
	p.lastSequence++
	p.ping(held, p.lastSequence)
}

// suspects returns the suspects in a fixed order.
func (p *protocol) suspects() []*record {
	var suspects []*record
	index := p.lookup()
	for _, zone := range index.zones {
		if index.suspects[zone] == 0 {
			continue
		}
		for _, held := range index.byZone[zone] {
			if held.State == Suspect {
				suspects = append(suspects, held)
			}
		}
	}
	return suspects
}

func (p *protocol) declareDead(held *record, kind changeKind) {
	held.State = Dead
	held.diedAt = p.now
	p.noteChange(held, kind)
}

// forgetDead drops the dead after a time; it is shorter where the machine list does
// not name them any more.
func (p *protocol) forgetDead() {
	for _, held := range slices.Clone(p.sorted) {
		if held.State != Dead || held == p.self {
			continue
		}
		keep := p.timing.ForgetAfter
		if _, listed := p.listed[held.ID]; p.haveListing && !listed {
			keep = p.timing.ForgetUnlistedAfter
		}
		if p.now.Sub(held.diedAt) >= keep {
			p.remove(held.ID)
			p.changed = true
			p.report(held, changeForgotten)
		}
	}
}

// noteChange passes a change on and publishes it; an empty kind is not reported.
func (p *protocol) noteChange(held *record, kind changeKind) {
	p.stale, p.changed = true, true
	p.urgent = p.urgent || kind == changeDead || kind == changeLeft || kind == changeLeaving
	p.news.add(held.ID)
	if kind != "" {
		p.report(held, kind)
	}
}

package membership

import (
	"net/netip"
	"slices"
	"time"

	membershippb "github.com/sloelift/sloelift/api/proto/membership"
)

// startDigests compares members with another node's where it is time to: with a random
// live one, now and then with one that is held dead or not known, and with seeds and
// listed machines as long as nobody is known.
func (p *protocol) startDigests() {
	if p.lookup().others == 0 {
		p.join()
		return
	}
	p.joinPeriod = p.timing.JoinPeriod
	if !p.now.Before(p.nextDigest) {
		p.nextDigest = p.nextTime(p.nextDigest, p.timing.DigestPeriod)
		if target := p.digestTarget(); target != nil {
			p.sendDigest(target.PeerAddress)
		}
	}
	if !p.now.Before(p.nextHeal) {
		p.nextHeal = p.nextTime(p.nextHeal, p.timing.HealPeriod)
		if lost := p.lostAddresses(); len(lost) > 0 {
			p.sendDigest(lost[p.random.IntN(len(lost))])
		}
	}
}

// join asks contacts, less and less often while none answers.
func (p *protocol) join() {
	if p.now.Before(p.nextJoin) {
		return
	}
	jitter := time.Duration(p.random.Int64N(int64(p.joinPeriod)))
	p.nextJoin = p.now.Add(p.joinPeriod/2 + jitter)
	p.joinPeriod = min(2*p.joinPeriod, p.timing.MaxJoinPeriod)
	contacts := p.lostAddresses()
	for count, position := range p.random.Perm(len(contacts)) {
		if count == joinContacts {
			return
		}
		p.sendDigest(contacts[position])
	}
}

// addContact adds a node to the seeds, and has a node that knows nobody ask it at the next tick.
func (p *protocol) addContact(address netip.AddrPort) {
	if len(p.seeds) >= maxSeeds || slices.Contains(p.seeds, address) {
		return
	}
	p.seeds = append(slices.Clone(p.seeds), address)
	p.nextJoin = p.now
}

// digestTarget is a random contact in a random zone, so that no zone drifts off. The members of a large zone compare with other zones so often
// in all as those of a small one, for what one of them learns passes on within the zone.
func (p *protocol) digestTarget() *record {
	index := p.lookup()
	zone := index.zones[p.random.IntN(len(index.zones))]
	if !p.takesTurn(comparesBetweenZones) {
		zone = p.self.zone
	}
	for _, target := range p.sample(index.contacts[zone], 1, nil) {
		return target
	}
	return nil
}

// takesTurn says that this member does in this period what so many members of its zone do in each; in a small zone all do it.
func (p *protocol) takesTurn(ofZone int) bool {
	members := len(p.lookup().byZone[p.self.zone])
	return members <= ofZone || p.random.IntN(members) < ofZone
}

// lostAddresses are where a node might be that this one does not hold alive: seeds,
// listed machines and members held dead that did not say that they stop.
func (p *protocol) lostAddresses() []netip.AddrPort {
	taken := map[netip.AddrPort]bool{p.self.PeerAddress: true}
	for _, members := range p.lookup().byZone {
		for _, member := range members {
			taken[member.PeerAddress] = true
		}
	}
	var lost []netip.AddrPort
	add := func(address netip.AddrPort) {
		if address.IsValid() && !taken[address] {
			taken[address] = true
			lost = append(lost, address)
		}
	}
	for _, address := range p.seeds {
		add(address)
	}
	for _, address := range p.listed {
		add(address)
	}
	for _, held := range p.records {
		if held.State == Dead && !held.left {
			add(held.PeerAddress)
		}
	}
	sortAddresses(lost)
	return lost
}

func (p *protocol) sendDigest(to netip.AddrPort) {
	p.send(to, methodDigest, p.digest())
}

func (p *protocol) digest() *membershippb.Digest {
	message := &membershippb.Digest{Sender: p.sender()}
	index := p.lookup()
	for _, zone := range index.zones {
		message.Zones = append(message.Zones, digestOf(zone, index.byZone[zone]))
	}
	return message
}

func digestOf(zone zoneKey, members []*record) *membershippb.ZoneDigest {
	digest := &membershippb.ZoneDigest{Zone: uint32(zone)}
	var run *membershippb.RevisionRun
	for _, member := range members {
		digest.Hash += member.stateHash()
		if run == nil || revisionsOf(run) != member.Revisions {
			run = &membershippb.RevisionRun{Revision: member.Revisions.Configuration, ReplicasRevision: member.Revisions.Replicas}
			digest.Revisions = append(digest.Revisions, run)
		}
		run.Members++
	}
	if len(digest.Revisions) > mostRevisionRuns {
		digest.Revisions = nil
	}
	return digest
}

func revisionsOf(run *membershippb.RevisionRun) Revisions {
	return Revisions{Configuration: run.GetRevision(), Replicas: run.GetReplicasRevision()}
}

func (p *protocol) receiveDigest(from netip.AddrPort, message *membershippb.Digest) {
	p.hear(from, message.GetSender())
	if p.sendsToOwnZone(from, message) {
		return
	}
	index := p.lookup()
	answer := &membershippb.Summary{Sender: p.sender()}
	compared := make(map[zoneKey]bool)
	answerRevisions := false
	for _, theirs := range message.GetZones() {
		zone := zoneKey(theirs.GetZone())
		compared[zone] = true
		members := index.byZone[zone]
		if digestOf(zone, members).GetHash() == theirs.GetHash() {
			if p.compareRevisions(members, theirs.GetRevisions()) {
				answerRevisions = true
			}
			continue
		}
		answer.Zones = append(answer.Zones, summaryOf(zone, members))
	}
	var unknownThere []*record
	for _, zone := range index.zones {
		if !compared[zone] {
			unknownThere = append(unknownThere, index.byZone[zone]...)
		}
	}
	if len(answer.Zones) > 0 {
		p.send(from, methodSummary, answer)
	}
	if answerRevisions && !message.GetAnswer() {
		digest := p.digest()
		digest.Answer = true
		p.send(from, methodDigest, digest)
	}
	p.sendRecords(from, unknownThere)
}

// compareRevisions takes the revisions of members that both sides hold alike. It returns
// true where this node knows a higher one.
func (p *protocol) compareRevisions(members []*record, runs []*membershippb.RevisionRun) (knowsHigher bool) {
	position := 0
	for _, run := range runs {
		for count := uint32(0); count < run.GetMembers() && position < len(members); count++ {
			member := members[position]
			position++
			if member != p.self {
				p.learnRevisions(member, revisionsOf(run))
			}
			knowsHigher = knowsHigher || member.Revisions.Join(revisionsOf(run)) != revisionsOf(run)
		}
	}
	return knowsHigher
}

func summaryOf(zone zoneKey, members []*record) *membershippb.ZoneSummary {
	summary := &membershippb.ZoneSummary{Zone: uint32(zone)}
	for _, member := range members {
		summary.Members = append(summary.Members, member.summary())
	}
	return summary
}

// receiveSummary sends what the other side lacks or holds otherwise, and asks for the
// same in return.
func (p *protocol) receiveSummary(from netip.AddrPort, message *membershippb.Summary) {
	p.hear(from, message.GetSender())
	dead := p.deadByKey()
	var differing []*record
	var wanted []uint32
	for _, zone := range message.GetZones() {
		theirs := make(map[uint32]uint64, len(zone.GetMembers()))
		for _, entry := range zone.GetMembers() {
			theirs[uint32(entry>>32)] = entry
		}
		for _, member := range p.lookup().byZone[zoneKey(zone.GetZone())] {
			entry, present := theirs[member.key()]
			if entry != member.summary() {
				differing = append(differing, member)
				if present {
					wanted = append(wanted, member.key())
				}
			}
			delete(theirs, member.key())
		}
		for _, entry := range zone.GetMembers() {
			key := uint32(entry >> 32)
			if _, unmatched := theirs[key]; !unmatched {
				continue
			}
			wanted = append(wanted, key)
			if held := dead[key]; held != nil {
				differing = append(differing, held)
			}
		}
	}
	p.sendRecordsAndWants(from, differing, wanted)
}

func (p *protocol) deadByKey() map[uint32]*record {
	dead := make(map[uint32]*record)
	for _, held := range p.records {
		if held.State == Dead && held != p.self {
			dead[held.key()] = held
		}
	}
	return dead
}

func (p *protocol) receiveRecords(from netip.AddrPort, message *membershippb.Records) {
	knewNobody := p.lookup().others == 0
	p.mergeAll(from, message.GetRecords())
	p.hear(from, message.GetSender())
	if knewNobody {
		p.compareWithOwnZone()
	}
	if len(message.GetWanted()) == 0 {
		return
	}
	wanted := make(map[uint32]bool, len(message.GetWanted()))
	for _, key := range message.GetWanted() {
		wanted[key] = true
	}
	var found []*record
	index := p.lookup()
	for _, zone := range index.zones {
		for _, member := range index.byZone[zone] {
			if wanted[member.key()] {
				found = append(found, member)
			}
		}
	}
	p.sendRecords(from, found)
}

func (p *protocol) sendRecords(to netip.AddrPort, records []*record) {
	p.sendRecordsAndWants(to, records, nil)
}

// sendRecordsAndWants sends records in messages of bounded size; wants go with the first.
func (p *protocol) sendRecordsAndWants(to netip.AddrPort, records []*record, wanted []uint32) {
	for len(records) > 0 || len(wanted) > 0 {
		message := &membershippb.Records{Sender: p.sender(), Wanted: wanted}
		wanted = nil
		count := min(len(records), recordsPerMessage)
		for _, held := range records[:count] {
			message.Records = append(message.Records, held.encode(p.now))
		}
		records = records[count:]
		p.send(to, methodRecords, message)
	}
}

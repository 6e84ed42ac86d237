package membership

import (
	"net/netip"
	"slices"
	"time"

	membershippb "github.com/sloelift/sloelift/api/proto/membership"
)

// startDigests sends the digests that are due: to a random live contact, less often to an address
// that is held dead or unknown, and, while no other member is known, to seeds and listed machines.
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
		if candidates := p.candidateAddresses(); len(candidates) > 0 {
			p.sendDigest(candidates[p.random.IntN(len(candidates))])
		}
	}
}

// join sends digests to seeds and listed machines, with jittered exponential backoff while none
// answers.
func (p *protocol) join() {
	if p.now.Before(p.nextJoin) {
		return
	}
	jitter := time.Duration(p.random.Int64N(int64(p.joinPeriod)))
	p.nextJoin = p.now.Add(p.joinPeriod/2 + jitter)
	p.joinPeriod = min(2*p.joinPeriod, p.timing.MaxJoinPeriod)
	contacts := p.candidateAddresses()
	for count, position := range p.random.Perm(len(contacts)) {
		if count == joinContacts {
			return
		}
		p.sendDigest(contacts[position])
	}
}

// addContact adds an address to the seeds. A node that knows no other member asks it at the next
// tick.
func (p *protocol) addContact(address netip.AddrPort) {
	if len(p.seeds) >= maxSeeds || slices.Contains(p.seeds, address) {
		return
	}
	p.seeds = append(slices.Clone(p.seeds), address)
	p.nextJoin = p.now
}

// digestTarget returns a random contact in a random zone, so that no zone diverges from the others.
// The members of a large zone together exchange no more digests with other zones than those of a
// small one, since what one member learns spreads within its zone.
func (p *protocol) digestTarget() *record {
	index := p.lookup()
	zone := index.zones[p.random.IntN(len(index.zones))]
	if !p.selectedThisPeriod(crossZoneDigestSenders) {
		zone = p.self.zone
	}
	for _, target := range p.sample(index.contacts[zone], 1, nil) {
		return target
	}
	return nil
}

// selectedThisPeriod reports whether this member takes part in an exchange with other zones in the
// current period. On average limit members of its zone do; in a zone of at most limit members all
// do.
func (p *protocol) selectedThisPeriod(limit int) bool {
	members := len(p.lookup().byZone[p.self.zone])
	return members <= limit || p.random.IntN(members) < limit
}

// candidateAddresses returns the addresses of nodes that may be running but are not held alive
// here: seeds, listed machines and dead members that did not announce their stop. The result is
// sorted.
func (p *protocol) candidateAddresses() []netip.AddrPort {
	seen := map[netip.AddrPort]bool{p.self.PeerAddress: true}
	for _, members := range p.lookup().byZone {
		for _, member := range members {
			seen[member.PeerAddress] = true
		}
	}
	var candidates []netip.AddrPort
	add := func(address netip.AddrPort) {
		if address.IsValid() && !seen[address] {
			seen[address] = true
			candidates = append(candidates, address)
		}
	}
	for _, address := range p.seeds {
		add(address)
	}
	for _, address := range p.listed {
		add(address)
	}
	for _, known := range p.records {
		if known.State == Dead && !known.left {
			add(known.PeerAddress)
		}
	}
	sortAddresses(candidates)
	return candidates
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
	if len(digest.Revisions) > maxRevisionRuns {
		digest.Revisions = nil
	}
	return digest
}

func revisionsOf(run *membershippb.RevisionRun) Revisions {
	return Revisions{Configuration: run.GetRevision(), Replicas: run.GetReplicasRevision()}
}

func (p *protocol) receiveDigest(from netip.AddrPort, message *membershippb.Digest) {
	p.noteSender(from, message.GetSender())
	if p.redirectToOwnZone(from, message) {
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
			if p.mergeRevisions(members, theirs.GetRevisions()) {
				answerRevisions = true
			}
			continue
		}
		answer.Zones = append(answer.Zones, summaryOf(zone, members))
	}
	var unknownToSender []*record
	for _, zone := range index.zones {
		if !compared[zone] {
			unknownToSender = append(unknownToSender, index.byZone[zone]...)
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
	p.sendRecords(from, unknownToSender)
}

// mergeRevisions merges the revisions of members that both sides hold in the same state.
// knowsHigher reports whether this node holds a higher revision of any of them.
func (p *protocol) mergeRevisions(members []*record, runs []*membershippb.RevisionRun) (knowsHigher bool) {
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

// receiveSummary sends the records that the sender lacks or holds in another state, and requests
// the records that differ here.
func (p *protocol) receiveSummary(from netip.AddrPort, message *membershippb.Summary) {
	p.noteSender(from, message.GetSender())
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
			if known := dead[key]; known != nil {
				differing = append(differing, known)
			}
		}
	}
	p.sendRecordsAndWants(from, differing, wanted)
}

func (p *protocol) deadByKey() map[uint32]*record {
	dead := make(map[uint32]*record)
	for _, member := range p.records {
		if member.State == Dead && member != p.self {
			dead[member.key()] = member
		}
	}
	return dead
}

func (p *protocol) receiveRecords(from netip.AddrPort, message *membershippb.Records) {
	knewNoOthers := p.lookup().others == 0
	p.mergeAll(from, message.GetRecords())
	p.noteSender(from, message.GetSender())
	if knewNoOthers {
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

// sendRecordsAndWants sends records in messages of at most maxRecordsPerMessage; the wanted keys go
// with the first.
func (p *protocol) sendRecordsAndWants(to netip.AddrPort, records []*record, wanted []uint32) {
	for len(records) > 0 || len(wanted) > 0 {
		message := &membershippb.Records{Sender: p.sender(), Wanted: wanted}
		wanted = nil
		count := min(len(records), maxRecordsPerMessage)
		for _, member := range records[:count] {
			message.Records = append(message.Records, member.encode(p.now))
		}
		records = records[count:]
		p.send(to, methodRecords, message)
	}
}

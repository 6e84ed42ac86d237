package snapshotcache

import (
	"cmp"
	"math/rand/v2"
	"net/netip"
	"slices"
)

// origin is how a peer became known. Of peers with equally many attempts, the one with the lower origin is asked first.
type origin int

const (
	// fromOffer is a node that has offered copies.
	fromOffer origin = iota
	// fromSeed is a node named in the settings, usually one with a data folder.
	fromSeed
	// fromStoreMember is a member, or a node listed in the file, with a data folder; fromOtherMember is one without.
	fromStoreMember
	fromOtherMember
)

// maxPeers limits the number of known peers.
const maxPeers = 4096

// peer is a node that can be asked for copies.
type peer struct {
	origin origin
	// attempts counts the fetches from this peer; inFlight is set while one is in flight.
	attempts int
	inFlight bool
}

// peers chooses the nodes to fetch copies from. The cache's mutex guards it.
type peers struct {
	random *rand.Rand
	known  map[netip.AddrPort]*peer
}

func newPeers(random *rand.Rand) *peers {
	return &peers{random: random, known: map[netip.AddrPort]*peer{}}
}

// add adds nodes. A known node keeps the lower of its origins. A node that offers copies is asked next, even if it was asked before.
func (p *peers) add(origin origin, addresses ...netip.AddrPort) {
	for _, address := range addresses {
		entry := p.known[address]
		if entry == nil {
			if len(p.known) < maxPeers && address.IsValid() {
				p.known[address] = &peer{origin: origin}
			}
			continue
		}
		entry.origin = min(entry.origin, origin)
		if origin == fromOffer {
			entry.attempts = 0
		}
	}
}

// choose returns up to count nodes with no fetch in flight, ordered by attempts, then by origin, then at random. They count as in flight
// until done.
func (p *peers) choose(count int) []netip.AddrPort {
	type candidate struct {
		address netip.AddrPort
		*peer
		tiebreak uint64
	}
	var candidates []candidate
	for address, entry := range p.known {
		if !entry.inFlight {
			candidates = append(candidates, candidate{address, entry, 0})
		}
	}
	// Map iteration order is not reproducible from a seed.
	slices.SortFunc(candidates, func(a, b candidate) int { return a.address.Compare(b.address) })
	for index := range candidates {
		candidates[index].tiebreak = p.random.Uint64()
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.attempts, b.attempts), cmp.Compare(a.origin, b.origin), cmp.Compare(a.tiebreak, b.tiebreak))
	})
	var chosen []netip.AddrPort
	for _, picked := range candidates[:min(count, len(candidates))] {
		picked.inFlight = true
		picked.attempts++
		chosen = append(chosen, picked.address)
	}
	return chosen
}

// done records that the fetch from a node has ended, with or without a response.
func (p *peers) done(address netip.AddrPort) { p.known[address].inFlight = false }

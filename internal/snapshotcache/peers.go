package snapshotcache

import (
	"cmp"
	"math/rand/v2"
	"net/netip"
	"slices"
)

// origin says how a peer is known; of peers that were asked as often the lower one is asked first.
type origin int

const (
	// fromOffer is a node that says that it has copies.
	fromOffer origin = iota
	// fromSeed is a node of the settings, usually with a data folder.
	fromSeed
	// fromStores is a member, or a remembered node, with a data folder; fromOthers one without.
	fromStores
	fromOthers
)

// maxPeers bounds the nodes that are known to be asked.
const maxPeers = 4096

// peer is a node that can be asked for copies.
type peer struct {
	origin origin
	// asked is how often it was, asking that it is right now.
	asked  int
	asking bool
}

// peers chooses whom to ask. The cache's mutex guards it.
type peers struct {
	random *rand.Rand
	known  map[netip.AddrPort]*peer
}

func newPeers(random *rand.Rand) *peers {
	return &peers{random: random, known: map[netip.AddrPort]*peer{}}
}

// add adds nodes; one that is known already keeps the better of its origins. Who offers copies is asked next, though it was asked before.
func (p *peers) add(origin origin, addresses ...netip.AddrPort) {
	for _, address := range addresses {
		held := p.known[address]
		if held == nil {
			if len(p.known) < maxPeers && address.IsValid() {
				p.known[address] = &peer{origin: origin}
			}
			continue
		}
		held.origin = min(held.origin, origin)
		if origin == fromOffer {
			held.asked = 0
		}
	}
}

// choose returns up to count nodes that are not being asked: those first that were asked least, by their origins, and at random among
// equals. They count as being asked until done.
func (p *peers) choose(count int) []netip.AddrPort {
	type candidate struct {
		address netip.AddrPort
		*peer
		draw uint64
	}
	var candidates []candidate
	for address, held := range p.known {
		if !held.asking {
			candidates = append(candidates, candidate{address, held, 0})
		}
	}
	// The order of a map is no order that a seed repeats.
	slices.SortFunc(candidates, func(a, b candidate) int { return a.address.Compare(b.address) })
	for index := range candidates {
		candidates[index].draw = p.random.Uint64()
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.asked, b.asked), cmp.Compare(a.origin, b.origin), cmp.Compare(a.draw, b.draw))
	})
	var chosen []netip.AddrPort
	for _, each := range candidates[:min(count, len(candidates))] {
		each.asking = true
		each.asked++
		chosen = append(chosen, each.address)
	}
	return chosen
}

// done notes that a node that was asked has answered, or will not.
func (p *peers) done(address netip.AddrPort) { p.known[address].asking = false }

package batch

import "sync"

// placementKey identifies a placement, and the partition that keeps it: a host may be named in several ways, which differ in that.
type placementKey struct {
	keptBy    uint32
	host      string
	partition uint32
}

// placedPartitions contains the placements that this node knows to be durable. It is safe for concurrent use.
type placedPartitions struct {
	mutex sync.Mutex
	known map[placementKey]bool
}

func (p *placedPartitions) has(key placementKey) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.known[key]
}

func (p *placedPartitions) add(key placementKey) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.known == nil {
		p.known = map[placementKey]bool{}
	}
	p.known[key] = true
}

package loadshare

// Demand is a number of requests for one service.
type Demand struct {
	// InUse are callers' requests at replicas, Waiting are held back until there is room.
	InUse   int
	Waiting int
	// Batch are batch items at replicas.
	Batch int
}

// Online returns all of callers' requests.
func (d Demand) Online() int { return d.InUse + d.Waiting }

func (d Demand) plus(other Demand, sign int) Demand {
	return Demand{InUse: d.InUse + sign*other.InUse, Waiting: d.Waiting + sign*other.Waiting, Batch: d.Batch + sign*other.Batch}
}

// minus returns what is left of d without other; no number falls below zero.
func (d Demand) minus(other Demand) Demand {
	left := d.plus(other, -1)
	return Demand{InUse: max(0, left.InUse), Waiting: max(0, left.Waiting), Batch: max(0, left.Batch)}
}

// demands are the demands of services; one without any may be left out.
type demands map[string]Demand

func (d demands) add(other demands, sign int) {
	for service, each := range other {
		sum := d[service].plus(each, sign)
		if sum == (Demand{}) {
			delete(d, service)
			continue
		}
		d[service] = sum
	}
}

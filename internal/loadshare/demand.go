package loadshare

// Demand counts the requests for one service.
type Demand struct {
	// InUse is the number of callers' requests at replicas.
	InUse int
	// Waiting is the number of callers' requests that are held until a replica has capacity.
	Waiting int
	// Batch is the number of batch items at replicas.
	Batch int
}

// Online returns the number of callers' requests, at replicas or waiting.
func (d Demand) Online() int { return d.InUse + d.Waiting }

// plus returns d with sign times other added.
func (d Demand) plus(other Demand, sign int) Demand {
	return Demand{InUse: d.InUse + sign*other.InUse, Waiting: d.Waiting + sign*other.Waiting, Batch: d.Batch + sign*other.Batch}
}

// minus returns d less other; no count falls below zero.
func (d Demand) minus(other Demand) Demand {
	difference := d.plus(other, -1)
	return Demand{InUse: max(0, difference.InUse), Waiting: max(0, difference.Waiting), Batch: max(0, difference.Batch)}
}

// demands holds the demand by service. Services without demand may be left out.
type demands map[string]Demand

// add adds sign times other to d and drops services whose sum is zero.
func (d demands) add(other demands, sign int) {
	for service, change := range other {
		sum := d[service].plus(change, sign)
		if sum == (Demand{}) {
			delete(d, service)
			continue
		}
		d[service] = sum
	}
}

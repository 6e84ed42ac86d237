package loadshare

import (
	loadsharepb "github.com/sloelift/sloelift/api/proto/loadshare"
	"github.com/sloelift/sloelift/internal/replica"
)

// replicaLoads are numbers of requests at replicas; one without any may be left out.
type replicaLoads map[replica.Key]int

func encodeReplicas(loads replicaLoads) *loadsharepb.ReplicaLoads {
	encoded := &loadsharepb.ReplicaLoads{Replicas: make([]uint64, 0, len(loads)), InUse: make([]uint32, 0, len(loads))}
	for key, inUse := range loads {
		encoded.Replicas = append(encoded.Replicas, uint64(key))
		encoded.InUse = append(encoded.InUse, uint32(max(0, inUse)))
	}
	return encoded
}

// decodeReplicas takes as many entries as both lists have.
func decodeReplicas(encoded *loadsharepb.ReplicaLoads) replicaLoads {
	count := min(len(encoded.GetReplicas()), len(encoded.GetInUse()))
	loads := make(replicaLoads, count)
	for index := range count {
		loads[replica.Key(encoded.Replicas[index])] = int(encoded.InUse[index])
	}
	return loads
}

func encodeDemands(all demands) []*loadsharepb.ServiceDemand {
	encoded := make([]*loadsharepb.ServiceDemand, 0, len(all))
	for service, demand := range all {
		if demand != (Demand{}) {
			encoded = append(encoded, &loadsharepb.ServiceDemand{
				Service: service, InUse: uint32(max(0, demand.InUse)), Waiting: uint32(max(0, demand.Waiting)), Batch: uint32(max(0, demand.Batch)),
			})
		}
	}
	return encoded
}

func decodeDemands(encoded []*loadsharepb.ServiceDemand) demands {
	decoded := make(demands, len(encoded))
	for _, each := range encoded {
		decoded[each.Service] = Demand{InUse: int(each.InUse), Waiting: int(each.Waiting), Batch: int(each.Batch)}
	}
	return decoded
}

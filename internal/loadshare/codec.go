package loadshare

import (
	loadsharepb "github.com/sloelift/sloelift/api/proto/loadshare"
	"github.com/sloelift/sloelift/internal/replica"
)

// replicaLoads is the load of one or more nodes by replica. Replicas without load may be left out.
type replicaLoads map[replica.Key]replica.Use

func encodeReplicas(loads replicaLoads) *loadsharepb.ReplicaLoads {
	encoded := &loadsharepb.ReplicaLoads{
		Replicas: make([]uint64, 0, len(loads)), InUse: make([]uint32, 0, len(loads)), Reading: make([]uint32, 0, len(loads)),
		Avoiding: make([]uint32, 0, len(loads)),
	}
	for key, use := range loads {
		encoded.Replicas = append(encoded.Replicas, uint64(key))
		encoded.InUse = append(encoded.InUse, uint32(max(0, use.Requests)))
		encoded.Reading = append(encoded.Reading, uint32(max(0, use.Reading)))
		encoded.Avoiding = append(encoded.Avoiding, uint32(max(0, use.Avoiding)))
	}
	return encoded
}

// decodeReplicas decodes as many entries as the shortest of the lists has.
func decodeReplicas(encoded *loadsharepb.ReplicaLoads) replicaLoads {
	count := min(len(encoded.GetReplicas()), len(encoded.GetInUse()), len(encoded.GetReading()), len(encoded.GetAvoiding()))
	loads := make(replicaLoads, count)
	for index := range count {
		loads[replica.Key(encoded.Replicas[index])] = replica.Use{
			Requests: int(encoded.InUse[index]), Reading: int(encoded.Reading[index]), Avoiding: int(encoded.Avoiding[index]),
		}
	}
	return loads
}

func encodeDemands(all demands) []*loadsharepb.ServiceDemand {
	encoded := make([]*loadsharepb.ServiceDemand, 0, len(all))
	for service, demand := range all {
		if demand != (Demand{}) {
			encoded = append(encoded, &loadsharepb.ServiceDemand{
				Service: service, InUse: uint32(max(0, demand.InUse)), Waiting: uint32(max(0, demand.Waiting)),
				Batch: uint32(max(0, demand.Batch)),
			})
		}
	}
	return encoded
}

func decodeDemands(encoded []*loadsharepb.ServiceDemand) demands {
	decoded := make(demands, len(encoded))
	for _, demand := range encoded {
		decoded[demand.Service] = Demand{InUse: int(demand.InUse), Waiting: int(demand.Waiting), Batch: int(demand.Batch)}
	}
	return decoded
}

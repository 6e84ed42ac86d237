package roster

import (
	"net/netip"
	"time"

	rosterpb "github.com/sloelift/sloelift/api/proto/roster"
	"github.com/sloelift/sloelift/internal/replica"
)

func encode(info replica.Info) *rosterpb.Replica {
	return &rosterpb.Replica{
		Id:            info.ID,
		Born:          info.Born,
		Service:       info.Service,
		Zone:          info.Zone,
		Address:       info.Address.String(),
		Slots:         uint32(info.Slots),
		Draining:      info.Draining,
		ColdForMicros: info.ColdFor.Microseconds(),
		Version:       info.Version,
	}
}

func decode(message *rosterpb.Replica) (replica.Info, error) {
	address, err := netip.ParseAddrPort(message.GetAddress())
	return replica.Info{
		ID:       message.GetId(),
		Born:     message.GetBorn(),
		Service:  message.GetService(),
		Zone:     message.GetZone(),
		Address:  address,
		Slots:    int(message.GetSlots()),
		Draining: message.GetDraining(),
		ColdFor:  time.Duration(message.GetColdForMicros()) * time.Microsecond,
		Version:  message.GetVersion(),
	}, err
}

func encodeElsewhere(slots map[string]int) []*rosterpb.ServiceSlots {
	encoded := make([]*rosterpb.ServiceSlots, 0, len(slots))
	for service, count := range slots {
		if count > 0 {
			encoded = append(encoded, &rosterpb.ServiceSlots{Service: service, Slots: uint32(count)})
		}
	}
	return encoded
}

func decodeElsewhere(encoded []*rosterpb.ServiceSlots) map[string]int {
	slots := make(map[string]int, len(encoded))
	for _, message := range encoded {
		slots[message.GetService()] = int(message.GetSlots())
	}
	return slots
}

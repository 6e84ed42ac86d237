package replica_test

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/sloelift/sloelift/internal/replica"
	"github.com/sloelift/sloelift/internal/replica/replicatest"
)

func parseBorn(body []byte) (load replica.Load, err error) {
	err = json.Unmarshal(body, &load)
	return load, err
}

// TestReportOfAnotherLifeIsNotNoted: a report says of which life it is, where it says so; one of a later life shows that the one that was
// asked has ended.
func TestReportOfAnotherLifeIsNotNoted(t *testing.T) {
	address := netip.MustParseAddrPort("127.0.0.1:1000")
	for _, test := range []struct {
		name              string
		entry, report     int64
		isNoted, hasEnded bool
	}{
		{"same life", 100, 100, true, false}, {"later life", 100, 200, false, true}, {"earlier life", 200, 100, false, false},
		{"entry does not say", 0, 100, true, false}, {"report does not say", 100, 0, true, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			body := fmt.Sprintf(`{"Running":3,"Born":%d}`, test.report)
			network := &replicatest.Network{Scripts: map[netip.AddrPort]replicatest.Script{address: replicatest.Answer(200, "", body)}}
			defer network.CloseAll()
			handle := replica.NewHandle(replica.Info{ID: "a", Service: "s", Address: address, Slots: 8, Born: test.entry})
			err := replica.NewClient(network, replicatest.Headers).Ask(t.Context(), handle, replica.LoadReport{Path: "/load", Parse: parseBorn})
			if (err == nil) != test.isNoted {
				t.Errorf("the report is noted: %v, want %t", err, test.isNoted)
			}
			if ended := handle.Down(time.Now()); ended != test.hasEnded {
				t.Errorf("the replica is down: %t, want %t", ended, test.hasEnded)
			}
		})
	}
}

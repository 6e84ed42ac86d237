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

// TestLoadReportOfAnotherIncarnationIsRejected checks that a load report of another incarnation is not recorded, and that one of a later
// incarnation shows that the one in the directory has ended. A report or entry without a start time matches any incarnation.
func TestLoadReportOfAnotherIncarnationIsRejected(t *testing.T) {
	address := netip.MustParseAddrPort("127.0.0.1:1000")
	for _, test := range []struct {
		name              string
		entry, report     int64
		isNoted, hasEnded bool
	}{
		{"same incarnation", 100, 100, true, false},
		{"later incarnation", 100, 200, false, true},
		{"earlier incarnation", 200, 100, false, false},
		{"no start time in the entry", 0, 100, true, false},
		{"no start time in the report", 100, 0, true, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			body := fmt.Sprintf(`{"Running":3,"Born":%d}`, test.report)
			network := &replicatest.Network{Scripts: map[netip.AddrPort]replicatest.Script{address: replicatest.Answer(200, "", body)}}
			defer network.CloseAll()
			handle := replica.NewHandle(replica.Info{ID: "a", Service: "s", Address: address, Slots: 8, Born: test.entry})
			err := replica.NewClient(network, replicatest.Headers).PollLoad(t.Context(), handle,
				replica.LoadReport{Path: "/load", Parse: parseBorn})
			if (err == nil) != test.isNoted {
				t.Errorf("PollLoad returned error %v, want report recorded %t", err, test.isNoted)
			}
			if ended := handle.Down(time.Now()); ended != test.hasEnded {
				t.Errorf("replica is down: %t, want %t", ended, test.hasEnded)
			}
		})
	}
}

// TestLoadReportWithAnInvalidHeadIsNotRecorded: such a report is not the replica's, and confirms no incarnation.
func TestLoadReportWithAnInvalidHeadIsNotRecorded(t *testing.T) {
	const body = `{"Running":3,"Born":100}`
	for name, head := range map[string]string{
		"status 000":               "HTTP/1.1 000 \r\nContent-Length: %d\r\n\r\n%s",
		"blank in a name":          "HTTP/1.1 200 OK\r\nX Odd: 1\r\nContent-Length: %d\r\n\r\n%s",
		"blank behind the framing": "HTTP/1.1 200 OK\r\nContent-Length : %d\r\n\r\n%s",
	} {
		t.Run(name, func(t *testing.T) {
			client, handle := callWithScript(t, replicatest.Closing(replicatest.Raw(fmt.Sprintf(head, len(body), body))))
			report := replica.LoadReport{Path: "/load", Parse: parseBorn}
			if err := client.PollLoad(t.Context(), handle, report); err == nil || handle.Occupancy(time.Now()) > 0 {
				t.Errorf("the load is recorded, error %v", err)
			}
		})
	}
}

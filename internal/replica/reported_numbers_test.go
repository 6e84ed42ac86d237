package replica_test

import (
	"fmt"
	"math"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/sloelift/sloelift/internal/replica"
	"github.com/sloelift/sloelift/internal/replica/replicatest"
)

// TestLoadReportWithImpossibleNumbersIsNotRecorded: such a number would go into the occupancy by which replicas are chosen.
func TestLoadReportWithImpossibleNumbersIsNotRecorded(t *testing.T) {
	for _, running := range []int64{-1, math.MinInt64, 1<<20 + 1, math.MaxInt64} {
		t.Run(fmt.Sprint(running), func(t *testing.T) {
			body := fmt.Sprintf(`{"Running":%d}`, running)
			client, handle := callWithScript(t, replicatest.Answer(http.StatusOK, "", body))
			if err := client.PollLoad(t.Context(), handle, replica.LoadReport{Path: "/load", Parse: parseBorn}); err == nil {
				t.Error("the report is recorded")
			}
			header := fmt.Sprintf("%sX-Load: %d,0,8\r\n", replicatest.Signed, running)
			client, handle = callWithScript(t, replicatest.Answer(http.StatusOK, header, ""))
			answer, err := client.Do(t.Context(), handle, callWithID("i"))
			if err != nil {
				t.Fatal(err)
			}
			answer.Close(true)
			if occupancy := handle.Occupancy(time.Now()); occupancy != 0 {
				t.Errorf("occupancy %g", occupancy)
			}
		})
	}
}

// TestColdTimeWithoutMeaningIsNotRecorded: a replica that reported an endless cold time would have stayed cold for good.
func TestColdTimeWithoutMeaningIsNotRecorded(t *testing.T) {
	headers := replicatest.Headers
	headers.ColdFor = "X-Cold"
	for value, want := range map[string]time.Duration{
		"1e300": 0, "Inf": 0, "NaN": 0, "-1": 0, "86400001": 0, "1500": 1500 * time.Millisecond, "86400000": replica.MaxColdFor,
	} {
		t.Run(value, func(t *testing.T) {
			address := netip.MustParseAddrPort("127.0.0.1:1000")
			script := replicatest.Answer(http.StatusOK, replicatest.Signed+"X-Cold: "+value+"\r\n", "")
			network := &replicatest.Network{Scripts: map[netip.AddrPort]replicatest.Script{address: script}}
			defer network.CloseAll()
			handle := replica.NewHandle(replica.Info{ID: "a", Service: "s", Address: address, Slots: 1})
			handle.SetColdBounded(true)
			began := time.Now()
			answer, err := replica.NewClient(network, headers).Do(t.Context(), handle, callWithID("i"))
			if err != nil {
				t.Fatal(err)
			}
			answer.Close(true)
			took := time.Since(began)
			if got := handle.ColdFor(began); got < want || got > want+took {
				t.Errorf("cold for %s, want %s", got, want)
			}
		})
	}
}

// TestLongKeepAliveTimeoutKeepsTheConnection: a timeout in seconds that no duration holds was read as none.
func TestLongKeepAliveTimeoutKeepsTheConnection(t *testing.T) {
	for _, timeout := range []string{"5", "86400", "9223372036", "9223372037", "18446744073", "9223372036854775807"} {
		client, handle := callWithScript(t, replicatest.Answer(http.StatusOK, replicatest.Signed+"Keep-Alive: timeout="+timeout+"\r\n", ""))
		answer, err := client.Do(t.Context(), handle, callWithID("i"))
		if err != nil {
			t.Fatal(err)
		}
		answer.Close(true)
		if !handle.KeptAlive() {
			t.Errorf("timeout %s: the connection is not kept", timeout)
		}
	}
}

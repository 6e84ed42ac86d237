package settings

import (
	"fmt"
	"net/netip"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
)

const validFile = `node: shadman-1
region: lahore
zone: shadman-hall
callerAddress: 127.0.0.1:8080
adminAddress: 127.0.0.1:8090
peerAddress: 127.0.0.1:8070
platform:
  keyValue: [127.0.0.1:2379]
  machineList: 127.0.0.1:2380
  weightStore: 127.0.0.1:2380
`

// TestSettingsFiles parses each input; inputs marked "base" are appended to validFile.
func TestSettingsFiles(t *testing.T) {
	datadriven.RunTest(t, "testdata/files", func(t *testing.T, data *datadriven.TestData) string {
		source := data.Input + "\n"
		if data.HasArg("base") {
			source = validFile + source
		}
		loaded, err := Parse([]byte(source), Overrides{})
		if err != nil {
			return err.Error() + "\n"
		}
		return fmt.Sprintf("node=%s drainTimeout=%s seedPeers=%v\n", loaded.Node, loaded.Limits.DrainTimeout, loaded.SeedPeers)
	})
}

func TestOverridesTakePrecedence(t *testing.T) {
	want := netip.MustParseAddrPort("127.0.0.1:9090")
	source := strings.ReplaceAll(validFile, "zone: shadman-hall\n", "")
	loaded, err := Parse([]byte(source), Overrides{AdminAddress: want, Zone: "gulberg-hall"})
	if err != nil {
		t.Fatal(err)
	}
	if loaded.AdminAddress != want || loaded.Zone != "gulberg-hall" || loaded.Node != "shadman-1" {
		t.Errorf("overrides not applied: %+v", loaded)
	}
}

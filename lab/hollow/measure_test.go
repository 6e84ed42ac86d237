package hollow

import (
	"encoding/json"
	"flag"
	"os"
	"testing"
	"testing/synctest"
	"time"
)

// Flags of TestMeasure, which is a tool rather than a check. In virtual time a busy
// machine affects no figure but the CPU share, which is CPU time per virtual time.
var (
	measureNodes    = flag.Int("hollow.nodes", 0, "number of nodes to measure in virtual time; 0 skips the measurement")
	measureReplicas = flag.Int("hollow.replicas", 0, "replicas")
	measureDuration = flag.Duration("hollow.duration", time.Minute, "virtual duration of the measured part")
	measureFailures = flag.Float64("hollow.failures", 1700, "failures a day")
	measureFleet    = flag.Bool("hollow.fleet", true, "run the fleet slice")
	measureFaults   = flag.Bool("hollow.faults", true, "lose a zone and cut a region")
	measureJSON     = flag.Bool("hollow.json", false, "print one JSON object")
)

func TestMeasure(t *testing.T) {
	if *measureNodes == 0 {
		t.Skip("nothing to measure: -hollow.nodes is not given")
	}
	synctest.Test(t, func(t *testing.T) {
		result, err := Run(t.Context(), Options{
			Nodes: *measureNodes, Replicas: *measureReplicas, Zones: 7, Regions: 3, Tenants: 300,
			Duration: *measureDuration, RestartsPerDay: 41000, FailuresPerDay: *measureFailures,
			ConfigInterval: 2 * time.Second, Faults: *measureFaults, Fleet: *measureFleet, Seed: 1,
		})
		if err != nil {
			t.Fatal(err)
		}
		if *measureJSON {
			err = json.NewEncoder(os.Stdout).Encode(result)
		} else {
			err = result.print(os.Stdout)
		}
		if err != nil {
			t.Fatal(err)
		}
	})
}

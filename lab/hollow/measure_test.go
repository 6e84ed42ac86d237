package hollow

import (
	"encoding/json"
	"flag"
	"os"
	"testing"
	"testing/synctest"
	"time"
)

// Flags of TestMeasure. It is a tool rather than a check: on virtual time a busy
// machine changes no figure but the CPU share, which is CPU time by virtual time.
var (
	measureNodes    = flag.Int("hollow.nodes", 0, "measure so many nodes on virtual time; 0 does not")
	measureReplicas = flag.Int("hollow.replicas", 0, "replicas")
	measureDuration = flag.Duration("hollow.duration", time.Minute, "virtual length of the measured part")
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

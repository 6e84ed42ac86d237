package hollow

import (
	"fmt"
	"io"
	"maps"
	"math"
	"slices"
	"sort"
	"time"
)

// Spread summarizes a set of figures.
type Spread struct {
	Count int     `json:"count"`
	Mean  float64 `json:"mean"`
	P50   float64 `json:"p50"`
	P95   float64 `json:"p95"`
	P99   float64 `json:"p99"`
	Max   float64 `json:"max"`
}

func spreadOf(values []float64) Spread {
	if len(values) == 0 {
		return Spread{}
	}
	sorted := slices.Sorted(slices.Values(values))
	var sum float64
	for _, value := range sorted {
		sum += value
	}
	return Spread{
		Count: len(sorted),
		Mean:  sum / float64(len(sorted)),
		P50:   quantile(sorted, 0.50),
		P95:   quantile(sorted, 0.95),
		P99:   quantile(sorted, 0.99),
		Max:   sorted[len(sorted)-1],
	}
}

// quantile returns the smallest of the sorted values that at least the given share of them does not exceed.
func quantile(sorted []float64, share float64) float64 {
	position := int(math.Ceil(share*float64(len(sorted)))) - 1
	return sorted[max(position, 0)]
}

// Phase holds the figures of one part of a run. Rates are per node.
type Phase struct {
	Name    string  `json:"name"`
	Seconds float64 `json:"seconds"`
	// CPUShare is the share of one core. The CPU time of the process, including that of
	// the in-memory network, the simulated services and the measurement, is divided among
	// the nodes in proportion to the frames that each sent and received.
	CPUShare Spread `json:"cpu_share"`
	// BytesPerSecond counts bytes sent plus received, including HTTP traffic with simulated services.
	BytesPerSecond Spread `json:"bytes_per_second"`
	// ByMethod is BytesPerSecond by message type.
	ByMethod map[string]Spread `json:"bytes_per_second_by_method"`
	// BusyShare is the share of wall-clock time that the control goroutine of each slice spent
	// on events. On a busy machine it includes waiting for a core.
	BusyShare map[string]Spread `json:"control_goroutine_busy_share"`
	// Changes counts the membership changes that nodes saw, summed over all nodes, by kind.
	Changes map[string]float64 `json:"membership_changes"`
	// KeyValuePerSecond is the rate of operations of all nodes together.
	KeyValuePerSecond float64 `json:"key_value_operations_per_second"`
}

// Result is the result of a run. Times are in milliseconds.
type Result struct {
	Options Options `json:"options"`
	// StartMillis is the time from the start of the last node until all nodes saw each other
	// as alive and had the configuration.
	StartMillis float64 `json:"start_ms"`
	// ResidentBytes is the growth of the live heap by the start, per node; StackBytes is that
	// of the goroutine stacks.
	ResidentBytes float64 `json:"resident_bytes_per_node"`
	StackBytes    float64 `json:"stack_bytes_per_node"`
	Phases        []Phase `json:"phases"`
	// ConfigSpread is the time from the return of Apply until the revision is in force, for
	// each node that was up and reachable; ConfigMissing counts the nodes it never reached.
	ConfigSpread  Spread `json:"config_spread_ms"`
	ConfigMissing int    `json:"config_missing"`
	Applied       int    `json:"config_applied"`
	RevisionsBack int    `json:"config_revisions_back"`
	// DetectedInZone and DetectedEverywhere are the times from a machine's failure until all
	// others in its zone, and all others in total, saw it as dead.
	DetectedInZone     Spread `json:"detected_in_zone_ms"`
	DetectedEverywhere Spread `json:"detected_everywhere_ms"`
	NotDetected        int    `json:"not_detected"`
	// FalseDeaths counts pairs of nodes of which one saw the other as dead although both
	// had been up for minUptime and no region had been isolated for as long.
	FalseDeaths int `json:"false_deaths"`
	Restarts    int `json:"restarts"`
	Failures    int `json:"failures"`
	// ZoneLostMillis is the time until all survivors saw the whole lost zone as dead, and
	// RegionHealMillis the time from the heal until no node saw another as dead; -1 means
	// longer than the phase.
	ZoneLostMillis   float64 `json:"zone_lost_ms,omitempty"`
	RegionHealMillis float64 `json:"region_heal_ms,omitempty"`
	LoadAverage      string  `json:"machine_load_average"`
}

func (r Result) print(out io.Writer) error {
	_, err := fmt.Fprintf(out, `nodes %d, replicas %d, zones %d, regions %d
joined after last start %.0f ms
live heap per node      %.0f KB, stacks %.0f KB
config spread           p50 %.0f ms, p99 %.0f ms, max %.0f ms; %d applied, %d missing, %d went back
dead known in its zone  p50 %.0f ms, max %.0f ms of %d; everywhere p50 %.0f ms, max %.0f ms; %d not detected
false deaths            %d
restarts, failures      %d, %d
lost zone known dead    %.0f ms; region healed %.0f ms
`,
		r.Options.Nodes, r.Options.Replicas, r.Options.Zones, r.Options.Regions,
		r.StartMillis, r.ResidentBytes/kilobyte, r.StackBytes/kilobyte,
		r.ConfigSpread.P50, r.ConfigSpread.P99, r.ConfigSpread.Max, r.Applied, r.ConfigMissing, r.RevisionsBack,
		r.DetectedInZone.P50, r.DetectedInZone.Max, r.DetectedInZone.Count,
		r.DetectedEverywhere.P50, r.DetectedEverywhere.Max, r.NotDetected,
		r.FalseDeaths, r.Restarts, r.Failures, r.ZoneLostMillis, r.RegionHealMillis)
	if err != nil {
		return err
	}
	for _, phase := range r.Phases {
		if err := phase.print(out); err != nil {
			return err
		}
	}
	return nil
}

const kilobyte = 1024

func (p Phase) print(out io.Writer) error {
	_, err := fmt.Fprintf(out, `%s (%.0f s): core p50 %.2f%%, p95 %.2f%%, max %.2f%%; bytes/s p50 %.0f, p95 %.0f, max %.0f; key-value %.1f/s
`,
		p.Name, p.Seconds, 100*p.CPUShare.P50, 100*p.CPUShare.P95, 100*p.CPUShare.Max,
		p.BytesPerSecond.P50, p.BytesPerSecond.P95, p.BytesPerSecond.Max, p.KeyValuePerSecond)
	if err != nil {
		return err
	}
	for _, kind := range slices.Sorted(maps.Keys(p.Changes)) {
		if _, err := fmt.Fprintf(out, "  members seen %-10s %.0f\n", kind, p.Changes[kind]); err != nil {
			return err
		}
	}
	for _, slice := range slices.Sorted(maps.Keys(p.BusyShare)) {
		busy := p.BusyShare[slice]
		if _, err := fmt.Fprintf(out, "  %s control goroutine busy p50 %.3f%%, max %.3f%%\n", slice, 100*busy.P50, 100*busy.Max); err != nil {
			return err
		}
	}
	methods := slices.Collect(maps.Keys(p.ByMethod))
	sort.Slice(methods, func(i, j int) bool { return p.ByMethod[methods[i]].Mean > p.ByMethod[methods[j]].Mean })
	for _, method := range methods {
		rate := p.ByMethod[method]
		if _, err := fmt.Fprintf(out, "  %-28s mean %7.0f  p95 %7.0f  max %7.0f\n", method, rate.Mean, rate.P95, rate.Max); err != nil {
			return err
		}
	}
	return nil
}

func millis(duration time.Duration) float64 { return float64(duration.Microseconds()) / 1000 }

package engine

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
)

// TestScheduler runs the commands "enqueue", "step" and "remove" against a scheduler and prints its state after each step.
func TestScheduler(t *testing.T) {
	datadriven.RunTest(t, "testdata/scheduler", func(t *testing.T, data *datadriven.TestData) string {
		options := DefaultOptions("replica", 3400000)
		options.MaxRunning, options.PrefillChunk = 2, 100
		model := scheduler{options: &options}
		runs := map[string]*run{}
		var output strings.Builder
		for line := range strings.Lines(data.Input) {
			fields := strings.Fields(line)
			switch fields[0] {
			case "enqueue":
				entry := &run{id: fields[1], arrival: uint64(len(runs))}
				_, err := fmt.Sscan(strings.Join(fields[2:], " "), &entry.priority, &entry.prefillLeft, &entry.answer.Tokens)
				if err != nil {
					t.Fatal(err)
				}
				runs[entry.id] = entry
				model.enqueue(entry)
			case "remove":
				model.remove(runs[fields[1]])
			case "step":
				model.admit()
				fmt.Fprintf(&output, "%v:", model.plan())
				finished := model.complete()
				for _, entry := range model.running {
					fmt.Fprintf(&output, " %s(prefill %d, made %d)", entry.id, entry.prefillLeft, entry.produced)
				}
				for _, entry := range finished {
					fmt.Fprintf(&output, " %s(finished)", entry.id)
				}
				fmt.Fprintf(&output, " waiting %d\n", len(model.waiting))
			}
		}
		return output.String()
	})
}

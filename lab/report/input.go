package report

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"

	"github.com/sloelift/sloelift/lab/experiment"
)

// Input is the content of a report: comparisons of policies and runs of scenarios.
type Input struct {
	Comparisons []experiment.Comparison
	Runs        []experiment.Result
}

// ReadFiles reads the JSON that the demo and experiment commands print.
func ReadFiles(paths []string) (Input, error) {
	var input Input
	for _, path := range paths {
		content, err := os.ReadFile(path)
		if err != nil {
			return Input{}, err
		}
		if err := input.add(content); err != nil {
			return Input{}, fmt.Errorf("%s: %w", path, err)
		}
	}
	return input, nil
}

// add adds the JSON of a list of results, a comparison or one result.
func (i *Input) add(content []byte) error {
	if bytes.HasPrefix(bytes.TrimSpace(content), []byte("[")) {
		var runs []experiment.Result
		if err := json.Unmarshal(content, &runs); err != nil {
			return err
		}
		i.Runs = append(i.Runs, runs...)
		return nil
	}
	var comparison experiment.Comparison
	if err := json.Unmarshal(content, &comparison); err != nil {
		return err
	}
	if len(comparison.Runs) > 0 {
		i.Comparisons = append(i.Comparisons, comparison)
		return nil
	}
	var run experiment.Result
	if err := json.Unmarshal(content, &run); err != nil {
		return err
	}
	if run.Profile == "" {
		return fmt.Errorf("neither a result nor a comparison")
	}
	i.Runs = append(i.Runs, run)
	return nil
}

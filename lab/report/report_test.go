package report

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/sloelift/sloelift/lab/experiment"
	"github.com/sloelift/sloelift/lab/load"
)

func TestPageShowsComparisonsAndRuns(t *testing.T) {
	folder := t.TempDir()
	write := func(name string, value any) string {
		content, err := json.Marshal(value)
		if err != nil {
			t.Fatal(err)
		}
		path := filepath.Join(folder, name)
		if err := os.WriteFile(path, content, 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	run := experiment.Result{Profile: "registry", Scenario: "disk-lost", Verdict: load.Verdict{Lost: 3, Broken: []string{"item 7: no result"}}}
	comparison := experiment.Comparison{
		Profile: "registry", Seeds: []uint64{1}, Runs: []experiment.Result{run},
		Medians: []experiment.PolicySummary{{Policy: experiment.PolicyFIFO, FirstTokenP99: 12.5}, {Policy: experiment.PolicySloelift, FirstTokenP99: 8}},
	}
	input, err := ReadFiles([]string{write("a.json", comparison), write("b.json", []experiment.Result{run})})
	if err != nil {
		t.Fatal(err)
	}
	var page strings.Builder
	if err := Write(&page, input); err != nil {
		t.Fatal(err)
	}
	for _, wanted := range []string{"disk-lost", "item 7: no result", "12.5", "data:image/png;base64,"} {
		if !strings.Contains(page.String(), wanted) {
			t.Errorf("the page lacks %q", wanted)
		}
	}
}

func TestReadFilesRefusesOtherJSON(t *testing.T) {
	path := filepath.Join(t.TempDir(), "x.json")
	if err := os.WriteFile(path, []byte(`{"a":1}`), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := ReadFiles([]string{path}); err == nil {
		t.Fatal("accepted")
	}
}

package config

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"github.com/sloelift/sloelift/internal/strictyaml"
)

// TestBadFiles checks each file of testdata/bad alone. A file without an expected
// output in testdata/bad_files fails the test.
func TestBadFiles(t *testing.T) {
	paths, err := filepath.Glob("testdata/bad/*.yaml")
	if err != nil || len(paths) == 0 {
		t.Fatalf("no bad files: %v", err)
	}
	unchecked := map[string]bool{}
	for _, path := range paths {
		unchecked[filepath.Base(path)] = true
	}
	datadriven.RunTest(t, "testdata/bad_files", func(t *testing.T, data *datadriven.TestData) string {
		name := data.CmdArgs[0].Key
		delete(unchecked, name)
		return validateAlone(t, filepath.Join("testdata/bad", name))
	})
	for name := range unchecked {
		t.Errorf("testdata/bad_files does not check %s", name)
	}
}

func validateAlone(t *testing.T, path string) string {
	t.Helper()
	content, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	file, err := Parse(content)
	if err != nil {
		return err.Error() + "\n"
	}
	invalid := CheckTogether(map[string]*File{"": file})
	if len(invalid) != 1 {
		t.Fatalf("%s: wanted one error, got %v", path, invalid)
	}
	return invalid[0].Error() + "\n"
}

// maxErrorBytes is the largest size allowed for the error text of any file.
const maxErrorBytes = 64 << 10

func TestParseKeepsHugeInputBounded(t *testing.T) {
	const size = strictyaml.MaxBytes / 4
	inputs := map[string]string{
		"file too large":      strings.Repeat("# comment\n", 1<<17),
		"flow nesting":        "kind: Model\nname: " + strings.Repeat("[", size),
		"entries in one line": strings.Repeat("- ", size/2) + "x",
		"explicit keys":       strings.Repeat("? ", size/2) + "x",
		"indentation":         nestedMapping(500),
		"many documents":      strings.Repeat("a: b\n---\n", size/9),
		"many problems":       strings.Repeat("kind: Model\n---\n", strictyaml.MaxDocuments-1),
		"keys":                manyKeys(size / 12),
		"repeated keys":       "kind: Model\n" + strings.Repeat("name: x\n", size/8),
		"empty values":        "kind: Model\n" + strings.Repeat("a:\n", size/3),
		"empty entries":       strings.Repeat("-\n", size/2),
		"flow mapping":        "kind: Model\nname: {" + strings.Repeat("a: b,", size/5) + "}\n",
		"long name":           "kind: Model\nname: " + strings.Repeat("x", size),
		"long key":            "kind: Model\n" + strings.Repeat("k", size) + ": 1\n",
	}
	for name, input := range inputs {
		t.Run(name, func(t *testing.T) {
			_, err := Parse([]byte(input))
			if _, isInvalid := err.(*ValidationError); !isInvalid {
				t.Fatalf("wanted a ValidationError, got %v", err)
			}
			if length := len(err.Error()); length > maxErrorBytes {
				t.Errorf("the error has %d bytes", length)
			}
		})
	}
}

func manyKeys(count int) string {
	var text strings.Builder
	text.WriteString("kind: Model\n")
	for index := range count {
		fmt.Fprintf(&text, "k%d: 1\n", index)
	}
	return text.String()
}

func nestedMapping(depth int) string {
	var text strings.Builder
	for level := range depth {
		text.WriteString(strings.Repeat(" ", level) + "a:\n")
	}
	return text.String()
}

func FuzzParse(f *testing.F) {
	paths, err := filepath.Glob("testdata/bad/*.yaml")
	if err != nil {
		f.Fatal(err)
	}
	for _, path := range paths {
		content, err := os.ReadFile(path)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(content)
	}
	f.Fuzz(func(t *testing.T, content []byte) {
		file, err := Parse(content)
		if err != nil {
			return
		}
		for _, declaration := range file.Declarations {
			again, err := Parse([]byte(declaration.YAML()))
			if err != nil {
				t.Fatalf("%s: its own YAML is refused: %v\n%s", declaration.ID, err, declaration.YAML())
			}
			if written := again.Declarations[0].YAML(); written != declaration.YAML() {
				t.Fatalf("%s changed:\n%s\n%s", declaration.ID, declaration.YAML(), written)
			}
		}
	})
}

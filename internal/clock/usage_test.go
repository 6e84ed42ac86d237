package clock

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// counting are the packages whose leases, ages, terms and deadlines other nodes rely on.
var counting = []string{
	"batch", "changefeed", "coldstart", "config/relay", "discovery", "forward", "job", "ledger", "loadshare", "membership", "pause", "quarantine", "quota",
	"replica", "roster", "snapshotcache", "unreached",
}

// ofDay are the files in which package time tells the time of day, a deadline of a connection or an incarnation, by number of uses.
var ofDay = map[string]int{
	"batch/door.go": 1, "batch/partition.go": 1, "forward/handler.go": 1, "membership/fx.go": 1,
	"job/item_record.go": 1, "job/item_result.go": 1, "job/owner_files.go": 1, "job/owner_jobs.go": 3, "job/owner_keys.go": 2,
}

// TestTimesCountSuspension: Go's steady clock stands still while the machine is suspended.
func TestTimesCountSuspension(t *testing.T) {
	for _, name := range counting {
		walk := func(path string, entry fs.DirEntry, err error) error {
			if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			relative := strings.TrimPrefix(filepath.ToSlash(path), "../")
			if uses := usesOfSteadyClock(t, path); uses != ofDay[relative] {
				t.Errorf("%s reads the clock of package time %d times, want %d", relative, uses, ofDay[relative])
			}
			return nil
		}
		if err := filepath.WalkDir(filepath.Join("..", name), walk); err != nil {
			t.Fatal(err)
		}
	}
}

// usesOfSteadyClock counts the uses of time.Now, time.Since and time.Until in a file.
func usesOfSteadyClock(t *testing.T, path string) int {
	t.Helper()
	parsed, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	uses := 0
	ast.Inspect(parsed, func(node ast.Node) bool {
		selector, is := node.(*ast.SelectorExpr)
		if !is {
			return true
		}
		if of, named := selector.X.(*ast.Ident); named && of.Name == "time" && slices.Contains([]string{"Now", "Since", "Until"}, selector.Sel.Name) {
			uses++
		}
		return true
	})
	return uses
}

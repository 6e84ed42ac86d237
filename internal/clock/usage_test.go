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

// suspensionAwarePackages are the packages with leases, ages, terms and deadlines on which other nodes rely.
var suspensionAwarePackages = []string{
	"batch", "changefeed", "coldstart", "config/relay", "discovery", "forward", "job", "ledger", "loadshare", "membership", "pause", "quarantine", "quota",
	"replica", "roster", "snapshotcache", "unreached",
}

// allowedUses maps files to their number of legitimate uses of package time: for the time of day, the deadline of a connection or an
// incarnation.
var allowedUses = map[string]int{
	"batch/client.go": 1, "batch/partition.go": 1, "forward/handler.go": 1, "membership/fx.go": 1,
	"job/item_record.go": 1, "job/item_result.go": 1, "job/owner_files.go": 1, "job/owner_jobs.go": 3, "job/owner_keys.go": 2,
}

// TestTimesCountSuspension guards against uses of package time where package clock is needed: Go's monotonic clock stops while the
// machine is suspended.
func TestTimesCountSuspension(t *testing.T) {
	for _, name := range suspensionAwarePackages {
		walk := func(path string, entry fs.DirEntry, err error) error {
			if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			relative := strings.TrimPrefix(filepath.ToSlash(path), "../")
			if uses := countTimeUses(t, path); uses != allowedUses[relative] {
				t.Errorf("%s uses the clock of package time %d times, want %d", relative, uses, allowedUses[relative])
			}
			return nil
		}
		if err := filepath.WalkDir(filepath.Join("..", name), walk); err != nil {
			t.Fatal(err)
		}
	}
}

// countTimeUses returns the number of uses of time.Now, time.Since and time.Until in a file.
func countTimeUses(t *testing.T, path string) int {
	t.Helper()
	parsed, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	uses := 0
	ast.Inspect(parsed, func(node ast.Node) bool {
		selector, isSelector := node.(*ast.SelectorExpr)
		if !isSelector {
			return true
		}
		if identifier, isIdentifier := selector.X.(*ast.Ident); isIdentifier && identifier.Name == "time" && slices.Contains([]string{"Now", "Since", "Until"}, selector.Sel.Name) {
			uses++
		}
		return true
	})
	return uses
}

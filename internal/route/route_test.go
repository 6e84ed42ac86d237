package route

import "testing"

func testTable(version int64) *Table {
	return NewTable(version, []*Route{
		{Name: "short", Host: "a.example", Prefix: "/x/", Backends: []Backend{{Service: "s1", Weight: 1}}},
		{Name: "long", Host: "a.example", Prefix: "/x/y/", Backends: []Backend{{Service: "s1", Weight: 90}, {Service: "s2", Weight: 10}}},
		{Name: "other", Host: "b.example", Prefix: "/", Backends: []Backend{{Service: "s3", Weight: 1}}},
	}, nil, Limits{})
}

func TestMatch(t *testing.T) {
	table := testTable(1)
	for _, test := range []struct{ host, path, want string }{
		{"a.example", "/x/1", "short"},
		{"A.Example:8080", "/x/y/1", "long"},
		{"a.example", "/x/y", "short"},
		{"a.example", "/x", ""},
		{"a.example", "/z/", ""},
		{"b.example", "/anything", "other"},
		{"c.example", "/x/1", ""},
	} {
		got := ""
		if found := table.Match(test.host, test.path); found != nil {
			got = found.Name
		}
		if got != test.want {
			t.Errorf("Match(%s, %s) = %q, want %q", test.host, test.path, got, test.want)
		}
	}
}

func TestPickServiceKeepsShares(t *testing.T) {
	route := testTable(1).Match("a.example", "/x/y/z")
	counts := map[string]int{}
	for range 1000 {
		counts[route.PickService()]++
	}
	if counts["s1"] != 900 || counts["s2"] != 100 {
		t.Errorf("shares are %v, want 900 and 100", counts)
	}
}

func TestHolderNeverGoesBack(t *testing.T) {
	holder := NewHolder()
	for _, step := range []struct {
		version int64
		taken   bool
	}{{5, true}, {5, false}, {4, false}, {9, true}} {
		if taken := holder.Offer(testTable(step.version)); taken != step.taken {
			t.Errorf("Offer(%d) = %t, want %t", step.version, taken, step.taken)
		}
	}
	if version := holder.Table().Version; version != 9 {
		t.Errorf("version in force is %d, want 9", version)
	}
}

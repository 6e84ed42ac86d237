package replica

import "testing"

// TestAnswerGoesOnOnlyWhereItsVersionIsKnownToServe: an answer goes on at its version of its service, or, where the version was not known, at
// the incarnation that began it.
func TestAnswerGoesOnOnlyWhereItsVersionIsKnownToServe(t *testing.T) {
	versioned := func(id, version string, born int64) *Handle {
		info := bornInfo(id, born)
		info.Version = version
		return NewHandle(info)
	}
	elsewhere := bornInfo("a", 1)
	elsewhere.Service, elsewhere.Version = "t", "v1"
	for _, test := range []struct {
		name      string
		began, at *Handle
		want      bool
	}{
		{"same version", versioned("a", "v1", 1), versioned("b", "v1", 2), true},
		{"another version", versioned("a", "v1", 1), versioned("b", "v2", 2), false},
		{"restarted under its ID with another version", versioned("a", "v1", 1), versioned("a", "v2", 2), false},
		{"at a replica without a version", versioned("a", "v1", 1), versioned("b", "", 2), false},
		{"two replicas without versions", versioned("a", "", 1), versioned("b", "", 2), false},
		{"without a version at the same incarnation", versioned("a", "", 1), versioned("a", "", 1), true},
		{"without a version at a later incarnation", versioned("a", "", 1), versioned("a", "", 2), false},
		{"without a version or a start time", versioned("a", "", 0), versioned("a", "", 0), false},
		{"same version of another service", versioned("a", "v1", 1), NewHandle(elsewhere), false},
	} {
		if got := test.began.Origin().MayContinueAt(test.at); got != test.want {
			t.Errorf("%s: %t, want %t", test.name, got, test.want)
		}
	}
}

// TestOriginThatEntriesContradictIsNotBelieved: where two nodes saw different versions of the replica that began an answer, neither is believed.
func TestOriginThatEntriesContradictIsNotBelieved(t *testing.T) {
	for _, test := range []struct {
		name     string
		versions []string
		began    string
		want     bool
	}{
		{"the same version", []string{"v1"}, "v1", false},
		{"another version", []string{"v1"}, "v2", true},
		{"two versions", []string{"v1", "v2"}, "v1", true},
		{"no version here", []string{""}, "v1", false},
		{"the version is missing for a while", []string{"v1", ""}, "v1", false},
	} {
		directory := NewDirectory()
		var began Origin
		for _, version := range test.versions {
			info := bornInfo("a", 1)
			info.Version = version
			directory.Update([]Info{info}, nil)
			began = directory.View().Find("a").Origin()
		}
		began.Version = test.began
		if got := directory.View().Contradicts(began); got != test.want {
			t.Errorf("%s: contradicts is %t, want %t", test.name, got, test.want)
		}
		began.Incarnation++
		if directory.View().Contradicts(began) {
			t.Errorf("%s: an origin at another replica is contradicted", test.name)
		}
	}
}

// TestVersionOfAnIncarnationDoesNotChange: entries that another writer changed neither give an incarnation another version nor take one away;
// without start times another version is that of another incarnation.
func TestVersionOfAnIncarnationDoesNotChange(t *testing.T) {
	for _, test := range []struct {
		name     string
		born     int64
		versions []string
		want     string
		isNew    bool
	}{
		{"the version is missing for a while", 1, []string{"v1", ""}, "v1", false},
		{"the version is told later", 1, []string{"", "v1"}, "v1", false},
		{"two versions", 1, []string{"v1", "v2"}, "", false},
		{"two versions, then the first again", 1, []string{"v1", "v2", "v1"}, "", false},
		{"no start time, another version", 0, []string{"v1", "v2"}, "", true},
		{"no start time, the version is missing", 0, []string{"v1", ""}, "", true},
		{"no start time, the version is missing for a while", 0, []string{"v1", "", "v1"}, "v1", true},
		{"no start time, another version after it was missing", 0, []string{"v1", "", "v2"}, "", true},
		{"no start time, the same version", 0, []string{"v1", "v1"}, "v1", false},
	} {
		directory := NewDirectory()
		var first *Handle
		for _, version := range test.versions {
			info := bornInfo("a", test.born)
			info.Version = version
			directory.Update([]Info{info}, nil)
			if first == nil {
				first = directory.View().Find("a")
			}
		}
		last := directory.View().Find("a")
		if last.Info().Version != test.want || (last != first) != test.isNew {
			t.Errorf("%s: version %q, new %t; want %q, %t", test.name, last.Info().Version, last != first, test.want, test.isNew)
		}
	}
}

package batch

import (
	"math"
	"testing"
	"testing/synctest"
	"time"

	batchpb "github.com/sloelift/sloelift/api/proto/batch"
	"github.com/sloelift/sloelift/internal/outcome"
	"github.com/sloelift/sloelift/internal/replica/replicatest"
)

func TestCheck(t *testing.T) {
	for _, test := range []struct {
		name       string
		submission *batchpb.Submission
		valid      bool
	}{
		{"plain", &batchpb.Submission{JobId: "j", Items: []*batchpb.Item{{Id: "a", Path: "/a", Tokens: 1}, {Id: "b", Path: "/b?c=%20"}}}, true},
		{"no items", &batchpb.Submission{JobId: "j"}, true},
		{"no id", &batchpb.Submission{}, false},
		{"item without id", &batchpb.Submission{JobId: "j", Items: []*batchpb.Item{{}}}, false},
		{"two items of one id", &batchpb.Submission{JobId: "j", Items: []*batchpb.Item{{Id: "a"}, {Id: "a"}}}, false},
		{"fewer tokens than none", &batchpb.Submission{JobId: "j", Items: []*batchpb.Item{{Id: "a", Tokens: -1}}}, false},
		{"more tokens than can be added up", &batchpb.Submission{JobId: "j", Items: []*batchpb.Item{{Id: "a", Tokens: math.MaxInt64}, {Id: "b", Tokens: 1}}}, false},
		{"job id that is no text", &batchpb.Submission{JobId: "j\xff"}, false},
		{"host that is no text", &batchpb.Submission{JobId: "j", Host: "\xff"}, false},
		{"tenant that is no text", &batchpb.Submission{JobId: "j", Tenant: "\xff"}, false},
		{"item id that is no text", &batchpb.Submission{JobId: "j", Items: []*batchpb.Item{{Id: "\xff"}}}, false},
		{"path that is no text", &batchpb.Submission{JobId: "j", Items: []*batchpb.Item{{Id: "a", Path: "/\xff"}}}, false},
		{"header that is no text", &batchpb.Submission{JobId: "j", Items: []*batchpb.Item{{Id: "a", Headers: []*batchpb.Header{{Name: "n", Value: "\xff"}}}}}, false},
		{"body that is no text", &batchpb.Submission{JobId: "j", Items: []*batchpb.Item{{Id: "a", Path: "/a", Body: []byte{0xff}}}}, true},
		{"path with line ends", submissionOf("/a HTTP/1.1\r\nHost: h\r\n\r\nPOST /b", "n", "v"), false},
		{"path with a space", submissionOf("/a b", "n", "v"), false},
		{"path with a NUL byte", submissionOf("/a\x00", "n", "v"), false},
		{"path that doesn't begin with a slash", submissionOf("a", "n", "v"), false},
		{"no path", submissionOf("", "n", "v"), false},
		{"header name with a space", submissionOf("/a", "n m", "v"), false},
		{"header name with a colon", submissionOf("/a", "n:", "v"), false},
		{"header value with line ends", submissionOf("/a", "n", "v\r\nX-Other: w"), false},
		{"host with line ends", &batchpb.Submission{JobId: "j", Host: "h\r\nX-Other: w", Items: []*batchpb.Item{{Id: "a", Path: "/a"}}}, false},
		{"item id with line ends", &batchpb.Submission{JobId: "j", Items: []*batchpb.Item{{Id: "a\r\nX-Other: w", Path: "/a"}}}, false},
	} {
		err := Check(test.submission)
		if (err == nil) != test.valid {
			t.Errorf("%s: %v", test.name, err)
		}
		if err != nil && outcome.As(err).Reason != outcome.ReasonInvalid {
			t.Errorf("%s: refused as %v", test.name, err)
		}
	}
}

// submissionOf returns a job of one item with the given path and header.
func submissionOf(path, name, value string) *batchpb.Submission {
	item := &batchpb.Item{Id: "a", Path: path, Headers: []*batchpb.Header{{Name: name, Value: value}}}
	return &batchpb.Submission{JobId: "j", Items: []*batchpb.Item{item}}
}

// TestItemWithLineEndsInItsPathSendsNoOtherRequest guards other tenants' replicas against requests that a job puts behind line ends in
// an item's path: the log may have such items from before they were refused. They are given up, and the others are done.
func TestItemWithLineEndsInItsPathSendsNoOtherRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		owner := startOwner(t, singleReplica(replicatest.Stream("s", true, false, eventOne+eventTwo)))
		defer owner.stop()
		submission := testSubmission("j", 3)
		submission.Items[0].Path += " HTTP/1.1\r\nHost: h\r\nX-Id: other\r\nContent-Length: 0\r\n\r\nPOST /p/smuggled"
		submission.Items[1].Headers = append(submission.Items[1].Headers, &batchpb.Header{Name: "x y", Value: "v"})
		owner.mustSubmit(t, submission)
		for _, result := range owner.results(t, "j", 3, 20*time.Second) {
			want := batchpb.State_STATE_DEAD_LETTER
			if result.ItemId == submission.Items[2].Id {
				want = batchpb.State_STATE_SUCCEEDED
			}
			if result.State != want {
				t.Errorf("item %q is %s, want %s", result.ItemId, result.State, want)
			}
		}
		for _, request := range owner.replicas.Requests() {
			if request.URL.Path != submission.Items[2].Path {
				t.Errorf("a replica got a request for %q", request.URL.Path)
			}
		}
	})
}

package batch

import (
	"math"
	"testing"

	batchpb "github.com/sloelift/sloelift/api/proto/batch"
	"github.com/sloelift/sloelift/internal/outcome"
)

func TestCheck(t *testing.T) {
	for _, test := range []struct {
		name       string
		submission *batchpb.Submission
		valid      bool
	}{
		{"plain", &batchpb.Submission{JobId: "j", Items: []*batchpb.Item{{Id: "a", Tokens: 1}, {Id: "b"}}}, true},
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
		{"body that is no text", &batchpb.Submission{JobId: "j", Items: []*batchpb.Item{{Id: "a", Body: []byte{0xff}}}}, true},
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

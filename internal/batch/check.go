package batch

import (
	"math"

	batchpb "github.com/sloelift/sloelift/api/proto/batch"
	"github.com/sloelift/sloelift/internal/outcome"
)

// Check returns an error if a submission cannot be accepted: the job and its items must have IDs, those of the items must be unique,
// and no token count may be negative or overflow the sum that counts for the quota.
func Check(submission *batchpb.Submission) error {
	if submission.JobId == "" {
		return invalid("a job without an id")
	}
	seen := make(map[string]bool, len(submission.Items))
	total := int64(0)
	for _, item := range submission.Items {
		if item.Id == "" || seen[item.Id] {
			return invalid("the items' ids are not their own")
		}
		seen[item.Id] = true
		if item.Tokens < 0 || item.Tokens > math.MaxInt64-total {
			return invalid("the items' tokens can't be counted")
		}
		total += item.Tokens
	}
	return nil
}

func invalid(why string) *outcome.Error {
	return outcome.New(outcome.Failed, outcome.ReasonInvalid, why)
}

package batch

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"unicode/utf8"

	"golang.org/x/net/http/httpguts"

	batchpb "github.com/sloelift/sloelift/api/proto/batch"
	"github.com/sloelift/sloelift/internal/outcome"
	"github.com/sloelift/sloelift/internal/replica"
)

// Check returns an error if a submission cannot be accepted: the job and its items must have IDs, those of the items must be unique,
// no token count may be negative or overflow the sum that counts for the quota, all texts must be UTF-8, and each item must be valid
// as one HTTP/1.1 request.
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
		if err := checkHead(submission.Host, item); err != nil {
			return invalid(fmt.Sprintf("item %q: %s", item.Id, err))
		}
	}
	if !isText(submission) {
		return invalid("a text of the job is not UTF-8")
	}
	return nil
}

// checkHead returns an error if the item's request could not be written to a replica as one request.
func checkHead(host string, item *batchpb.Item) error {
	checks := []error{replica.CheckHost(host), replica.CheckTarget(item.Path)}
	for _, header := range item.Headers {
		checks = append(checks, replica.CheckHeader(header.Name, header.Value))
	}
	// An item's ID is sent as the value of a header.
	if !httpguts.ValidHeaderFieldValue(item.Id) {
		checks = append(checks, errors.New("its ID is not valid as the value of a header"))
	}
	return errors.Join(checks...)
}

// isText reports whether all texts of a submission are UTF-8, as those of messages and records must be.
func isText(submission *batchpb.Submission) bool {
	texts := []string{submission.JobId, submission.Host, submission.Tenant}
	for _, item := range submission.Items {
		texts = append(texts, item.Id, item.Path)
		for _, header := range item.Headers {
			texts = append(texts, header.Name, header.Value)
		}
	}
	return !slices.ContainsFunc(texts, func(text string) bool { return !utf8.ValidString(text) })
}

func invalid(why string) *outcome.Error {
	return outcome.New(outcome.Failed, outcome.ReasonInvalid, why)
}

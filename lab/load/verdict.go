package load

import (
	"fmt"
	"time"

	labengine "github.com/sloelift/sloelift/lab/engine"
)

// cancelPropagation is the time within which an acknowledged cancel must reach all engines.
const cancelPropagation = time.Second

// maxViolations is the maximum number of violations that are described.
const maxViolations = 50

// Verdict holds the counts of one run. A count below "Must be 0" that is not 0 fails the run.
type Verdict struct {
	OnlineSent      int `json:"online_sent"`
	OnlineAccepted  int `json:"online_accepted"`
	OnlineCompleted int `json:"online_completed"`
	OnlineRefused   int `json:"online_refused"`
	// OnlineIndeterminate counts requests with an indeterminate outcome, which is allowed for marked requests after a crash.
	OnlineIndeterminate int `json:"online_indeterminate"`
	OnlineFailed        int `json:"online_failed"`
	// OnlineReconnects counts streams that broke and were retried by their caller.
	OnlineReconnects int `json:"online_reconnects"`

	JobsAccepted       int `json:"jobs_accepted"`
	JobsRefused        int `json:"jobs_refused"`
	JobsCancelled      int `json:"jobs_cancelled"`
	ItemsAccepted      int `json:"items_accepted"`
	ItemsCompleted     int `json:"items_completed"`
	ItemsCancelled     int `json:"items_cancelled"`
	ItemsIndeterminate int `json:"items_indeterminate"`
	ItemsUnfinished    int `json:"items_unfinished"`

	// Must be 0.
	Lost                    int `json:"lost"`
	Duplicated              int `json:"duplicated"`
	AnswersCut              int `json:"answers_cut"`
	AnswersWrong            int `json:"answers_wrong"`
	ItemsWrong              int `json:"items_wrong"`
	NotRunButRan            int `json:"not_run_but_ran"`
	DispatchedAfterCancel   int `json:"dispatched_after_cancel"`
	StartedAfterCancel      int `json:"started_after_cancel"`
	ResendMismatches        int `json:"resend_mismatches"`
	ResumeMismatches        int `json:"resume_mismatches"`
	AcknowledgedMissing     int `json:"acknowledged_missing"`
	MarkedRunMoreThanOnce   int `json:"marked_run_more_than_once"`
	MarkedRunsMax           int `json:"marked_runs_max"`
	DifferentKeyedAnswers   int `json:"different_keyed_answers"`
	PlannedStopReconnects   int `json:"planned_stop_reconnects"`
	OnlineFailedUnexplained int `json:"online_failed_unexplained"`
	// IndeterminateUnexplained counts marked work with an indeterminate outcome although no replica was lost.
	IndeterminateUnexplained int `json:"indeterminate_unexplained"`

	// Broken describes the first maxViolations violations.
	Broken []string `json:"broken"`
}

// Expectations describes the effects of a run's faults that Judge has to allow for.
type Expectations struct {
	// ConnectionsMayBreak is set if nodes were killed, paused or cut off, so that callers
	// may have lost connections and retried.
	ConnectionsMayBreak bool
	// RunsMayBeLost is set if replicas died or were unreachable, so that the outcome of
	// marked work on them may stay unknown.
	RunsMayBeLost bool
}

// Judge checks what callers saw against the engines' records by marker.
func Judge(seen Observations, records map[string]labengine.RunRecord, expected Expectations) Verdict {
	judge := judge{records: records, expected: expected}
	keyed := map[string]string{}
	for _, result := range seen.Online {
		judge.online(result, keyed)
	}
	for _, job := range seen.Jobs {
		judge.job(job)
	}
	for marker, record := range records {
		if record.ResumeMismatches > 0 {
			judge.verdict.ResumeMismatches += record.ResumeMismatches
			judge.violation("%s was resumed with a text that is not its answer's", marker)
		}
	}
	return judge.verdict
}

// Failed reports whether an invariant was violated.
func (v Verdict) Failed() bool { return len(v.Broken) > 0 }

type judge struct {
	records  map[string]labengine.RunRecord
	expected Expectations
	verdict  Verdict
}

func (j *judge) violation(format string, values ...any) {
	if len(j.verdict.Broken) < maxViolations {
		j.verdict.Broken = append(j.verdict.Broken, fmt.Sprintf(format, values...))
	}
}

func (j *judge) online(result OnlineResult, keyed map[string]string) {
	v, marker := &j.verdict, result.Arrival.Marker
	v.OnlineSent++
	if result.Accepted {
		v.OnlineAccepted++
	}
	v.OnlineReconnects += result.Cuts
	if result.Cuts > 0 && !j.expected.ConnectionsMayBreak {
		v.PlannedStopReconnects += result.Cuts
		j.violation("%s: its stream was cut %d times though no node was killed: %s", marker, result.Cuts, result.Detail)
	}
	record, ran := j.records[marker]
	if result.NotRunAnswers > 0 && result.Sent == 0 && ran && !result.Arrival.Resend {
		v.NotRunButRan++
		j.violation("%s: every answer said not_run, but it ran: %v", marker, record.History)
	}
	if result.Arrival.NotRepeatable {
		j.marked(marker)
	}
	if result.RereadDetail != "" {
		v.AcknowledgedMissing++
		j.violation("%s: completed, and when asked for again: %s", marker, result.RereadDetail)
	}
	j.onlineOutcome(result, keyed)
}

func (j *judge) onlineOutcome(result OnlineResult, keyed map[string]string) {
	v, marker := &j.verdict, result.Arrival.Marker
	switch result.Outcome {
	case OnlineCompleted:
		v.OnlineCompleted++
		if result.Arrival.NotRepeatable {
			if previous, repeated := keyed[marker]; repeated && previous != result.Text {
				v.DifferentKeyedAnswers++
				j.violation("%s: two callers with one key got different answers", marker)
			}
			keyed[marker] = result.Text
		}
	case OnlineRefused:
		v.OnlineRefused++
	case OnlineIndeterminate:
		v.OnlineIndeterminate++
		if !result.Arrival.NotRepeatable {
			j.violation("%s: an unmarked request ended as indeterminate: %s", marker, result.Detail)
			v.OnlineFailedUnexplained++
		} else {
			j.indeterminate(marker, result.Detail)
		}
	case OnlineCut:
		v.AnswersCut++
		j.violation("%s: cut: %s", marker, result.Detail)
	case OnlineWrong:
		v.AnswersWrong++
		j.violation("%s: wrong answer: %s, got %q", marker, result.Detail, result.Text)
	case OnlineFailed:
		v.OnlineFailed++
		v.OnlineFailedUnexplained++
		j.violation("%s: failed: %s", marker, result.Detail)
	}
}

// indeterminate accepts an unknown outcome of marked work only if replicas may have been lost,
// or if no engine ran it because a node died after recording the attempt and before the call.
func (j *judge) indeterminate(marker, detail string) {
	neverCalled := j.expected.ConnectionsMayBreak && len(j.records[marker].History) == 0
	if j.expected.RunsMayBeLost || neverCalled {
		return
	}
	j.verdict.IndeterminateUnexplained++
	j.violation("%s: indeterminate though no replica was lost; starts %v: %s", marker, j.records[marker].History, detail)
}

// marked checks that engines ran a marked prompt at most once from its start.
func (j *judge) marked(marker string) {
	record := j.records[marker]
	j.verdict.MarkedRunsMax = max(j.verdict.MarkedRunsMax, record.FreshStarts)
	if record.FreshStarts > 1 {
		j.verdict.MarkedRunMoreThanOnce++
		j.violation("%s: marked as not repeatable, ran %d times: %v", marker, record.FreshStarts, record.History)
	}
}

func (j *judge) job(job JobOutcome) {
	v := &j.verdict
	if !job.Accepted {
		v.JobsRefused++
		return
	}
	v.JobsAccepted++
	v.ItemsAccepted += len(job.Arrival.Items)
	if job.ResendMismatch {
		v.ResendMismatches++
		j.violation("%s: the resend gave another job", job.Arrival.Key)
	}
	if job.Cancelled {
		v.JobsCancelled++
	}
	if job.Detail != "" {
		v.AcknowledgedMissing++
		j.violation("%s: accepted as %s, then: %s", job.Arrival.Key, job.ID, job.Detail)
	}
	if job.RereadDetail != "" {
		v.AcknowledgedMissing++
		j.violation("%s: results read again: %s", job.Arrival.Key, job.RereadDetail)
	}
	for _, item := range job.Arrival.Items {
		j.item(job, item)
	}
}

// cancelled checks that an item was not dispatched after the cancel was acknowledged, and that
// one dispatched before does not start later than cancelPropagation after the acknowledgement.
func (j *judge) cancelled(job JobOutcome, marker string) {
	last := j.records[marker].LastStart()
	if late := last.Dispatched.Sub(job.CancelAcked); late > 0 {
		j.verdict.DispatchedAfterCancel++
		j.violation("%s: dispatched to %s %v after the cancel was acknowledged", marker, last.Replica, late.Round(time.Microsecond))
	} else if late := last.At.Sub(job.CancelAcked); late > cancelPropagation {
		j.verdict.StartedAfterCancel++
		j.violation("%s: started on %s %v after the cancel was acknowledged", marker, last.Replica, late.Round(time.Microsecond))
	}
}

func (j *judge) item(job JobOutcome, item JobItem) {
	v := &j.verdict
	if job.Arrival.NotRepeatable {
		j.marked(item.CustomID)
	}
	if job.Cancelled {
		j.cancelled(job, item.CustomID)
	}
	texts, failure := job.Results[item.CustomID], job.Errors[item.CustomID]
	switch {
	case len(texts) > 1 || len(texts) == 1 && failure != "":
		v.Duplicated++
		j.violation("%s: %d results", item.CustomID, len(texts))
	case len(texts) == 1 && texts[0] != item.Expected().FullText():
		v.ItemsWrong++
		j.violation("%s: wrong result %q", item.CustomID, texts[0])
	case len(texts) == 1:
		v.ItemsCompleted++
	case job.Cancelled:
		v.ItemsCancelled++
	case failure != "" && job.Arrival.NotRepeatable:
		v.ItemsIndeterminate++
		j.indeterminate(item.CustomID, failure)
	case job.EndedAt.IsZero():
		v.ItemsUnfinished++
		v.Lost++
		j.violation("%s: not ended in time, job status %q", item.CustomID, job.Status)
	default:
		v.Lost++
		j.violation("%s: no result, job status %q, error %s", item.CustomID, job.Status, failure)
	}
}

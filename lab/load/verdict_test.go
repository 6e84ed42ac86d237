package load

import (
	"testing"
	"time"

	labengine "github.com/sloelift/sloelift/lab/engine"
)

var (
	now       = time.Unix(1000, 0)
	goodItem  = JobItem{CustomID: "job-item-0", Content: "text\njob-item-0", MaxTokens: 8}
	goodText  = goodItem.Expected().FullText()
	onlineOne = OnlineArrival{Marker: "one", Content: "text\none", MaxTokens: 8}
)

// goodJob returns a completed job with one item.
func goodJob() JobOutcome {
	return JobOutcome{
		Arrival: JobArrival{Key: "job", Items: []JobItem{goodItem}}, ID: "id", Accepted: true, Status: "completed", EndedAt: now,
		Results: map[string][]string{goodItem.CustomID: {goodText}}, Errors: map[string]string{},
	}
}

// ran returns the record of a marker that engines started count times.
func ran(marker string, count int, at time.Time) map[string]labengine.RunRecord {
	record := labengine.RunRecord{Marker: marker, Starts: count, FreshStarts: count}
	for range count {
		record.History = append(record.History, labengine.Start{Replica: "r", Dispatched: at, At: at})
	}
	return map[string]labengine.RunRecord{marker: record}
}

func TestJudgeFindsEachBrokenInvariant(t *testing.T) {
	marked := onlineOne
	marked.NotRepeatable = true
	cases := []struct {
		name    string
		seen    Observations
		records map[string]labengine.RunRecord
		count   func(Verdict) int
	}{
		{"lost", jobs(func(j *JobOutcome) { j.Results = nil }), nil, func(v Verdict) int { return v.Lost }},
		{"never ended", jobs(func(j *JobOutcome) { j.Results, j.EndedAt = nil, time.Time{} }), nil, func(v Verdict) int { return v.ItemsUnfinished }},
		{"duplicated", jobs(func(j *JobOutcome) { j.Results[goodItem.CustomID] = []string{goodText, goodText} }), nil,
			func(v Verdict) int { return v.Duplicated }},
		{"wrong item", jobs(func(j *JobOutcome) { j.Results[goodItem.CustomID] = []string{"x"} }), nil, func(v Verdict) int { return v.ItemsWrong }},
		{"resend mismatch", jobs(func(j *JobOutcome) { j.ResendMismatch = true }), nil, func(v Verdict) int { return v.ResendMismatches }},
		{"acknowledged missing", jobs(func(j *JobOutcome) { j.Detail = "status: not found" }), nil, func(v Verdict) int { return v.AcknowledgedMissing }},
		{"reread missing", jobs(func(j *JobOutcome) { j.RereadDetail = "gone" }), nil, func(v Verdict) int { return v.AcknowledgedMissing }},
		{"marked item twice", jobs(func(j *JobOutcome) { j.Arrival.NotRepeatable = true }), ran(goodItem.CustomID, 2, now),
			func(v Verdict) int { return v.MarkedRunMoreThanOnce }},
		{"after cancel", jobs(func(j *JobOutcome) { j.Cancelled, j.CancelAcked = true, now.Add(-time.Second) }), ran(goodItem.CustomID, 1, now),
			func(v Verdict) int { return v.DispatchedAfterCancel }},
		{"started after cancel", jobs(func(j *JobOutcome) { j.Cancelled, j.CancelAcked = true, now }),
			map[string]labengine.RunRecord{goodItem.CustomID: {History: []labengine.Start{{Dispatched: now.Add(-time.Second), At: now.Add(2 * time.Second)}}}},
			func(v Verdict) int { return v.StartedAfterCancel }},
		{"cut", online(OnlineResult{Arrival: onlineOne, Outcome: OnlineCut}), nil, func(v Verdict) int { return v.AnswersCut }},
		{"wrong", online(OnlineResult{Arrival: onlineOne, Outcome: OnlineWrong}), nil, func(v Verdict) int { return v.AnswersWrong }},
		{"not run but ran", online(OnlineResult{Arrival: onlineOne, Outcome: OnlineRefused, NotRunAnswers: 1}), ran("one", 1, now),
			func(v Verdict) int { return v.NotRunButRan }},
		{"marked twice", online(OnlineResult{Arrival: marked, Outcome: OnlineCompleted}), ran("one", 2, now),
			func(v Verdict) int { return v.MarkedRunMoreThanOnce }},
		{"different keyed answers", online(OnlineResult{Arrival: marked, Outcome: OnlineCompleted, Text: "a"},
			OnlineResult{Arrival: marked, Outcome: OnlineCompleted, Text: "b"}), nil, func(v Verdict) int { return v.DifferentKeyedAnswers }},
		{"unmarked indeterminate", online(OnlineResult{Arrival: onlineOne, Outcome: OnlineIndeterminate}), nil,
			func(v Verdict) int { return v.OnlineFailedUnexplained }},
		{"marked indeterminate", online(OnlineResult{Arrival: marked, Outcome: OnlineIndeterminate}), nil,
			func(v Verdict) int { return v.IndeterminateUnexplained }},
		{"cut without a kill", online(OnlineResult{Arrival: onlineOne, Outcome: OnlineCompleted, Cuts: 1}), nil,
			func(v Verdict) int { return v.PlannedStopReconnects }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			verdict := Judge(c.seen, c.records, Expectations{})
			if c.count(verdict) != 1 || !verdict.Failed() {
				t.Fatalf("counted %d, broken %v", c.count(verdict), verdict.Broken)
			}
		})
	}
}

func TestJudgeAcceptsWhatIsRight(t *testing.T) {
	seen := Observations{
		Online: []OnlineResult{{Arrival: onlineOne, Outcome: OnlineCompleted, Accepted: true, Text: onlineOne.Expected().FullText()}},
		Jobs:   []JobOutcome{goodJob()},
	}
	verdict := Judge(seen, ran(goodItem.CustomID, 2, now), Expectations{})
	if verdict.Failed() || verdict.ItemsCompleted != 1 || verdict.OnlineCompleted != 1 {
		t.Fatalf("%+v", verdict)
	}
}

func jobs(change func(*JobOutcome)) Observations {
	job := goodJob()
	change(&job)
	return Observations{Jobs: []JobOutcome{job}}
}

func online(results ...OnlineResult) Observations { return Observations{Online: results} }

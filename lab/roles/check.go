package roles

import (
	"fmt"
	"net/http"
	"slices"
)

const (
	// repeatsOfItem times a route's attempts bounds the answers of 500 that an item may have got when it is sent again; rejectionsOfItem
	// bounds those of 422. The platform's page names both.
	repeatsOfItem    = 3
	rejectionsOfItem = 3
	// deadlineSlack is what a send's deadline may allow beyond the caller's, in milliseconds.
	deadlineSlack = 500
	// endedByOneItem is the most replicas that may end under one item.
	endedByOneItem = 3
)

// Counts are what callers asked for and what the replicas saw.
type Counts struct {
	// OnlineSent and OnlineServed are requests with their retries, Jobs, Items and ItemsDone those of accepted jobs that were not ended.
	OnlineSent   int `json:"online_sent"`
	OnlineServed int `json:"online_served"`
	Jobs         int `json:"jobs"`
	Items        int `json:"items"`
	ItemsDone    int `json:"items_done"`
	// MostReplicas is the largest number of replicas on which one attempt of a caller ran, MostFailures and MostRejections the most
	// answers of 500 and of 422 that one item got; OverAttempts are the items with more answers of 500 than their route's attempts.
	MostReplicas   int `json:"most_replicas"`
	MostFailures   int `json:"most_failures"`
	MostRejections int `json:"most_rejections"`
	OverAttempts   int `json:"over_attempts"`
	// MostSends is the largest number of sends of one item, for whatever reason.
	MostSends int `json:"most_sends"`
	// MostEnded is the largest number of replicas that one item ended.
	MostEnded int `json:"most_ended"`
	// MostCrashed is the largest number of replicas that one online request crashed.
	MostCrashed int `json:"most_crashed"`
	// LongDeadlines are the sends with a deadline over the caller's own.
	LongDeadlines int `json:"long_deadlines"`
	// KilledAfterGrace are the planned stops that took longer than the platform's grace.
	KilledAfterGrace int `json:"killed_after_grace"`
}

// verdict gathers what was counted and what broke.
type verdict struct {
	counts Counts
	broken []string
}

func (v *verdict) breaks(format string, arguments ...any) {
	v.broken = append(v.broken, fmt.Sprintf(format, arguments...))
}

// judge compares what callers got with what the replicas saw.
func judge(seen *record, asked *callers) verdict {
	var found verdict
	found.counts.OnlineSent, found.counts.OnlineServed = asked.sent, asked.served
	for _, each := range asked.attempts {
		found.judgeAttempt(each, seen.of(each.id))
	}
	for _, each := range asked.jobs {
		found.judgeJob(each, seen)
	}
	return found
}

func (v *verdict) judgeAttempt(went *onlineAttempt, runs []sentRun) {
	ran, whole := countedRuns(runs)
	v.counts.MostReplicas = max(v.counts.MostReplicas, ran)
	if went.fault != "" {
		v.breaks("request %s at %s: %s", went.id, went.edge, went.fault)
	}
	if ran > attemptsOf[went.path] {
		v.breaks("request %s at %s ran on %d replicas, %d allowed: %s", went.id, went.edge, ran, attemptsOf[went.path], describe(runs))
	}
	if whole > 1 && (went.path == pathChange || went.path == pathDigest) {
		v.breaks("request %s at %s, not to be repeated, ran %d times: %s", went.id, went.edge, whole, describe(runs))
	}
	if whole > 0 && promises(went.status) {
		v.breaks("request %s at %s was refused with %d, and ran: %s", went.id, went.edge, went.status, describe(runs))
	}
	for _, each := range runs {
		if each.deadlineMillis <= 0 || each.deadlineMillis > patience.Milliseconds()+deadlineSlack {
			v.counts.LongDeadlines++
		}
	}
}

// countedRuns returns on how many replicas a request ran, without those that had ended before it was last sent on, and on how many with those.
func countedRuns(runs []sentRun) (counted, all int) {
	if len(runs) == 0 {
		return 0, 0
	}
	last := runs[len(runs)-1].at
	var without, with []*replica
	for _, each := range runs {
		if !each.began {
			continue
		}
		if !slices.Contains(with, each.replica) {
			with = append(with, each.replica)
		}
		ended := each.replica.endedAt.Load()
		if (ended == nil || ended.After(last)) && !slices.Contains(without, each.replica) {
			without = append(without, each.replica)
		}
	}
	return len(without), len(with)
}

// describe lists runs for a person.
func describe(runs []sentRun) string {
	text := ""
	for _, each := range runs {
		state := "lives"
		if !each.replica.lives() {
			state = "ended"
		}
		text += fmt.Sprintf("[%s %s (%s) behind %q deadline %d began %t status %d]", each.at.Format("05.000"), each.replica.id, state, each.lastEvent, each.deadlineMillis, each.began, each.status)
	}
	return text
}

func (v *verdict) judgeJob(of *job, seen *record) {
	for _, each := range of.items {
		v.judgeRepeats(of, each, seen.of(each.id))
	}
	if !of.accepted {
		return
	}
	v.counts.Jobs++
	if of.fault != "" {
		v.breaks("job %s: %s", of.id, of.fault)
	}
	if of.ended {
		return
	}
	v.counts.Items += len(of.items)
	v.counts.ItemsDone += len(of.results)
	if unlisted := of.unlisted(); len(unlisted) > 0 {
		v.breaks("job %s: %d of %d items are listed at the end%s", of.id, len(of.results), len(of.items), describeItems(unlisted, seen))
	}
	v.judgeResults(of, seen)
}

func (v *verdict) judgeResults(of *job, seen *record) {
	listed := map[string]bool{}
	for _, result := range of.results {
		at := slices.IndexFunc(of.items, func(each item) bool { return each.id == result.ID })
		if at < 0 || listed[result.ID] {
			v.breaks("job %s: item %s is not of the job, or listed twice", of.id, result.ID)
			continue
		}
		listed[result.ID] = true
		given := of.items[at]
		switch {
		case result.State == "succeeded" && result.Text != given.work.text():
			v.breaks("job %s: item %s has another text than its own", of.id, result.ID)
		case result.State != "succeeded" && given.work.Fail == 0 && answered(seen.of(result.ID), http.StatusInternalServerError) < attemptsOf[pathJobs]:
			v.breaks("job %s: item %s is given up without %d failures", of.id, result.ID, attemptsOf[pathJobs])
		}
	}
}

// describeItems lists what replicas saw of items.
func describeItems(items []item, seen *record) string {
	text := ""
	for _, each := range items {
		text += fmt.Sprintf("; item %s: %s", each.id, describe(seen.of(each.id)))
	}
	return text
}

// judgeEnds counts the replicas that each item ended; the marks in others are those of requests.
func (v *verdict) judgeEnds(replicas []*replica, others []string) {
	ended := map[string]int{}
	for _, each := range replicas {
		if by := each.endedBy.Load(); by != nil && !slices.Contains(others, *by) {
			ended[*by]++
		}
	}
	for id, count := range ended {
		v.counts.MostEnded = max(v.counts.MostEnded, count)
		if count > endedByOneItem {
			v.breaks("item %s ended %d replicas", id, count)
		}
	}
}

func answered(runs []sentRun, status int) int {
	count := 0
	for _, each := range runs {
		if each.status == status {
			count++
		}
	}
	return count
}

// judgeRepeats counts how often an item was answered with a failure before it was sent again.
func (v *verdict) judgeRepeats(of *job, each item, runs []sentRun) {
	failures, rejections := answered(runs, http.StatusInternalServerError), answered(runs, http.StatusUnprocessableEntity)
	v.counts.MostFailures = max(v.counts.MostFailures, failures)
	v.counts.MostRejections = max(v.counts.MostRejections, rejections)
	v.counts.MostSends = max(v.counts.MostSends, len(runs))
	if failures > attemptsOf[pathJobs] {
		v.counts.OverAttempts++
	}
	if failures > repeatsOfItem*attemptsOf[pathJobs] || rejections > rejectionsOfItem {
		v.breaks("item %s of job %s was answered %d times with 500 and %d times with 422: %s", each.id, of.id, failures, rejections, describe(runs))
	}
	if of.refusedOnly && slices.ContainsFunc(runs, func(run sentRun) bool { return run.began }) {
		v.breaks("item %s of job %s ran, though the job was refused", each.id, of.id)
	}
}

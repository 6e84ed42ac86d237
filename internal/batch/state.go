package batch

import (
	"fmt"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	batchpb "github.com/sloelift/sloelift/api/proto/batch"
	"github.com/sloelift/sloelift/internal/ledger"
	"github.com/sloelift/sloelift/internal/quarantine"
	"github.com/sloelift/sloelift/internal/replica"
)

// jobState is an accepted job.
type jobState struct {
	submission *batchpb.Submission
	acceptedAt int64
	ended      bool
	items      []itemState
	byID       map[string]int
	// listed contains the indices of the listed items; an item's position is its index in this slice.
	listed []int
	// changed is closed and replaced when an item is listed or the job ends.
	changed chan struct{}
}

// itemState is one request of a job.
type itemState struct {
	listed   bool
	state    batchpb.State
	text     string
	progress *batchpb.Progress
	// rewritten is the text that the item has since it was begun anew, nil before. Owners of an older build do not know it and go on behind
	// progress, so that both are kept and the offsets of records count in progress.
	rewritten *batchpb.Progress
	// crashes are the ends of replicas under the item while it was not listed; if there were many, the ones with the most text.
	crashes []quarantine.RecordedEnd
	// failures counts the runs that replicas answered with a failure of their own, over all owners, while the item was not listed.
	failures int
}

// logged returns the text of an unlisted item that is in the log and that a further run goes on with; nil if there is none.
func (i *itemState) logged() *batchpb.Progress {
	if i.rewritten != nil {
		return i.rewritten
	}
	return i.progress
}

// loggedText returns the part of an unlisted item's text that is in the log.
func (i *itemState) loggedText() string { return i.logged().GetText() }

func (j *jobState) complete() bool { return len(j.listed) == len(j.items) }

// open reports whether items of the job may still run.
func (j *jobState) open() bool { return !j.ended && !j.complete() }

func (j *jobState) notify() {
	close(j.changed)
	j.changed = make(chan struct{})
}

// quotaKey identifies a quota of waiting tokens: each tenant has one per route.
type quotaKey struct{ route, tenant string }

func quotaOf(submission *batchpb.Submission) quotaKey {
	return quotaKey{route: submission.Route, tenant: submission.Tenant}
}

// state is the state of one partition as recorded in its log. It changes only through apply.
type state struct {
	jobs map[string]*jobState
	// order contains the jobs in the order of acceptance.
	order   []*jobState
	uploads map[string][]byte
	// waitingTokens counts the tokens of items that are not listed and whose job has not ended.
	waitingTokens map[quotaKey]int64
	// paces contains the run time estimates from finished items, by route.
	paces map[string]*itemPace
	// placements contains, by host, the confined partitions that may have jobs of the host.
	placements map[string][]*batchpb.Placement
	// bytes is the size of all bodies and texts that are kept.
	bytes     int64
	appliedTo ledger.Position
}

func newState() *state {
	return &state{
		jobs: map[string]*jobState{}, uploads: map[string][]byte{}, waitingTokens: map[quotaKey]int64{}, paces: map[string]*itemPace{},
		placements: map[string][]*batchpb.Placement{},
	}
}

// apply applies one record.
func (s *state) apply(position ledger.Position, record ledger.Record) error {
	s.appliedTo = position
	switch record.Kind {
	case ledger.KindBatchChunk:
		return decodeAndApply(record, &batchpb.Chunk{}, s.applyChunk)
	case ledger.KindBatchAccepted:
		return decodeAndApply(record, &batchpb.Accepted{}, s.applyAccepted)
	case ledger.KindBatchResult:
		return decodeAndApply(record, &batchpb.Result{}, s.applyResult)
	case ledger.KindBatchProgress:
		return decodeAndApply(record, &batchpb.Progress{}, s.applyProgress)
	case ledger.KindBatchEnded:
		return decodeAndApply(record, &batchpb.Ended{}, s.applyEnded)
	case ledger.KindBatchForgotten:
		return decodeAndApply(record, &batchpb.Forgotten{}, s.applyForgotten)
	case ledger.KindBatchCrashed:
		return decodeAndApply(record, &batchpb.Crashed{}, s.applyCrashed)
	case ledger.KindBatchFailed:
		return decodeAndApply(record, &batchpb.Failed{}, s.applyFailed)
	case ledger.KindBatchRewritten:
		return decodeAndApply(record, &batchpb.Progress{}, s.applyRewritten)
	case ledger.KindBatchPlaced:
		return decodeAndApply(record, &batchpb.Placement{}, s.applyPlacement)
	default:
		return nil
	}
}

func decodeAndApply[Message proto.Message](record ledger.Record, message Message, take func(Message) error) error {
	if err := proto.Unmarshal(record.Payload, message); err != nil {
		return fmt.Errorf("decode record of kind %d: %w", record.Kind, err)
	}
	return take(message)
}

func (s *state) applyChunk(chunk *batchpb.Chunk) error {
	s.uploads[chunk.UploadId] = append(s.uploads[chunk.UploadId], chunk.Data...)
	s.bytes += int64(len(chunk.Data))
	return nil
}

// applyAccepted creates the job. If the job was accepted before, the earlier acceptance stands.
func (s *state) applyAccepted(accepted *batchpb.Accepted) error {
	submission := accepted.Submission
	if accepted.UploadId != "" {
		encoded := s.uploads[accepted.UploadId]
		delete(s.uploads, accepted.UploadId)
		s.bytes -= int64(len(encoded))
		submission = &batchpb.Submission{}
		if err := proto.Unmarshal(encoded, submission); err != nil {
			return fmt.Errorf("decode uploaded submission: %w", err)
		}
	}
	if s.jobs[submission.JobId] != nil {
		return nil
	}
	s.addJob(submission, accepted.AcceptedAt)
	return nil
}

func (s *state) addJob(submission *batchpb.Submission, acceptedAt int64) *jobState {
	added := &jobState{
		submission: submission, acceptedAt: acceptedAt, items: make([]itemState, len(submission.Items)),
		byID: make(map[string]int, len(submission.Items)), changed: make(chan struct{}),
	}
	for number, item := range submission.Items {
		added.byID[item.Id] = number
		s.bytes += int64(len(item.Body))
		s.waitingTokens[quotaOf(submission)] += item.Tokens
	}
	s.jobs[submission.JobId] = added
	s.order = append(s.order, added)
	return added
}

// applyResult lists an item. A result whose offset is not the end of the item's progress is ignored.
func (s *state) applyResult(result *batchpb.Result) error {
	job := s.jobs[result.JobId]
	if job == nil || int(result.Item) >= len(job.items) || job.items[result.Item].listed {
		return nil
	}
	finalState, text := result.State, result.Text
	switch result.State {
	case batchpb.State_STATE_SUCCEEDED_WHOLE:
		finalState = batchpb.State_STATE_SUCCEEDED
	case batchpb.State_STATE_SUCCEEDED:
		before := job.items[result.Item].progress.GetText()
		if uint64(len(before)) != result.Offset {
			return nil
		}
		text = before + text
		s.paceOf(job.submission.Route).observe(finishedItem{
			tokens: job.submission.Items[result.Item].Tokens, text: len(text), runTime: time.Duration(result.RanMillis) * time.Millisecond,
		})
	}
	s.list(job, int(result.Item), finalState, text)
	job.notify()
	return nil
}

// paceOf returns the estimate for a route's items.
func (s *state) paceOf(routeName string) *itemPace {
	pace := s.paces[routeName]
	if pace == nil {
		pace = &itemPace{}
		s.paces[routeName] = pace
	}
	return pace
}

// list gives an item the job's next position and drops what only an unfinished item needs.
func (s *state) list(job *jobState, number int, finalState batchpb.State, text string) {
	listed := &job.items[number]
	s.dropProgress(listed)
	listed.listed, listed.state, listed.text, listed.crashes, listed.failures = true, finalState, text, nil, 0
	job.listed = append(job.listed, number)
	sent := job.submission.Items[number]
	s.bytes += int64(len(text)) - int64(len(sent.Body))
	sent.Body = nil
	if !job.ended {
		s.waitingTokens[quotaOf(job.submission)] -= sent.Tokens
	}
}

func (s *state) dropProgress(item *itemState) {
	s.bytes -= int64(len(item.progress.GetText()) + len(item.rewritten.GetText()))
	item.progress, item.rewritten = nil, nil
}

// openItem returns an item that may still run, or nil if there is none.
func (s *state) openItem(jobID string, number uint32) *itemState {
	job := s.jobs[jobID]
	if job == nil || job.ended || int(number) >= len(job.items) || job.items[number].listed {
		return nil
	}
	return &job.items[number]
}

// applyProgress stores the text that an item has generated. Progress whose offset is not the end of the stored text is ignored.
func (s *state) applyProgress(progress *batchpb.Progress) error {
	item := s.openItem(progress.JobId, progress.Item)
	if item == nil {
		return nil
	}
	before := item.progress.GetText()
	if uint64(len(before)) != progress.Offset {
		return nil
	}
	s.bytes += int64(len(progress.Text))
	progress.Offset, progress.Text = 0, before+progress.Text
	item.progress = progress
	return nil
}

// applyRewritten stores the whole text of an item that was begun anew.
func (s *state) applyRewritten(progress *batchpb.Progress) error {
	item := s.openItem(progress.JobId, progress.Item)
	if item == nil {
		return nil
	}
	s.bytes += int64(len(progress.Text)) - int64(len(item.rewritten.GetText()))
	item.rewritten = progress
	return nil
}

// hasCrash reports whether the end of a replica is recorded, or need not be: as many ends of ordinary runs are recorded that had
// more text, or as many of retries.
func (i *itemState) hasCrash(end quarantine.RecordedEnd) bool {
	if slices.ContainsFunc(i.crashes, func(kept quarantine.RecordedEnd) bool { return kept.Replica == end.Replica }) {
		return true
	}
	if end.Retry {
		return i.failedRetries() >= maxRetriesPerItem
	}
	least, count := i.leastReached()
	return count >= maxCrashesPerItem && end.Reached <= i.crashes[least].Reached
}

// leastReached returns the index of the ordinary run's end with the shortest text, the latest if there are several, and the number
// of such ends.
func (i *itemState) leastReached() (least, count int) {
	for index, end := range i.crashes {
		if end.Retry {
			continue
		}
		if count == 0 || end.Reached <= i.crashes[least].Reached {
			least = index
		}
		count++
	}
	return least, count
}

// failedRetries returns the number of recorded retries of the item that ended their replicas.
func (i *itemState) failedRetries() int {
	count := 0
	for _, end := range i.crashes {
		if end.Retry {
			count++
		}
	}
	return count
}

// retryDelay returns how long the item waits for its next run after the latest end of a replica; 0 unless a retry failed before.
func (i *itemState) retryDelay() time.Duration {
	failed := i.failedRetries()
	if failed == 0 {
		return 0
	}
	return quarantine.RetryDelay(failed)
}

// applyCrashed records that a replica ended under an item, once per replica.
func (s *state) applyCrashed(crashed *batchpb.Crashed) error {
	item := s.openItem(crashed.JobId, crashed.Item)
	if item == nil {
		return nil
	}
	end := quarantine.RecordedEnd{Replica: replica.Key(crashed.Replica), Reached: int(crashed.GetReached()), ReachedKnown: crashed.Reached != nil, Retry: crashed.Retry}
	if item.hasCrash(end) {
		return nil
	}
	if least, count := item.leastReached(); !end.Retry && count >= maxCrashesPerItem {
		item.crashes = slices.Delete(item.crashes, least, least+1)
	}
	item.crashes = append(item.crashes, end)
	return nil
}

// applyFailed records how often an item's runs have failed. The count never decreases.
func (s *state) applyFailed(failed *batchpb.Failed) error {
	item := s.openItem(failed.JobId, failed.Item)
	if item == nil {
		return nil
	}
	item.failures = max(item.failures, int(failed.Failures))
	return nil
}

func (s *state) applyEnded(ended *batchpb.Ended) error {
	job := s.jobs[ended.JobId]
	if job == nil || job.ended {
		return nil
	}
	job.ended = true
	for number := range job.items {
		if job.items[number].listed {
			continue
		}
		s.dropProgress(&job.items[number])
		sent := job.submission.Items[number]
		s.waitingTokens[quotaOf(job.submission)] -= sent.Tokens
	}
	job.notify()
	return nil
}

func (s *state) applyForgotten(forgotten *batchpb.Forgotten) error {
	job := s.jobs[forgotten.JobId]
	if job == nil {
		return nil
	}
	delete(s.jobs, forgotten.JobId)
	for index, other := range s.order {
		if other == job {
			s.order = append(s.order[:index:index], s.order[index+1:]...)
			break
		}
	}
	for number := range job.items {
		s.dropProgress(&job.items[number])
		s.bytes -= int64(len(job.items[number].text)) + int64(len(job.submission.Items[number].Body))
		if !job.items[number].listed && !job.ended {
			s.waitingTokens[quotaOf(job.submission)] -= job.submission.Items[number].Tokens
		}
	}
	job.notify()
	return nil
}

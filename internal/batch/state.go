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

// job is one accepted job.
type job struct {
	submission *batchpb.Submission
	acceptedAt int64
	ended      bool
	items      []item
	byID       map[string]int
	// listed holds the numbers of the listed items; an item's position is its index here.
	listed []int
	// changed is closed and replaced when something is listed or the job ends.
	changed chan struct{}
}

// item is one request of a job.
type item struct {
	listed   bool
	state    batchpb.State
	text     string
	progress *batchpb.Progress
	// crashed are ends of replicas under the item while it was not listed, those at which its text had come furthest where there were many.
	crashed []quarantine.RecordedEnd
	// failures counts the runs that replicas answered with a failure of their own, over all owners, while the item was not listed.
	failures int
}

// made is the text that the log has of an unlisted item.
func (i *item) made() string { return i.progress.GetText() }

func (j *job) complete() bool { return len(j.listed) == len(j.items) }

// open says that items may still be run.
func (j *job) open() bool { return !j.ended && !j.complete() }

func (j *job) notify() {
	close(j.changed)
	j.changed = make(chan struct{})
}

// quotaKey names a bound on waiting tokens: each tenant has one on each route.
type quotaKey struct{ route, tenant string }

func quotaOf(submission *batchpb.Submission) quotaKey {
	return quotaKey{route: submission.Route, tenant: submission.Tenant}
}

// state is what the log of one partition says. step is the only way in which it changes.
type state struct {
	jobs map[string]*job
	// order holds the jobs in the order of acceptance.
	order   []*job
	uploads map[string][]byte
	// waitingTokens are the tokens of items that are neither listed nor of an ended job.
	waitingTokens map[quotaKey]int64
	// paces holds the estimates from finished items, by route.
	paces map[string]*itemPace
	// bytes is the size of all bodies and texts that are kept.
	bytes int64
	upTo  ledger.Position
}

func newState() *state {
	return &state{jobs: map[string]*job{}, uploads: map[string][]byte{}, waitingTokens: map[quotaKey]int64{}, paces: map[string]*itemPace{}}
}

// step takes in one record.
func (s *state) step(position ledger.Position, record ledger.Record) error {
	s.upTo = position
	switch record.Kind {
	case ledger.KindBatchChunk:
		return apply(record, &batchpb.Chunk{}, s.takeChunk)
	case ledger.KindBatchAccepted:
		return apply(record, &batchpb.Accepted{}, s.takeAccepted)
	case ledger.KindBatchResult:
		return apply(record, &batchpb.Result{}, s.takeResult)
	case ledger.KindBatchProgress:
		return apply(record, &batchpb.Progress{}, s.takeProgress)
	case ledger.KindBatchEnded:
		return apply(record, &batchpb.Ended{}, s.takeEnded)
	case ledger.KindBatchForgotten:
		return apply(record, &batchpb.Forgotten{}, s.takeForgotten)
	case ledger.KindBatchCrashed:
		return apply(record, &batchpb.Crashed{}, s.takeCrashed)
	case ledger.KindBatchFailed:
		return apply(record, &batchpb.Failed{}, s.takeFailed)
	default:
		return nil
	}
}

func apply[Message proto.Message](record ledger.Record, message Message, take func(Message) error) error {
	if err := proto.Unmarshal(record.Payload, message); err != nil {
		return fmt.Errorf("decode record of kind %d: %w", record.Kind, err)
	}
	return take(message)
}

func (s *state) takeChunk(chunk *batchpb.Chunk) error {
	s.uploads[chunk.UploadId] = append(s.uploads[chunk.UploadId], chunk.Data...)
	s.bytes += int64(len(chunk.Data))
	return nil
}

// takeAccepted makes the job exist; an earlier acceptance of the same job stands.
func (s *state) takeAccepted(accepted *batchpb.Accepted) error {
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

func (s *state) addJob(submission *batchpb.Submission, acceptedAt int64) *job {
	added := &job{
		submission: submission, acceptedAt: acceptedAt, items: make([]item, len(submission.Items)),
		byID: make(map[string]int, len(submission.Items)), changed: make(chan struct{}),
	}
	for number, each := range submission.Items {
		added.byID[each.Id] = number
		s.bytes += int64(len(each.Body))
		s.waitingTokens[quotaOf(submission)] += each.Tokens
	}
	s.jobs[submission.JobId] = added
	s.order = append(s.order, added)
	return added
}

// takeResult lists an item. A result that does not go on where the item's progress ends is passed over.
func (s *state) takeResult(result *batchpb.Result) error {
	found := s.jobs[result.JobId]
	if found == nil || int(result.Item) >= len(found.items) || found.items[result.Item].listed {
		return nil
	}
	text := result.Text
	if result.State == batchpb.State_STATE_SUCCEEDED {
		before := found.items[result.Item].made()
		if uint64(len(before)) != result.Offset {
			return nil
		}
		text = before + text
		s.paceOf(found.submission.Route).observe(finishedItem{
			tokens: found.submission.Items[result.Item].Tokens, text: len(text), ran: time.Duration(result.RanMillis) * time.Millisecond,
		})
	}
	s.list(found, int(result.Item), result.State, text)
	found.notify()
	return nil
}

// paceOf returns what is known of a route's items.
func (s *state) paceOf(routeName string) *itemPace {
	pace := s.paces[routeName]
	if pace == nil {
		pace = &itemPace{}
		s.paces[routeName] = pace
	}
	return pace
}

// list gives an item the job's next position and drops what only an unfinished item needs.
func (s *state) list(owner *job, number int, listedAs batchpb.State, text string) {
	listed := &owner.items[number]
	s.dropProgress(listed)
	listed.listed, listed.state, listed.text, listed.crashed, listed.failures = true, listedAs, text, nil, 0
	owner.listed = append(owner.listed, number)
	sent := owner.submission.Items[number]
	s.bytes += int64(len(text)) - int64(len(sent.Body))
	sent.Body = nil
	if !owner.ended {
		s.waitingTokens[quotaOf(owner.submission)] -= sent.Tokens
	}
}

func (s *state) dropProgress(of *item) {
	if of.progress != nil {
		s.bytes -= int64(len(of.progress.Text))
		of.progress = nil
	}
}

// openItem returns an item that may still be run; nil where there is none.
func (s *state) openItem(jobID string, number uint32) *item {
	found := s.jobs[jobID]
	if found == nil || found.ended || int(number) >= len(found.items) || found.items[number].listed {
		return nil
	}
	return &found.items[number]
}

// takeProgress keeps what an item has made. Progress that does not go on where the last one ended is passed over.
func (s *state) takeProgress(progress *batchpb.Progress) error {
	of := s.openItem(progress.JobId, progress.Item)
	if of == nil {
		return nil
	}
	before := of.made()
	if uint64(len(before)) != progress.Offset {
		return nil
	}
	of.progress = &batchpb.Progress{
		JobId: progress.JobId, Item: progress.Item, LastEvent: progress.LastEvent, Text: before + progress.Text,
	}
	s.bytes += int64(len(progress.Text))
	return nil
}

// crashRecorded says that the end of a replica is kept, or that those that are kept matter more.
func (i *item) crashRecorded(end quarantine.RecordedEnd) bool {
	if slices.ContainsFunc(i.crashed, func(kept quarantine.RecordedEnd) bool { return kept.Replica == end.Replica }) {
		return true
	}
	return len(i.crashed) >= mostCrashedKept && end.Reached <= i.crashed[i.leastReached()].Reached
}

// leastReached is the index of the end at which the text was shortest, the latest of several.
func (i *item) leastReached() int {
	least := 0
	for index, each := range i.crashed {
		if each.Reached <= i.crashed[least].Reached {
			least = index
		}
	}
	return least
}

// takeCrashed notes a replica that ended under an item, once.
func (s *state) takeCrashed(crashed *batchpb.Crashed) error {
	of := s.openItem(crashed.JobId, crashed.Item)
	if of == nil {
		return nil
	}
	end := quarantine.RecordedEnd{Replica: replica.Key(crashed.Replica), Reached: int(crashed.GetReached()), ReachedKnown: crashed.Reached != nil}
	if of.crashRecorded(end) {
		return nil
	}
	if len(of.crashed) >= mostCrashedKept {
		of.crashed = slices.Delete(of.crashed, of.leastReached(), of.leastReached()+1)
	}
	of.crashed = append(of.crashed, end)
	return nil
}

// takeFailed notes how often an item's runs have failed. A count never goes back.
func (s *state) takeFailed(failed *batchpb.Failed) error {
	of := s.openItem(failed.JobId, failed.Item)
	if of == nil {
		return nil
	}
	of.failures = max(of.failures, int(failed.Failures))
	return nil
}

func (s *state) takeEnded(ended *batchpb.Ended) error {
	found := s.jobs[ended.JobId]
	if found == nil || found.ended {
		return nil
	}
	found.ended = true
	for number := range found.items {
		if found.items[number].listed {
			continue
		}
		s.dropProgress(&found.items[number])
		sent := found.submission.Items[number]
		s.waitingTokens[quotaOf(found.submission)] -= sent.Tokens
	}
	found.notify()
	return nil
}

func (s *state) takeForgotten(forgotten *batchpb.Forgotten) error {
	found := s.jobs[forgotten.JobId]
	if found == nil {
		return nil
	}
	delete(s.jobs, forgotten.JobId)
	for index, each := range s.order {
		if each == found {
			s.order = append(s.order[:index:index], s.order[index+1:]...)
			break
		}
	}
	for number := range found.items {
		s.dropProgress(&found.items[number])
		s.bytes -= int64(len(found.items[number].text)) + int64(len(found.submission.Items[number].Body))
		if !found.items[number].listed && !found.ended {
			s.waitingTokens[quotaOf(found.submission)] -= found.submission.Items[number].Tokens
		}
	}
	found.notify()
	return nil
}

package job

import (
	"fmt"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	jobpb "github.com/sloelift/sloelift/api/proto/job"
	"github.com/sloelift/sloelift/internal/ledger"
	"github.com/sloelift/sloelift/internal/outcome"
)

// itemClass is the outcome class of an item.
type itemClass uint64

const (
	classOpen itemClass = iota
	classCompleted
	classFailed
	classIndeterminate

	classBits = 2
	classMask = 1<<classBits - 1
)

// itemEntry is the in-memory state of an item, packed into 8 bytes: its class and the
// position of its result. The zero value is an item without a result.
type itemEntry uint64

func newItemEntry(position ledger.Position, class itemClass) itemEntry {
	return itemEntry(uint64(position)<<classBits | uint64(class))
}

func (e itemEntry) class() itemClass          { return itemClass(e & classMask) }
func (e itemEntry) position() ledger.Position { return ledger.Position(e >> classBits) }

func classOf(result outcome.Outcome) itemClass {
	switch result {
	case outcome.Completed:
		return classCompleted
	case outcome.Indeterminate:
		return classIndeterminate
	default:
		return classFailed
	}
}

// jobState is the state of one job, derived from the partition's log.
type jobState struct {
	accepted *jobpb.JobAccepted
	phase    Phase
	endedAt  time.Time
	// entries has one element per item.
	entries   []itemEntry
	completed int
	failed    int
	// attempts holds the last attempt, unless voided, of each item that is not repeatable
	// and has no result.
	attempts map[uint32]*jobpb.ItemAttempt
}

func (j *jobState) live() bool { return j.phase == PhaseAccepted || j.phase == PhaseRunning }

func (j *jobState) remaining() int { return len(j.entries) - j.completed - j.failed }

// keyState is the state of one idempotency key. The result position is 0 until there is a
// result.
type keyState struct {
	claimed     *jobpb.KeyClaimed
	result      ledger.Position
	completedAt time.Time
}

// maxChunks bounds the chunks of one upload.
const maxChunks = 1 << 16

// uploadState is an upload that no JobAccepted or FileStored record has committed yet.
type uploadState struct {
	// positions holds the position of each chunk, 0 if it is not recorded yet. items holds
	// the number of items in each.
	positions   []uint64
	items       []uint32
	bytes       int64
	lastChunkAt time.Time
}

// partitionState is the state of one partition, derived from its log; dropExpired also
// drops entries by the current time. It is not safe for concurrent use.
type partitionState struct {
	// upTo is the position of the last applied record.
	upTo       ledger.Position
	jobs       map[string]*jobState
	keys       map[string]*keyState
	files      map[string]*jobpb.FileStored
	uploads    map[string]*uploadState
	tombstones map[string]*jobpb.Tombstone
}

func newPartitionState() *partitionState {
	return &partitionState{
		jobs:       make(map[string]*jobState),
		keys:       make(map[string]*keyState),
		files:      make(map[string]*jobpb.FileStored),
		uploads:    make(map[string]*uploadState),
		tombstones: make(map[string]*jobpb.Tombstone),
	}
}

// effect is a change of the state that the partition has to act on. It is one of the
// types below.
type effect interface{ isEffect() }

type (
	// jobBegan reports that a job was accepted and has items to run.
	jobBegan struct{ job *jobState }
	// jobEnded reports that a job ended, or that its results expired.
	jobEnded struct{ job *jobState }
	// itemEnded reports that an item got its result.
	itemEnded struct {
		job   *jobState
		index int
	}
	// keyEnded reports that an idempotency key got its result.
	keyEnded struct{ name string }
)

func (jobBegan) isEffect()  {}
func (jobEnded) isEffect()  {}
func (itemEnded) isEffect() {}
func (keyEnded) isEffect()  {}

// step applies the record at position and returns the effects. Records are applied in
// log order. Each kind is idempotent, so that a record which was appended twice does no
// harm.
func (s *partitionState) step(position ledger.Position, record ledger.Record) ([]effect, error) {
	s.upTo = position
	message, err := decodeRecord(record)
	if err != nil || message == nil {
		return nil, err
	}
	switch typed := message.(type) {
	case *jobpb.Chunk:
		s.stepChunk(position, typed)
	case *jobpb.JobAccepted:
		return s.stepJobAccepted(typed), nil
	case *jobpb.ItemAttempt:
		s.stepItemAttempt(typed)
	case *jobpb.ItemCompleted:
		return s.stepItemCompleted(position, typed), nil
	case *jobpb.JobCancelled:
		return s.stepJobCancelled(typed), nil
	case *jobpb.JobExpired:
		return s.stepJobExpired(typed), nil
	case *jobpb.KeyClaimed:
		s.stepKeyClaimed(typed)
	case *jobpb.KeyCompleted:
		return s.stepKeyCompleted(position, typed), nil
	case *jobpb.FileStored:
		s.stepFileStored(typed)
	case *jobpb.FileDeleted:
		delete(s.files, typed.GetId())
	}
	return nil, nil
}

// decodeRecord decodes the message of a record; it is nil for KindNoOperation.
func decodeRecord(record ledger.Record) (proto.Message, error) {
	var message proto.Message
	switch record.Kind {
	case ledger.KindNoOperation:
		return nil, nil
	case kindChunk:
		message = new(jobpb.Chunk)
	case ledger.KindJobAccepted:
		message = new(jobpb.JobAccepted)
	case ledger.KindItemAttempt:
		message = new(jobpb.ItemAttempt)
	case ledger.KindItemCompleted:
		message = new(jobpb.ItemCompleted)
	case ledger.KindJobCancelled:
		message = new(jobpb.JobCancelled)
	case ledger.KindJobExpired:
		message = new(jobpb.JobExpired)
	case ledger.KindKeyClaimed:
		message = new(jobpb.KeyClaimed)
	case ledger.KindKeyCompleted:
		message = new(jobpb.KeyCompleted)
	case kindFileStored:
		message = new(jobpb.FileStored)
	case kindFileDeleted:
		message = new(jobpb.FileDeleted)
	default:
		return nil, fmt.Errorf("record of unknown kind %d", record.Kind)
	}
	if err := proto.Unmarshal(record.Payload, message); err != nil {
		return nil, fmt.Errorf("decode record of kind %d: %w", record.Kind, err)
	}
	return message, nil
}

func (s *partitionState) stepChunk(position ledger.Position, chunk *jobpb.Chunk) {
	upload := s.uploads[chunk.GetUploadId()]
	if upload == nil {
		upload = &uploadState{}
		s.uploads[chunk.GetUploadId()] = upload
	}
	upload.lastChunkAt = fromMicros(chunk.GetRecordedAtMicros())
	sequence := int(chunk.GetSequence())
	if sequence >= maxChunks || upload.has(sequence) {
		return
	}
	for len(upload.positions) <= sequence {
		upload.positions = append(upload.positions, 0)
		upload.items = append(upload.items, 0)
	}
	upload.positions[sequence] = uint64(position)
	upload.items[sequence] = chunk.GetItems()
	upload.bytes += int64(len(chunk.GetData()))
}

// has reports whether the chunk with the given sequence number is recorded.
func (u *uploadState) has(sequence int) bool {
	return sequence < len(u.positions) && u.positions[sequence] != 0
}

// complete reports whether exactly the chunks with the sequence numbers below chunks are
// recorded.
func (u *uploadState) complete(chunks int) bool {
	return len(u.positions) == chunks && !slices.Contains(u.positions, 0)
}

func (s *partitionState) stepJobAccepted(accepted *jobpb.JobAccepted) []effect {
	delete(s.uploads, accepted.GetUploadId())
	id := accepted.GetId()
	if s.jobs[id] != nil || s.tombstones[id] != nil {
		return nil
	}
	job := &jobState{
		accepted: accepted,
		phase:    PhaseAccepted,
		entries:  make([]itemEntry, accepted.GetTotal()),
	}
	s.jobs[id] = job
	if job.remaining() == 0 {
		job.phase = PhaseCompleted
		job.endedAt = fromMicros(accepted.GetAcceptedAtMicros())
		return []effect{jobEnded{job}}
	}
	return []effect{jobBegan{job}}
}

func (s *partitionState) stepItemAttempt(attempt *jobpb.ItemAttempt) {
	job := s.jobs[attempt.GetJobId()]
	if job == nil || !job.live() || !job.open(attempt.GetIndex()) {
		return
	}
	if attempt.GetReplica() == "" {
		delete(job.attempts, attempt.GetIndex())
		return
	}
	if job.attempts == nil {
		job.attempts = make(map[uint32]*jobpb.ItemAttempt)
	}
	job.attempts[attempt.GetIndex()] = attempt
	job.phase = PhaseRunning
}

// open reports whether the item exists and has no result.
func (j *jobState) open(index uint32) bool {
	return int(index) < len(j.entries) && j.entries[index].class() == classOpen
}

func (s *partitionState) stepItemCompleted(position ledger.Position, completed *jobpb.ItemCompleted) []effect {
	job := s.jobs[completed.GetJobId()]
	if job == nil || !job.live() || !job.open(completed.GetIndex()) {
		return nil
	}
	class := classOf(outcome.Outcome(completed.GetResult().GetOutcome()))
	job.entries[completed.GetIndex()] = newItemEntry(position, class)
	job.countItem(class)
	delete(job.attempts, completed.GetIndex())
	job.phase = PhaseRunning
	effects := []effect{itemEnded{job, int(completed.GetIndex())}}
	if job.remaining() == 0 {
		job.end(PhaseCompleted, completed.GetRecordedAtMicros())
		effects = append(effects, jobEnded{job})
	}
	return effects
}

func (j *jobState) countItem(class itemClass) {
	if class == classCompleted {
		j.completed++
	} else {
		j.failed++
	}
}

func (j *jobState) end(phase Phase, atMicros int64) {
	j.phase = phase
	j.endedAt = fromMicros(atMicros)
	j.attempts = nil
	// The input of an ended job is not read again, so its chunks need not be retained.
	j.accepted.ChunkPositions, j.accepted.ChunkItems = nil, nil
}

func (s *partitionState) stepJobCancelled(cancelled *jobpb.JobCancelled) []effect {
	job := s.jobs[cancelled.GetJobId()]
	if job == nil || !job.live() {
		return nil
	}
	job.end(PhaseCancelled, cancelled.GetRecordedAtMicros())
	return []effect{jobEnded{job}}
}

func (s *partitionState) stepJobExpired(expired *jobpb.JobExpired) []effect {
	job := s.jobs[expired.GetJobId()]
	if job == nil || job.live() {
		return nil
	}
	accepted := job.accepted
	delete(s.jobs, accepted.GetId())
	s.tombstones[accepted.GetId()] = &jobpb.Tombstone{
		Id: accepted.GetId(), Tenant: accepted.GetTenant(), ClientKey: accepted.GetClientKey(),
		Service: accepted.GetService(), Priority: accepted.GetPriority(), Operation: accepted.GetOperation(),
		Digest: accepted.GetDigest(), Total: accepted.GetTotal(),
		Completed: uint32(job.completed), Failed: uint32(job.failed),
		AcceptedAtMicros: accepted.GetAcceptedAtMicros(), DeadlineMicros: accepted.GetDeadlineMicros(),
		EndedAtMicros: micros(job.endedAt), ExpiredAtMicros: expired.GetRecordedAtMicros(),
	}
	return []effect{jobEnded{job}}
}

// stepKeyClaimed applies a claim. The first request id keeps the key. A further claim with
// the same id moves it to another replica, which happens only after the previous replica
// refused the request.
func (s *partitionState) stepKeyClaimed(claimed *jobpb.KeyClaimed) {
	name := idempotencyKey(claimed.GetTenant(), claimed.GetKey())
	key := s.keys[name]
	if key == nil {
		s.keys[name] = &keyState{claimed: claimed}
		return
	}
	if key.result == 0 && key.claimed.GetRequestId() == claimed.GetRequestId() {
		key.claimed = claimed
	}
}

func (s *partitionState) stepKeyCompleted(position ledger.Position, completed *jobpb.KeyCompleted) []effect {
	name := idempotencyKey(completed.GetTenant(), completed.GetKey())
	key := s.keys[name]
	if key == nil || key.result != 0 {
		return nil
	}
	key.result = position
	key.completedAt = fromMicros(completed.GetRecordedAtMicros())
	return []effect{keyEnded{name}}
}

func (s *partitionState) stepFileStored(stored *jobpb.FileStored) {
	delete(s.uploads, stored.GetUploadId())
	if s.files[stored.GetId()] == nil {
		s.files[stored.GetId()] = stored
	}
}

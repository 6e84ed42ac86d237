package job

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	jobpb "github.com/sloelift/sloelift/api/proto/job"
	"github.com/sloelift/sloelift/internal/ledger"
)

// snapshot encodes the state as a jobpb.Snapshot.
func (s *partitionState) snapshot() ([]byte, error) {
	message := &jobpb.Snapshot{UpTo: uint64(s.upTo)}
	for _, job := range s.jobs {
		message.Jobs = append(message.Jobs, job.snapshot())
	}
	for _, key := range s.keys {
		message.Keys = append(message.Keys, &jobpb.KeySnapshot{
			Claimed: key.claimed, ResultPosition: uint64(key.result), CompletedAtMicros: micros(key.completedAt),
		})
	}
	for _, file := range s.files {
		message.Files = append(message.Files, file)
	}
	for id, upload := range s.uploads {
		message.Uploads = append(message.Uploads, &jobpb.UploadSnapshot{
			Id: id, Positions: upload.positions, Items: upload.items, Bytes: upload.bytes,
			LastAtMicros: micros(upload.lastChunkAt),
		})
	}
	for _, tombstone := range s.tombstones {
		message.Tombstones = append(message.Tombstones, tombstone)
	}
	return proto.MarshalOptions{Deterministic: true}.Marshal(message)
}

func (j *jobState) snapshot() *jobpb.JobSnapshot {
	message := &jobpb.JobSnapshot{
		Accepted: j.accepted, Phase: string(j.phase), EndedAtMicros: micros(j.endedAt),
		Entries: make([]uint64, len(j.entries)),
	}
	for index, entry := range j.entries {
		message.Entries[index] = uint64(entry)
	}
	for _, attempt := range j.attempts {
		message.Attempts = append(message.Attempts, attempt)
	}
	return message
}

// restorePartitionState decodes a snapshot; an empty one gives the empty state.
func restorePartitionState(encoded []byte) (*partitionState, error) {
	var message jobpb.Snapshot
	if err := proto.Unmarshal(encoded, &message); err != nil {
		return nil, fmt.Errorf("decode snapshot: %w", err)
	}
	state := newPartitionState()
	state.upTo = ledger.Position(message.GetUpTo())
	for _, job := range message.GetJobs() {
		state.jobs[job.GetAccepted().GetId()] = restoreJob(job)
	}
	for _, key := range message.GetKeys() {
		claimed := key.GetClaimed()
		state.keys[idempotencyKey(claimed.GetTenant(), claimed.GetKey())] = &keyState{
			claimed: claimed, result: ledger.Position(key.GetResultPosition()),
			completedAt: fromMicros(key.GetCompletedAtMicros()),
		}
	}
	for _, file := range message.GetFiles() {
		state.files[file.GetId()] = file
	}
	for _, upload := range message.GetUploads() {
		state.uploads[upload.GetId()] = &uploadState{
			positions: upload.GetPositions(), items: upload.GetItems(), bytes: upload.GetBytes(),
			lastChunkAt: fromMicros(upload.GetLastAtMicros()),
		}
	}
	for _, tombstone := range message.GetTombstones() {
		state.tombstones[tombstone.GetId()] = tombstone
	}
	return state, nil
}

func restoreJob(message *jobpb.JobSnapshot) *jobState {
	job := &jobState{
		accepted: message.GetAccepted(),
		phase:    Phase(message.GetPhase()),
		endedAt:  fromMicros(message.GetEndedAtMicros()),
		entries:  make([]itemEntry, len(message.GetEntries())),
	}
	for index, encoded := range message.GetEntries() {
		entry := itemEntry(encoded)
		job.entries[index] = entry
		if entry.class() != classOpen {
			job.countItem(entry.class())
		}
	}
	for _, attempt := range message.GetAttempts() {
		if job.attempts == nil {
			job.attempts = make(map[uint32]*jobpb.ItemAttempt)
		}
		job.attempts[attempt.GetIndex()] = attempt
	}
	return job
}

// keepFrom returns the lowest log position that may still be read: by the inputs of live
// jobs, results within their retention, files, results of keys, or uncommitted uploads.
func (s *partitionState) keepFrom() ledger.Position {
	lowest := s.upTo + 1
	keep := func(position ledger.Position) {
		if position != 0 && position < lowest {
			lowest = position
		}
	}
	for _, job := range s.jobs {
		for _, position := range job.accepted.GetChunkPositions() {
			keep(ledger.Position(position))
		}
		for _, entry := range job.entries {
			keep(entry.position())
		}
	}
	for _, key := range s.keys {
		keep(key.result)
	}
	for _, file := range s.files {
		for _, position := range file.GetChunkPositions() {
			keep(ledger.Position(position))
		}
	}
	for _, upload := range s.uploads {
		for _, position := range upload.positions {
			keep(ledger.Position(position))
		}
	}
	return lowest
}

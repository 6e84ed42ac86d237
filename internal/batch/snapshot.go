package batch

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	batchpb "github.com/sloelift/sloelift/api/proto/batch"
	"github.com/sloelift/sloelift/internal/ledger"
)

// snapshot encodes the whole state.
func (s *state) snapshot() ([]byte, error) {
	encoded := &batchpb.Snapshot{UpTo: uint64(s.appliedTo)}
	for _, job := range s.order {
		encoded.Jobs = append(encoded.Jobs, job.snapshot())
	}
	for id, data := range s.uploads {
		encoded.Uploads = append(encoded.Uploads, &batchpb.Chunk{UploadId: id, Data: data})
	}
	for _, name := range slices.Sorted(maps.Keys(s.paces)) {
		pace := s.paces[name]
		encoded.Paces = append(encoded.Paces, &batchpb.Pace{
			Route: name, Seen: pace.seen, NanosPerToken: pace.timePerToken.Nanoseconds(), TextPerToken: pace.bytesPerToken,
		})
	}
	for _, host := range slices.Sorted(maps.Keys(s.placements)) {
		encoded.Placements = append(encoded.Placements, s.placements[host]...)
	}
	return proto.Marshal(encoded)
}

func (j *jobState) snapshot() *batchpb.JobSnapshot {
	encoded := &batchpb.JobSnapshot{Submission: j.submission, AcceptedAt: j.acceptedAt, Ended: j.ended}
	for _, number := range j.listed {
		encoded.Results = append(encoded.Results, &batchpb.Result{
			JobId: j.submission.JobId, Item: uint32(number), State: j.items[number].state, Text: j.items[number].text,
		})
	}
	for number := range j.items {
		if progress := j.items[number].progress; progress != nil {
			encoded.Progress = append(encoded.Progress, progress)
		}
		if rewritten := j.items[number].rewritten; rewritten != nil {
			encoded.Progress = append(encoded.Progress, rewritten)
		}
		if failures := j.items[number].failures; failures > 0 {
			encoded.Failed = append(encoded.Failed, &batchpb.Failed{JobId: j.submission.JobId, Item: uint32(number), Failures: uint32(failures)})
		}
		for _, crash := range j.items[number].crashes {
			encoded.Crashed = append(encoded.Crashed, newCrashed(itemKey{job: j.submission.JobId, number: number}, crash))
		}
	}
	return encoded
}

// restoreState decodes the output of snapshot; nil is the empty state.
func restoreState(encoded []byte) (*state, error) {
	restored := newState()
	if encoded == nil {
		return restored, nil
	}
	var snapshot batchpb.Snapshot
	if err := proto.Unmarshal(encoded, &snapshot); err != nil {
		return nil, fmt.Errorf("decode snapshot: %w", err)
	}
	for _, job := range snapshot.Jobs {
		restored.restoreJob(job)
	}
	for _, chunk := range snapshot.Uploads {
		if err := restored.applyChunk(chunk); err != nil {
			return nil, err
		}
	}
	for _, pace := range snapshot.Paces {
		restored.paces[pace.Route] = &itemPace{seen: pace.Seen, timePerToken: time.Duration(pace.NanosPerToken), bytesPerToken: pace.TextPerToken}
	}
	for _, placement := range snapshot.Placements {
		_ = restored.applyPlacement(placement) // It never returns an error.
	}
	restored.appliedTo = ledger.Position(snapshot.UpTo)
	return restored, nil
}

func (s *state) restoreJob(encoded *batchpb.JobSnapshot) {
	restored := s.addJob(encoded.Submission, encoded.AcceptedAt)
	for _, result := range encoded.Results {
		s.list(restored, int(result.Item), result.State, result.Text)
	}
	// These records belong to the job that was just added; none of the calls returns an error.
	for _, progress := range encoded.Progress {
		if progress.Rewritten {
			_ = s.applyRewritten(progress)
			continue
		}
		_ = s.applyProgress(progress)
	}
	for _, crashed := range encoded.Crashed {
		_ = s.applyCrashed(crashed)
	}
	for _, failed := range encoded.Failed {
		_ = s.applyFailed(failed)
	}
	if encoded.Ended {
		_ = s.applyEnded(&batchpb.Ended{JobId: encoded.Submission.JobId})
	}
}

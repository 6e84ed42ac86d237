package job

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"hash"
	"io"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sync/errgroup"

	jobpb "github.com/sloelift/sloelift/api/proto/job"
	"github.com/sloelift/sloelift/internal/config"
	"github.com/sloelift/sloelift/internal/engine"
	"github.com/sloelift/sloelift/internal/ledger"
	"github.com/sloelift/sloelift/internal/outcome"
)

const (
	// chunkBytes is the size from which a chunk of a job is sent, and that of a file.
	chunkBytes = 256 << 10
	// maxLineBytes bounds one item, so that a chunk with it fits into one record.
	maxLineBytes = 512 << 10
	// maxJobItems bounds the items of one job.
	maxJobItems = 1_000_000
)

// uploadWindow is how many chunks of one upload are on their way at once.
const uploadWindow = 4

// uploader sends chunks to the owner of a partition, a few at once. It is used by one
// goroutine.
type uploader struct {
	forwarder *forwarder
	partition ledger.PartitionID
	id        string
	chunks    uint32
	sending   *errgroup.Group
	// caller is the caller's context; ctx is its child that ends at the first chunk that fails.
	caller, ctx context.Context
}

func newUploader(ctx context.Context, f *forwarder, partition ledger.PartitionID) *uploader {
	sending, sendContext := errgroup.WithContext(ctx)
	sending.SetLimit(uploadWindow)
	return &uploader{forwarder: f, partition: partition, id: newULID().String(), sending: sending, caller: ctx, ctx: sendContext}
}

// send begins to make one chunk durable; it keeps data. It blocks while the window is full.
func (u *uploader) send(data []byte, items int) {
	request := &jobpb.AppendChunkRequest{
		Partition: uint32(u.partition),
		Chunk:     &jobpb.Chunk{UploadId: u.id, Sequence: u.chunks, Items: uint32(items), Data: data},
	}
	u.chunks++
	u.sending.Go(func() error {
		_, err := forward(u.ctx, u.forwarder, methodAppendChunk, request)
		return err
	})
}

// failed tells whether a chunk has failed, so that no more need be sent.
func (u *uploader) failed() bool { return u.ctx.Err() != nil }

// wait returns once all chunks are durable. Nothing depends on a chunk before the
// commit, so that a failure is always NotRun.
func (u *uploader) wait() error {
	err := u.sending.Wait()
	if err == nil && u.caller.Err() != nil {
		return contextError(u.caller, outcome.NotRun)
	}
	if err == nil {
		return nil
	}
	failure := *outcome.As(err)
	failure.Outcome = outcome.NotRun
	return &failure
}

// itemScanner reads a job's JSONL input, checks each line and digests the content.
type itemScanner struct {
	lines     *bufio.Scanner
	operation engine.Operation
	service   string
	configs   *config.Snapshot
	maxItems  int
	digest    hash.Hash
	names     map[uint64]struct{}
	items     int
	number    int
}

func newItemScanner(submission *Submission, configs *config.Snapshot) *itemScanner {
	scanner := &itemScanner{
		lines: bufio.NewScanner(submission.Items), operation: submission.Operation,
		service: submission.Service, configs: configs, maxItems: maxItems(configs, submission.Tenant),
		digest: sha256.New(), names: make(map[uint64]struct{}),
	}
	scanner.lines.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	fmt.Fprintf(scanner.digest, "%s\x00%s\x00%t\x00", submission.Service, submission.Operation, submission.NotRepeatable)
	return scanner
}

// next returns the next line, valid until the call after; io.EOF at the end, else
// an *outcome.Error.
func (s *itemScanner) next() ([]byte, error) {
	for s.lines.Scan() {
		s.number++
		line := bytes.TrimSpace(s.lines.Bytes())
		if len(line) == 0 {
			continue
		}
		if err := s.check(line); err != nil {
			return nil, outcome.Wrap(err, outcome.NotRun, outcome.ReasonInvalid, fmt.Sprintf("line %d", s.number))
		}
		s.items++
		if s.items > s.maxItems {
			return nil, outcome.New(outcome.NotRun, outcome.ReasonTooLarge, fmt.Sprintf("a job has at most %d items", s.maxItems))
		}
		_, _ = s.digest.Write(line)
		_, _ = s.digest.Write([]byte{'\n'})
		return line, nil
	}
	err := s.lines.Err()
	switch {
	case err == nil:
		return nil, io.EOF
	case errors.Is(err, bufio.ErrTooLong):
		return nil, outcome.New(outcome.NotRun, outcome.ReasonTooLarge, fmt.Sprintf("line %d is over %d bytes", s.number+1, maxLineBytes))
	}
	var typed *outcome.Error
	if errors.As(err, &typed) {
		return nil, outcome.Wrap(err, outcome.NotRun, typed.Reason, "input not read")
	}
	return nil, outcome.Wrap(err, outcome.NotRun, outcome.ReasonInvalid, "input not read")
}

func (s *itemScanner) check(line []byte) error {
	item, err := parseItemLine(line, s.operation)
	if err != nil {
		return err
	}
	if !validText(item.CustomID) {
		return errors.New("custom_id is not UTF-8")
	}
	if _, _, served := resolveModel(s.configs, s.service, item.generation.Model); !served {
		return fmt.Errorf("model %q is not served by %s", item.generation.Model, s.service)
	}
	name := xxhash.Sum64String(item.CustomID)
	if _, present := s.names[name]; present {
		return fmt.Errorf("custom_id %q stands twice", item.CustomID)
	}
	s.names[name] = struct{}{}
	return nil
}

// digestOnly reads the input to its end.
func (s *itemScanner) digestOnly() error {
	for {
		if _, err := s.next(); errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return err
		}
	}
}

// uploadTo sends the input to its end in chunks of whole lines and waits for them.
func (s *itemScanner) uploadTo(to *uploader) error {
	var chunk []byte
	items := 0
	flush := func() {
		if items > 0 {
			to.send(chunk, items)
		}
		chunk, items = nil, 0
	}
	for !to.failed() {
		line, err := s.next()
		if errors.Is(err, io.EOF) {
			flush()
			break
		}
		if err != nil {
			_ = to.wait()
			return err
		}
		if chunk == nil {
			chunk = make([]byte, 0, chunkBytes+len(line)+1)
		}
		chunk = append(append(chunk, line...), '\n')
		items++
		if len(chunk) >= chunkBytes {
			flush()
		}
	}
	return to.wait()
}

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
	// chunkBytes is the size of a file chunk, and the size from which a chunk of job input
	// is sent.
	chunkBytes = 256 << 10
	// maxLineBytes bounds the input line of one item, so that a chunk fits into one record.
	maxLineBytes = 512 << 10
	// maxJobItems bounds the items of one job.
	maxJobItems = 1_000_000
)

// uploadWindow is the maximum number of chunks of one upload in flight.
const uploadWindow = 4

// uploader sends the chunks of one upload to the owner of a partition, uploadWindow at a
// time. It is not safe for concurrent use.
type uploader struct {
	forwarder *forwarder
	partition ledger.PartitionID
	id        string
	chunks    uint32
	sending   *errgroup.Group
	// callerContext is the caller's context; ctx is derived from it and ends when a chunk
	// fails.
	callerContext, ctx context.Context
}

func newUploader(ctx context.Context, f *forwarder, partition ledger.PartitionID) *uploader {
	sending, sendContext := errgroup.WithContext(ctx)
	sending.SetLimit(uploadWindow)
	return &uploader{
		forwarder: f, partition: partition, id: newULID().String(),
		sending: sending, callerContext: ctx, ctx: sendContext,
	}
}

// send starts to append one chunk and retains data. It blocks while uploadWindow chunks are
// in flight.
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

// failed reports whether a chunk has failed or the caller's context has ended, so that no
// more chunks need to be sent.
func (u *uploader) failed() bool { return u.ctx.Err() != nil }

// wait returns once all chunks are durable or have failed. Its error is always NotRun,
// because chunks have no effect before the upload is committed.
func (u *uploader) wait() error {
	err := u.sending.Wait()
	if err == nil && u.callerContext.Err() != nil {
		return contextError(u.callerContext, outcome.NotRun)
	}
	if err == nil {
		return nil
	}
	failure := *outcome.As(err)
	failure.Outcome = outcome.NotRun
	return &failure
}

// itemScanner reads the JSONL input of a job, validates each line and computes the digest
// of the content.
type itemScanner struct {
	lines     *bufio.Scanner
	operation engine.Operation
	service   string
	configs   *config.Snapshot
	maxItems  int
	digest    hash.Hash
	// customIDHashes holds the hashes of the custom ids read so far.
	customIDHashes map[uint64]struct{}
	items          int
	// lineNumber is the number of the current line, from 1, counting empty lines.
	lineNumber int
}

func newItemScanner(submission *Submission, configs *config.Snapshot) *itemScanner {
	scanner := &itemScanner{
		lines: bufio.NewScanner(submission.Items), operation: submission.Operation,
		service: submission.Service, configs: configs, maxItems: maxItems(configs, submission.Tenant),
		digest: sha256.New(), customIDHashes: make(map[uint64]struct{}),
	}
	scanner.lines.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	fmt.Fprintf(scanner.digest, "%s\x00%s\x00%t\x00", submission.Service, submission.Operation, submission.NotRepeatable)
	return scanner
}

// next returns the next non-empty line, which is valid until the following call. The error
// is io.EOF at the end of the input, otherwise an *outcome.Error.
func (s *itemScanner) next() ([]byte, error) {
	for s.lines.Scan() {
		s.lineNumber++
		line := bytes.TrimSpace(s.lines.Bytes())
		if len(line) == 0 {
			continue
		}
		if err := s.check(line); err != nil {
			return nil, outcome.Wrap(err, outcome.NotRun, outcome.ReasonInvalid, fmt.Sprintf("line %d", s.lineNumber))
		}
		s.items++
		if s.items > s.maxItems {
			return nil, outcome.New(outcome.NotRun, outcome.ReasonTooLarge,
				fmt.Sprintf("a job has at most %d items", s.maxItems))
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
		return nil, outcome.New(outcome.NotRun, outcome.ReasonTooLarge,
			fmt.Sprintf("line %d is over %d bytes", s.lineNumber+1, maxLineBytes))
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
	if !validUTF8(item.CustomID) {
		return errors.New("custom_id is not UTF-8")
	}
	if _, _, served := resolveModel(s.configs, s.service, item.generation.Model); !served {
		return fmt.Errorf("model %q is not served by %s", item.generation.Model, s.service)
	}
	idHash := xxhash.Sum64String(item.CustomID)
	if _, seen := s.customIDHashes[idHash]; seen {
		return fmt.Errorf("custom_id %q stands twice", item.CustomID)
	}
	s.customIDHashes[idHash] = struct{}{}
	return nil
}

// digestOnly validates and digests the input without uploading it.
func (s *itemScanner) digestOnly() error {
	for {
		if _, err := s.next(); errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return err
		}
	}
}

// uploadTo uploads the input in chunks of whole lines and waits until they are durable.
func (s *itemScanner) uploadTo(upload *uploader) error {
	var chunk []byte
	items := 0
	flush := func() {
		if items > 0 {
			upload.send(chunk, items)
		}
		chunk, items = nil, 0
	}
	for !upload.failed() {
		line, err := s.next()
		if errors.Is(err, io.EOF) {
			flush()
			break
		}
		if err != nil {
			_ = upload.wait()
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
	return upload.wait()
}

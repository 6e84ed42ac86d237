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

// uploader sends chunks to the owner of a partition, in order.
type uploader struct {
	forwarder *forwarder
	partition ledger.PartitionID
	id        string
	sequence  uint32
}

func newUploader(f *forwarder, partition ledger.PartitionID) *uploader {
	return &uploader{forwarder: f, partition: partition, id: newULID().String()}
}

// send makes one chunk durable. Nothing depends on a chunk before the commit, so
// that its failure is always NotRun.
func (u *uploader) send(ctx context.Context, data []byte, items int) error {
	_, err := forward(ctx, u.forwarder, methodAppendChunk, &jobpb.AppendChunkRequest{
		Partition: uint32(u.partition),
		Chunk:     &jobpb.Chunk{UploadId: u.id, Sequence: u.sequence, Items: uint32(items), Data: data},
	})
	if err != nil {
		failure := *outcome.As(err)
		failure.Outcome = outcome.NotRun
		return &failure
	}
	u.sequence++
	return nil
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

// uploadTo sends the input to its end in chunks of whole lines.
func (s *itemScanner) uploadTo(ctx context.Context, to *uploader) error {
	var chunk bytes.Buffer
	items := 0
	flush := func() error {
		if items == 0 {
			return nil
		}
		err := to.send(ctx, bytes.Clone(chunk.Bytes()), items)
		chunk.Reset()
		items = 0
		return err
	}
	for {
		line, err := s.next()
		if errors.Is(err, io.EOF) {
			return flush()
		}
		if err != nil {
			return err
		}
		chunk.Write(line)
		chunk.WriteByte('\n')
		items++
		if chunk.Len() >= chunkBytes {
			if err := flush(); err != nil {
				return err
			}
		}
	}
}

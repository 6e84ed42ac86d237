package origin

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	originpb "github.com/sloelift/sloelift/api/proto/origin"
)

const (
	// journalFolder is the folder of the journal in the data folder, segmentSuffix the suffix of its files.
	journalFolder = "origins"
	segmentSuffix = ".log"
	folderMode    = 0o750
	fileMode      = 0o640
	// segmentDuration is how long records are appended to one segment. A segment is deleted as a whole once all its records have expired.
	segmentDuration = 30 * time.Second
	// frameHeaderBytes is the size of a frame's header: the length of its payload and the CRC-32 of the payload, each of 4 bytes.
	frameHeaderBytes = 8
	// maxFrameBytes bounds the payload of a frame; a longer one is taken for a damaged header.
	maxFrameBytes = 8 << 20
)

// journal keeps records on disk, so that they outlive a node's process. What was appended since the last sync may be lost with the machine's
// power; the streams concerned cannot be resumed then. It is not safe for concurrent use.
type journal struct {
	folder string
	// current is the segment that is appended to; nil if there is none yet or appending to the last one failed.
	current   *os.File
	startedAt time.Time
	unsynced  bool
	// segments holds the expiry of the last record of each segment, by its number; next is the number of the next one.
	segments map[uint64]time.Time
	next     uint64
}

// openJournal opens the journal in a data folder, and creates it if there is none.
func openJournal(dataFolder string) (*journal, error) {
	opened := &journal{folder: filepath.Join(dataFolder, journalFolder), segments: map[uint64]time.Time{}, next: 1}
	return opened, os.MkdirAll(opened.folder, folderMode)
}

func (j *journal) path(segment uint64) string {
	return filepath.Join(j.folder, strconv.FormatUint(segment, 10)+segmentSuffix)
}

// load passes all records to add, segment by segment. Of a damaged segment it reads the part before the damage.
func (j *journal) load(now time.Time, add func(*originpb.Record)) error {
	entries, err := os.ReadDir(j.folder)
	if err != nil {
		return err
	}
	var numbers []uint64
	for _, entry := range entries {
		number, err := strconv.ParseUint(strings.TrimSuffix(entry.Name(), segmentSuffix), 10, 64)
		if err == nil {
			numbers = append(numbers, number)
		}
	}
	slices.Sort(numbers)
	var failures []error
	for _, number := range numbers {
		j.segments[number] = now
		j.next = max(j.next, number+1)
		failures = append(failures, j.loadSegment(number, now, add))
	}
	return errors.Join(failures...)
}

func (j *journal) loadSegment(number uint64, now time.Time, add func(*originpb.Record)) error {
	file, err := os.Open(j.path(number))
	if err != nil {
		return err
	}
	defer file.Close()
	reader := bufio.NewReader(file)
	for {
		records, err := readFrame(reader)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("segment %d: %w", number, err)
		}
		for _, record := range records {
			add(record)
		}
		j.noteExpiry(number, records, now)
	}
}

// errDamagedFrame means that a frame was not written whole.
var errDamagedFrame = errors.New("frame is damaged")

// readFrame reads one frame; it returns io.EOF at the end of the segment.
func readFrame(reader io.Reader) ([]*originpb.Record, error) {
	var header [frameHeaderBytes]byte
	if _, err := io.ReadFull(reader, header[:]); err != nil {
		if errors.Is(err, io.ErrUnexpectedEOF) {
			return nil, errDamagedFrame
		}
		return nil, err
	}
	length := binary.BigEndian.Uint32(header[:4])
	if length == 0 || length > maxFrameBytes {
		return nil, errDamagedFrame
	}
	payload := make([]byte, length)
	if _, err := io.ReadFull(reader, payload); err != nil || crc32.ChecksumIEEE(payload) != binary.BigEndian.Uint32(header[4:]) {
		return nil, errDamagedFrame
	}
	var frame originpb.KeepRequest
	if err := proto.Unmarshal(payload, &frame); err != nil {
		return nil, errors.Join(errDamagedFrame, err)
	}
	return frame.GetRecords(), nil
}

// append writes records as one frame. After an error the next frame goes to a new segment.
func (j *journal) append(records []*originpb.Record, now time.Time) error {
	payload, err := proto.Marshal(&originpb.KeepRequest{Records: records})
	if err != nil {
		return err
	}
	if err := j.openSegment(now); err != nil {
		return err
	}
	frame := binary.BigEndian.AppendUint32(make([]byte, 0, frameHeaderBytes+len(payload)), uint32(len(payload)))
	frame = binary.BigEndian.AppendUint32(frame, crc32.ChecksumIEEE(payload))
	if _, err := j.current.Write(append(frame, payload...)); err != nil {
		return errors.Join(err, j.closeSegment())
	}
	j.unsynced = true
	j.noteExpiry(j.next-1, records, now)
	return nil
}

// openSegment makes sure that there is a segment to append to.
func (j *journal) openSegment(now time.Time) error {
	if j.current != nil && now.Sub(j.startedAt) < segmentDuration {
		return nil
	}
	if err := j.closeSegment(); err != nil {
		return err
	}
	created, err := os.OpenFile(j.path(j.next), os.O_CREATE|os.O_EXCL|os.O_WRONLY, fileMode)
	if err != nil {
		// A file of this number may exist although it could not be listed.
		j.next++
		return err
	}
	j.current, j.startedAt, j.unsynced = created, now, false
	j.segments[j.next] = now
	j.next++
	return nil
}

func (j *journal) closeSegment() error {
	if j.current == nil {
		return nil
	}
	err := errors.Join(j.sync(), j.current.Close())
	j.current = nil
	return err
}

// sync makes what was appended survive a loss of power.
func (j *journal) sync() error {
	if j.current == nil || !j.unsynced {
		return nil
	}
	j.unsynced = false
	return j.current.Sync()
}

// noteExpiry notes until when a segment is needed for records whose lifetime starts now.
func (j *journal) noteExpiry(segment uint64, records []*originpb.Record, now time.Time) {
	for _, record := range records {
		if expiry := now.Add(lifetimeOf(record)); expiry.After(j.segments[segment]) {
			j.segments[segment] = expiry
		}
	}
}

// expire deletes the segments whose records have all expired, except the current one.
func (j *journal) expire(now time.Time) error {
	var failures []error
	for number, expiry := range j.segments {
		if !now.After(expiry) || j.current != nil && number == j.next-1 {
			continue
		}
		if err := os.Remove(j.path(number)); err != nil && !errors.Is(err, os.ErrNotExist) {
			failures = append(failures, err)
			continue
		}
		delete(j.segments, number)
	}
	return errors.Join(failures...)
}

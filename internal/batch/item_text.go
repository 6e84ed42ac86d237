package batch

import (
	"errors"

	"github.com/sloelift/sloelift/internal/eventstream"
	"github.com/sloelift/sloelift/internal/ledger"
)

const (
	// recordReserveBytes is the part of a record that is left for what it holds beside an item's text: IDs that callers and replicas choose.
	recordReserveBytes = 128 << 10
	// maxTextBytes bounds an item's text, which one record must be able to hold. A replica that sends events beyond it is taken not to end
	// its answer.
	maxTextBytes = ledger.MaxRecordBytes - recordReserveBytes
	// textShare is the share of Options.MaxBytes that the texts of unfinished items may have together at this process, before those
	// that are longer than the average are dropped. Together they stay below twice that.
	textShare = 0.25
	// minTextBytes is the length up to which a text is never dropped for the sake of others.
	minTextBytes = 64 << 10
)

var (
	errTextTooLong  = errors.New("text of the item is longer than a record can hold")
	errTextsTooLong = errors.New("text of the item is too long beside those of other items")
)

// appendText appends the data of events to the item's text. The error tells why the text is too long; it has to be dropped then.
func (a *itemAttempt) appendText(events eventstream.Events) error {
	a.text = eventstream.AppendData(a.text, events.Bytes)
	if a.noteEvents != nil {
		a.noteEvents(events.Count)
	}
	if events.LastID != "" {
		a.lastEvent = events.LastID
	}
	a.partition.recordProgress(a)
	switch {
	case len(a.text) > maxTextBytes:
		return errTextTooLong
	case len(a.text) > minTextBytes && a.partition.service.exceedsTextShare(len(a.text)):
		return errTextsTooLong
	default:
		return nil
	}
}

// exceedsTextShare reports whether the texts of unfinished items are too long together, and one of the given length is longer than their
// average.
func (s *Service) exceedsTextShare(length int) bool {
	bytes, count := s.unfinishedTexts()
	allowed := int(textShare * float64(s.options.MaxBytes))
	return bytes > allowed && length > allowed/max(1, count)
}

// unfinishedTexts returns the total length and the number of the texts of unfinished items of all partitions owned here.
func (s *Service) unfinishedTexts() (bytes, count int) {
	for _, ownedPartition := range s.owned() {
		length, texts := ownedPartition.unfinishedTexts()
		bytes += length
		count += texts
	}
	return bytes, count
}

func (p *partition) unfinishedTexts() (bytes, count int) {
	p.mutex.RLock()
	defer p.mutex.RUnlock()
	for _, run := range p.runs {
		if len(run.text) > 0 {
			bytes += len(run.text)
			count++
		}
	}
	return bytes, count
}

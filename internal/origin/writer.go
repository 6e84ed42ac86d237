package origin

import (
	"time"

	originpb "github.com/sloelift/sloelift/api/proto/origin"
	"github.com/sloelift/sloelift/internal/clock"
	"github.com/sloelift/sloelift/internal/pause"
	"github.com/sloelift/sloelift/internal/subscription"
)

const (
	// writeDelay is how long records are collected before they are appended to the journal together.
	writeDelay = 10 * time.Millisecond
	// syncInterval is the least time between two syncs of the journal, which compete with those of the ledger.
	syncInterval = 400 * time.Millisecond
	// maxUnwritten bounds the records that wait for the disk; later ones are kept in memory alone.
	maxUnwritten = 16384
)

// loadJournal fills the book with the records of the journal. It is called before the node answers others.
func (s *Service) loadJournal(dataFolder string) {
	if dataFolder == "" {
		return
	}
	opened, err := openJournal(dataFolder)
	if err != nil {
		s.logger.Warn().Err(err).Msg("origin_journal_not_opened")
		return
	}
	s.journal = opened
	now := clock.Now()
	loaded := 0
	err = opened.load(now, func(message *originpb.Record) {
		if s.book.add(message.GetRequest(), decodeOrigin(message), message.GetDisputed(), lifetimeOf(message), now) {
			loaded++
		}
	})
	s.logger.Info().Int("records", loaded).Err(err).Msg("origin_journal_loaded")
}

// queueWrite queues a record for the journal. The mutex is held.
func (s *Service) queueWrite(message *originpb.Record) {
	if s.journal != nil && len(s.unwritten) < maxUnwritten {
		s.unwritten = append(s.unwritten, message)
		subscription.Signal(s.unwrittenChanged)
	}
}

// writeJournal appends records to the journal until the service stops, and then the last ones. A slow or failing disk delays nobody.
func (s *Service) writeJournal() {
	syncTimer := time.NewTimer(syncInterval)
	defer syncTimer.Stop()
	for s.ctx.Err() == nil {
		select {
		case <-s.unwrittenChanged:
			pause.Sleep(s.ctx, writeDelay)
			s.writeQueued()
			syncTimer.Reset(syncInterval)
			s.syncJournal(clock.Now())
		case <-syncTimer.C:
			s.syncJournal(clock.Now())
		case <-s.ctx.Done():
		}
	}
	s.writeQueued()
	s.reportWriteError(s.journal.closeSegment())
}

// writeQueued appends the queued records to the journal.
func (s *Service) writeQueued() {
	s.mutex.Lock()
	queued := s.unwritten
	s.unwritten = nil
	s.mutex.Unlock()
	if len(queued) > 0 {
		s.reportWriteError(s.journal.append(queued, clock.Now()))
	}
}

// syncJournal syncs the journal and deletes expired segments, if that was last done syncInterval ago or earlier.
func (s *Service) syncJournal(now time.Time) {
	if now.Sub(s.syncedAt) < syncInterval {
		return
	}
	s.syncedAt = now
	s.reportWriteError(s.journal.sync())
	s.reportWriteError(s.journal.expire(now))
}

// reportWriteError logs an error of the journal. The records concerned are kept in memory alone.
func (s *Service) reportWriteError(err error) {
	if err != nil {
		s.logger.Warn().Err(err).Msg("origins_not_written")
	}
}

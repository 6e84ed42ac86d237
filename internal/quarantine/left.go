package quarantine

import (
	"time"

	"github.com/sloelift/sloelift/internal/clock"
	"github.com/sloelift/sloelift/internal/replica"
)

const (
	// lingerTime is how long a replica may work on a message after the connection was closed: most stop at the next step, some only when they
	// next write.
	lingerTime = 2 * time.Second
	// maxLeft bounds the runs that are remembered for that.
	maxLeft = 4096
)

// inquireLater are the times after which it is found out whether a suspect that was broken off has ended its replica all the same; nothing
// else of this node may run there to show it.
var inquireLater = []time.Duration{150 * time.Millisecond, 450 * time.Millisecond}

// leftRun is a run that was broken off from here.
type leftRun struct {
	run   *run
	until time.Time
}

// leave remembers a run that was broken off: its replica may end under it yet.
func (s *Service) leave(left *run) {
	now := clock.Now()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.forgetLeft(now)
	if s.leftCount >= maxLeft {
		return
	}
	left.left = true
	s.leftCount++
	s.left[left.handle.Key()] = append(s.left[left.handle.Key()], leftRun{run: left, until: now.Add(lingerTime)})
	if s.book.verdict(left.key) != Allowed && !s.stopped {
		s.running.Go(func() { s.inquireAfter(left.handle) })
	}
}

// inquireAfter finds out a while later whether a replica has ended.
func (s *Service) inquireAfter(handle *replica.Handle) {
	for _, wait := range inquireLater {
		select {
		case <-time.After(wait):
		case <-s.ctx.Done():
			return
		}
		inquiry := s.inquire(handle)
		<-inquiry.done
		if inquiry.ended {
			return
		}
	}
}

// suspectLeft counts a replica's end against the messages that may still have run there. The mutex is held.
func (s *Service) suspectLeft(ended replica.Key, at time.Time) {
	for _, each := range s.left[ended] {
		if at.Before(each.until) && at.After(each.run.began) {
			s.suspect(each.run, at, at.Sub(each.run.began))
		}
	}
	s.leftCount -= len(s.left[ended])
	delete(s.left, ended)
}

// forgetLeft drops what no replica works on any more. The mutex is held.
func (s *Service) forgetLeft(now time.Time) {
	if now.Before(s.forgetLeftAt) {
		return
	}
	s.forgetLeftAt = now.Add(lingerTime)
	for ended, runs := range s.left {
		kept := runs[:0]
		for _, each := range runs {
			if now.Before(each.until.Add(lingerTime)) {
				kept = append(kept, each)
			}
		}
		s.leftCount -= len(runs) - len(kept)
		if s.left[ended] = kept; len(kept) == 0 {
			delete(s.left, ended)
		}
	}
}

package membership

import (
	"time"

	"github.com/rs/zerolog"

	"github.com/sloelift/sloelift/internal/logging"
)

const (
	// changeLogPeriod is the time over which logged changes are bounded, mostChangesLogged the bound.
	changeLogPeriod   = time.Second
	mostChangesLogged = 20
)

// changeLog logs a line for each change of a member, and one for all changes beyond mostChangesLogged in a period: where all nodes of a large fleet
// start at once, each would else write a line about each other one. It belongs to the control goroutine.
type changeLog struct {
	logger zerolog.Logger
	// began is when the present period began, logged the lines in it, left the changes that got none, by kind.
	began  time.Time
	logged int
	left   map[changeKind]int
}

func newChangeLog(logger zerolog.Logger) *changeLog {
	return &changeLog{logger: logger, left: map[changeKind]int{}}
}

// take logs a change, or counts it.
func (l *changeLog) take(change changeAction, now time.Time) {
	l.tick(now)
	if l.logged >= mostChangesLogged {
		l.left[change.kind]++
		return
	}
	l.logged++
	l.logger.Info().
		Str(fieldMember, string(change.id)).
		Str(logging.FieldZone, change.zone).
		Uint64(fieldIncarnation, change.incarnation).
		Str(fieldChange, string(change.kind)).
		Dur(fieldSilence, change.silence).
		Msg("member_changed")
}

// tick ends a period that is over.
func (l *changeLog) tick(now time.Time) {
	if now.Sub(l.began) < changeLogPeriod {
		return
	}
	l.flush()
	l.began, l.logged = now, 0
}

// flush logs how many changes got no line.
func (l *changeLog) flush() {
	if len(l.left) == 0 {
		return
	}
	line := l.logger.Info()
	for kind, count := range l.left {
		line = line.Int(string(kind), count)
	}
	line.Msg("further_members_changed")
	clear(l.left)
}

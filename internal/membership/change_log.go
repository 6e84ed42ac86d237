package membership

import (
	"time"

	"github.com/rs/zerolog"

	"github.com/sloelift/sloelift/internal/logging"
)

const (
	// At most maxChangesLogged member changes are logged in each changeLogPeriod.
	changeLogPeriod  = time.Second
	maxChangesLogged = 20
)

// changeLog logs one line for each change of a member, and one summary line for all changes beyond
// maxChangesLogged in a period. Without the bound, when all nodes of a large fleet start at once,
// each would log a line about every other one. It is used by the control goroutine only.
type changeLog struct {
	logger zerolog.Logger
	// periodStart is the start of the current period, logged the number of lines written in it, and
	// suppressed the number of changes without a line, by kind.
	periodStart time.Time
	logged      int
	suppressed  map[changeKind]int
}

func newChangeLog(logger zerolog.Logger) *changeLog {
	return &changeLog{logger: logger, suppressed: map[changeKind]int{}}
}

// add logs a change, or counts it as suppressed.
func (l *changeLog) add(change changeAction, now time.Time) {
	l.tick(now)
	if l.logged >= maxChangesLogged {
		l.suppressed[change.kind]++
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

// tick starts a new period once the current one is over.
func (l *changeLog) tick(now time.Time) {
	if now.Sub(l.periodStart) < changeLogPeriod {
		return
	}
	l.flush()
	l.periodStart, l.logged = now, 0
}

// flush logs the number of suppressed changes, by kind.
func (l *changeLog) flush() {
	if len(l.suppressed) == 0 {
		return
	}
	line := l.logger.Info()
	for kind, count := range l.suppressed {
		line = line.Int(string(kind), count)
	}
	line.Msg("further_members_changed")
	clear(l.suppressed)
}

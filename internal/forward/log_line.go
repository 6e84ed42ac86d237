package forward

import "github.com/rs/zerolog"

// logLine is a log event whose message is already chosen.
type logLine struct {
	event   *zerolog.Event
	message string
}

// Int adds a number.
func (l *logLine) Int(name string, value int) *logLine {
	l.event.Int(name, value)
	return l
}

// Err adds an error.
func (l *logLine) Err(err error) *logLine {
	l.event.Err(err)
	return l
}

// Send writes the line.
func (l *logLine) Send() { l.event.Msg(l.message) }

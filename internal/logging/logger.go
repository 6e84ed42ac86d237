package logging

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"log"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

// New returns a logger that writes one line of key=value pairs per event to out.
// It is safe for concurrent use. Timestamps are RFC 3339 in UTC with milliseconds.
func New(out io.Writer, level zerolog.Level) zerolog.Logger {
	writer := &pairWriter{out: out}
	return zerolog.New(writer).Level(level).Hook(timestampHook{})
}

type timestampHook struct{}

// Run adds the event's time.
func (timestampHook) Run(event *zerolog.Event, _ zerolog.Level, _ string) {
	event.Str(zerolog.TimestampFieldName, timestamp(time.Now()))
}

func timestamp(now time.Time) string { return now.UTC().Format("2006-01-02T15:04:05.000Z07:00") }

// pairWriter converts zerolog's JSON events to key=value lines.
type pairWriter struct {
	mutex sync.Mutex
	out   io.Writer
}

// leadingFields are written first, in this order; the others follow sorted by name.
var leadingFields = []string{zerolog.TimestampFieldName, zerolog.LevelFieldName, zerolog.MessageFieldName}

// Write writes one JSON event as a line. It returns the length of the event, as io.Writer requires.
func (w *pairWriter) Write(event []byte) (int, error) {
	decoder := json.NewDecoder(bytes.NewReader(event))
	decoder.UseNumber()
	var fields map[string]any
	if err := decoder.Decode(&fields); err != nil {
		return 0, fmt.Errorf("decode log event: %w", err)
	}
	var line strings.Builder
	for _, name := range leadingFields {
		if value, present := fields[name]; present {
			writePair(&line, name, value)
			delete(fields, name)
		}
	}
	names := make([]string, 0, len(fields))
	for name := range fields {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		writePair(&line, name, fields[name])
	}
	line.WriteByte('\n')
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if _, err := io.WriteString(w.out, line.String()); err != nil {
		return 0, err
	}
	return len(event), nil
}

func writePair(line *strings.Builder, name string, value any) {
	if line.Len() > 0 {
		line.WriteByte(' ')
	}
	line.WriteString(name)
	line.WriteByte('=')
	line.WriteString(formatValue(value))
}

func formatValue(value any) string {
	switch typed := value.(type) {
	case string:
		if typed == "" || strings.ContainsAny(typed, " =\"\n\t\\") {
			return strconv.Quote(typed)
		}
		return typed
	case json.Number:
		return typed.String()
	case bool:
		return strconv.FormatBool(typed)
	default:
		encoded, err := json.Marshal(typed)
		if err != nil {
			return "unprintable"
		}
		return strconv.Quote(string(encoded))
	}
}

// Discard returns a standard logger that writes nothing, for servers that would otherwise log each broken connection.
func Discard() *log.Logger { return log.New(io.Discard, "", 0) }

package eventstream

import (
	"errors"
	"unicode/utf8"
)

// ErrNotText is the error for an event that is not UTF-8 text, which events have to be (HTML standard, section 9.2).
var ErrNotText = errors.New("an event is not UTF-8 text")

// Text returns the events before the first one that is not UTF-8 text, and ErrNotText if there is such an event.
func (e Events) Text() (Events, error) {
	if utf8.Valid(e.Bytes) {
		return e, nil
	}
	valid := 0
	for valid < len(e.Bytes) {
		length := eventEnd(e.Bytes[valid:])
		if length == 0 || !utf8.Valid(e.Bytes[valid:valid+length]) {
			break
		}
		valid += length
	}
	text := e.Bytes[:valid]
	return Events{Bytes: text, LastID: lastEventID(text), Count: countEvents(text)}, ErrNotText
}

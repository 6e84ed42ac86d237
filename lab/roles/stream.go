package roles

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	wire "github.com/sloelift/sloelift/platform"
)

// maxTakeUps is the maximum number of times that a caller takes up one stream.
const maxTakeUps = 3

// streamRead is what a caller has received of one stream, over all its attempts.
type streamRead struct {
	// firstRequest is the id of the attempt that brought the first event, and version the version of the replica that wrote that event;
	// both are empty before it.
	firstRequest string
	version      string
	// firstEdge is the edge that brought the first event, and beganAt the time of that attempt.
	firstEdge string
	beganAt   time.Time
	// lastEvent is the number of the last event received, 0 for none.
	lastEvent int
}

// began reports whether the caller has an event of the stream.
func (s *streamRead) began() bool { return s.lastEvent > 0 }

// addTo adds the headers by which a caller takes up a stream that has begun.
func (s *streamRead) addTo(header http.Header) {
	if s.began() {
		header.Set(wire.Headers.LastEventID, strconv.Itoa(s.lastEvent))
		header.Set(wire.Headers.Resumes, s.firstRequest)
	}
}

// streamAttempt is what one attempt of a caller brought of a stream.
type streamAttempt struct {
	sentAt, endedAt time.Time
	// takesUp is set if the stream had begun before; version is then the version that began it.
	takesUp bool
	version string
	// beganAtEdge and beganAt are the edge and the time at which the stream began, if it was taken up.
	beganAtEdge string
	beganAt     time.Time
	// versionServes reports whether two replicas or more of that version served while the attempt lasted.
	versionServes bool
	// events is the number of events that the attempt brought; brokenOff is set if the caller itself closed the connection.
	events    int
	brokenOff bool
	// mixed describes the event of another version than that of the stream, empty if there was none.
	mixed string
}

// readStream reads events up to breakOffAfter, 0 for all. It checks that the stream goes on after the last event received before, has every
// event exactly once and in order, and that one version wrote all of them.
func (c *callers) readStream(body io.Reader, payload work, sent *onlineAttempt, read *streamRead, breakOffAfter int) {
	lines := bufio.NewScanner(body)
	number := read.lastEvent
	for lines.Scan() {
		name, value, _ := strings.Cut(lines.Text(), ": ")
		switch name {
		case "id":
			next, err := strconv.Atoi(value)
			if err != nil || next != number+1 {
				sent.violation = fmt.Sprintf("event %q follows event %d", value, number)
				return
			}
			number = next
		case "data":
			version, found := payload.versionOf(c.fleet.options.versions(), number, value)
			if !found {
				sent.violation = fmt.Sprintf("event %d is not that of the request", number)
				return
			}
			read.note(sent, number, version)
			if breakOffAfter > 0 && sent.stream.events >= breakOffAfter {
				sent.stream.brokenOff = true
				return
			}
		}
	}
	sent.complete = lines.Err() == nil
	if sent.complete && number < payload.Events {
		sent.violation = fmt.Sprintf("the stream ends as whole after %d of %d events", number, payload.Events)
	}
}

// note records an event that a replica of the given version wrote.
func (s *streamRead) note(sent *onlineAttempt, number int, version string) {
	if !s.began() {
		s.firstRequest, s.version = sent.id, version
		s.firstEdge, s.beganAt = sent.edge, sent.stream.sentAt
	}
	s.lastEvent = number
	sent.stream.events++
	if version != s.version && sent.stream.mixed == "" {
		sent.stream.mixed = fmt.Sprintf("stream %s began at version %s, and event %d is of version %s", s.firstRequest, s.version, number, version)
	}
}

// judgeStreams checks that no stream holds events of two versions, and that streams which their callers take up go on. Both leave out
// attempts at edges that ran the previous build, the second also those at edges that were not in touch, and streams that began at the previous
// build, which tells nobody their version.
func (v *verdict) judgeStreams(
	attempts []*onlineAttempt, isPreviousBuild func(edge string, at time.Time) bool, inTouch func(edge string, from, to time.Time) bool,
) {
	var fresh, freshBegun, takenUp, wentOn int
	for _, attempt := range attempts {
		stream := attempt.stream
		if stream == nil || isPreviousBuild(attempt.edge, stream.sentAt) {
			continue
		}
		if stream.mixed != "" {
			v.counts.MixedStreams++
			v.addViolation("request %s at %s: %s", attempt.id, attempt.edge, stream.mixed)
		}
		if !inTouch(attempt.edge, stream.sentAt, stream.endedAt) {
			continue
		}
		switch {
		case !stream.takesUp:
			fresh++
			freshBegun += min(1, stream.events)
		case stream.versionServes && !isPreviousBuild(stream.beganAtEdge, stream.beganAt):
			takenUp++
			wentOn += min(1, stream.events)
		}
	}
	v.counts.StreamsTakenUp, v.counts.StreamsWentOn = takenUp, wentOn
	if takenUp >= minTakenUp && float64(wentOn)/float64(takenUp) < minWentOnShare*float64(freshBegun)/float64(fresh) {
		v.addViolation("%d of %d streams that were taken up went on, %d of %d new ones began", wentOn, takenUp, freshBegun, fresh)
	}
}

const (
	// minTakenUp is the number of streams taken up from which on their share is judged, and minWentOnShare the least share of them that
	// must go on, as a share of the new streams that begin. Both come from the platform's documentation.
	minTakenUp     = 12
	minWentOnShare = 0.5
)

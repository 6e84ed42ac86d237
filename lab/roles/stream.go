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
	// events is the number of events that the attempt brought.
	events int
	// mixed describes the event of another version than that of the stream, empty if there was none.
	mixed string
}

// newAttempt returns the next attempt at a stream.
func (s *streamRead) newAttempt() *streamAttempt {
	return &streamAttempt{sentAt: time.Now(), takesUp: s.began(), version: s.version, beganAtEdge: s.firstEdge, beganAt: s.beganAt}
}

// end notes the end of an attempt; versionServes tells whether two replicas or more of a version serve.
func (s *streamAttempt) end(servedAtStart bool, versionServes func(version string) bool) {
	s.endedAt = time.Now()
	s.versionServes = servedAtStart && versionServes(s.version)
}

// readStream reads events up to breakOffAfter, 0 for all. It checks that the stream goes on after the last event received before, has every
// event exactly once and in order, and that one version wrote all of them. An event counts once its closing empty line is in.
func (c *callers) readStream(body io.Reader, payload work, sent *onlineAttempt, read *streamRead, breakOffAfter int) {
	lines := bufio.NewScanner(body)
	fields := map[string]string{}
	for lines.Scan() {
		if name, value, found := strings.Cut(lines.Text(), ": "); found {
			fields[name] = value
			continue
		}
		if lines.Text() != "" || len(fields) == 0 {
			continue
		}
		sent.violation = c.readEvent(fields, payload, sent, read)
		if sent.violation != "" || breakOffAfter > 0 && sent.stream.events >= breakOffAfter {
			return
		}
		clear(fields)
	}
	sent.complete = lines.Err() == nil
	if sent.complete && read.lastEvent < payload.Events {
		sent.violation = fmt.Sprintf("the stream ends as whole after %d of %d events", read.lastEvent, payload.Events)
	}
}

// readEvent notes an event, and returns what is wrong with it, "" for nothing.
func (c *callers) readEvent(fields map[string]string, payload work, sent *onlineAttempt, read *streamRead) (violation string) {
	number, err := strconv.Atoi(fields["id"])
	if err != nil || number != read.lastEvent+1 {
		return fmt.Sprintf("event %q follows event %d", fields["id"], read.lastEvent)
	}
	version, found := payload.versionOf(c.fleet.options.versions(), number, fields["data"])
	if !found {
		return fmt.Sprintf("event %d is not that of the request", number)
	}
	read.note(sent, number, version)
	return ""
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

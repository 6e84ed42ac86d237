package edge

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// callerShare is the part of the process's file descriptors that callers' connections may take. The others are for connections to replicas
// (up to 64 kept for each), to other nodes (two each), to the key-value service, and for files.
const callerShare = 0.5

// connectionLimit keeps callers' connections below a number, so that those who come can always be accepted and replicas be reached: for a
// new connection over the limit it closes one on which no request is served, that which has waited longest. Where all of them serve
// requests, the new one is closed. It is safe for concurrent use.
type connectionLimit struct {
	// most is the number of connections; 0 is no limit.
	most    int
	dropped func(waited time.Duration)

	// mutex guards open.
	mutex sync.Mutex
	open  map[net.Conn]*openConnection
}

// connectionKey is that of the caller's connection in a request's context.
type connectionKey struct{}

// openConnection is what is known of one connection.
type openConnection struct {
	// serving says that a request is served; since is when that became so or ceased to be.
	serving bool
	since   time.Time
}

// newConnectionLimit returns a limit for a process with so many file descriptors; 0 is no limit. dropped is called for each connection
// that is closed.
func newConnectionLimit(fileDescriptors int, dropped func(waited time.Duration)) *connectionLimit {
	return &connectionLimit{most: int(callerShare * float64(fileDescriptors)), dropped: dropped, open: map[net.Conn]*openConnection{}}
}

// change follows connections as they come and go; it is the server's ConnState. One that has sent a part of a head only counts as
// waiting.
func (l *connectionLimit) change(connection net.Conn, state http.ConnState) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now := time.Now()
	switch state {
	case http.StateNew:
		l.open[connection] = &openConnection{since: now}
		l.makeRoom(now)
	case http.StateClosed, http.StateHijacked:
		delete(l.open, connection)
	}
}

// serve has handler serve, and notes the connections on which it does.
func (l *connectionLimit) serve(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		connection, _ := request.Context().Value(connectionKey{}).(net.Conn)
		l.set(connection, true)
		defer l.set(connection, false)
		handler.ServeHTTP(writer, request)
	})
}

func (l *connectionLimit) set(connection net.Conn, serving bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if known := l.open[connection]; known != nil {
		known.serving, known.since = serving, time.Now()
	}
}

// makeRoom closes connections until there are no more than the limit. The mutex is held.
func (l *connectionLimit) makeRoom(now time.Time) {
	for l.most > 0 && len(l.open) > l.most {
		chosen := l.leastNeeded()
		l.dropped(now.Sub(l.open[chosen].since))
		delete(l.open, chosen)
		// Its end is what is wanted, whatever comes of it; the line of dropped says that it went.
		_ = chosen.Close()
	}
}

// leastNeeded returns a connection without a request, that which has waited longest, or else the newest. The mutex is held.
func (l *connectionLimit) leastNeeded() net.Conn {
	var chosen net.Conn
	for connection, each := range l.open {
		if chosen == nil || each.before(l.open[chosen]) {
			chosen = connection
		}
	}
	return chosen
}

// before says that a connection is closed rather than another.
func (o *openConnection) before(other *openConnection) bool {
	if o.serving != other.serving {
		return !o.serving
	}
	if o.serving {
		return o.since.After(other.since)
	}
	return o.since.Before(other.since)
}

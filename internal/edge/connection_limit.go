package edge

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// callerShare is the fraction of the process's file descriptors that callers' connections may use.
// The others are for connections to replicas (up to 64 idle ones kept for each), to other nodes
// (two each), to the key-value service, and for files.
const callerShare = 0.5

// unusedWait is how long a planned stop waits for the first request on a connection.
const unusedWait = 5 * time.Second

// connectionLimit limits the number of callers' connections, so that file descriptors remain for
// accepting new ones and for reaching replicas. For a new connection over the limit it closes the
// one that has been idle longest. If all others are serving requests, it closes the new one. It
// is safe for concurrent use.
type connectionLimit struct {
	// maxConnections is the maximum number of connections; 0 means no limit.
	maxConnections int
	// onDrop is called for each connection closed, with the time since its state last changed.
	onDrop func(waited time.Duration)

	// mutex guards open.
	mutex sync.Mutex
	open  map[net.Conn]*openConnection
}

// connectionKey is the context key of a request's connection.
type connectionKey struct{}

// openConnection is the state of one open connection.
type openConnection struct {
	// serving is true while a request is served; since is when serving last changed, or when the
	// connection was accepted.
	serving bool
	since   time.Time
	// used is true once a request was served.
	used bool
}

// newConnectionLimit returns a limit for a process that may have the given number of file
// descriptors open; 0 means no limit. onDrop is called for each connection that the limit closes.
func newConnectionLimit(fileDescriptors int, onDrop func(waited time.Duration)) *connectionLimit {
	return &connectionLimit{
		maxConnections: int(callerShare * float64(fileDescriptors)),
		onDrop:         onDrop,
		open:           map[net.Conn]*openConnection{},
	}
}

// connectionState records connections that open and close; it is the server's ConnState. A connection that
// has sent only a part of a request header counts as idle.
func (l *connectionLimit) connectionState(connection net.Conn, state http.ConnState) {
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

// wrapHandler wraps handler to record which connections are serving a request.
func (l *connectionLimit) wrapHandler(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		connection, _ := request.Context().Value(connectionKey{}).(net.Conn)
		l.setServing(connection, true)
		defer l.setServing(connection, false)
		handler.ServeHTTP(writer, request)
	})
}

func (l *connectionLimit) setServing(connection net.Conn, serving bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if state := l.open[connection]; state != nil {
		state.serving, state.since, state.used = serving, time.Now(), true
	}
}

// makeRoom closes connections until the limit is met. The caller must hold the mutex.
func (l *connectionLimit) makeRoom(now time.Time) {
	for l.maxConnections > 0 && len(l.open) > l.maxConnections {
		victim := l.leastNeeded()
		l.onDrop(now.Sub(l.open[victim].since))
		delete(l.open, victim)
		// An error of Close does not matter: the connection is not used again, and onDrop has
		// reported it.
		_ = victim.Close()
	}
}

// leastNeeded returns the connection that has been idle longest, or the newest one if none is idle.
// The caller must hold the mutex.
func (l *connectionLimit) leastNeeded() net.Conn {
	var chosen net.Conn
	for connection, candidate := range l.open {
		if chosen == nil || candidate.closesBefore(l.open[chosen]) {
			chosen = connection
		}
	}
	return chosen
}

// closesBefore reports whether this connection is to be closed before the other one.
func (o *openConnection) closesBefore(other *openConnection) bool {
	if o.serving != other.serving {
		return !o.serving
	}
	if o.serving {
		return o.since.After(other.since)
	}
	return o.since.Before(other.since)
}

// quiescent reports whether no request is served, and none is to be expected: a connection that was opened within the last unusedWait and
// not used yet will probably bring one.
func (l *connectionLimit) quiescent(now time.Time) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, state := range l.open {
		if state.serving || !state.used && now.Sub(state.since) < unusedWait {
			return false
		}
	}
	return true
}

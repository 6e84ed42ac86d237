package roles

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"

	wire "github.com/sloelift/sloelift/platform"
)

// spoiltAnswers are responses that do not show that they are the replica's: "{id}" and "{instance}" stand for the id of the request and that
// of the replica.
var spoiltAnswers = []string{
	"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n",
	"HTTP/1.1 429 Too Many Requests\r\nRetry-After: 0\r\nContent-Length: 0\r\n\r\n",
	"HTTP/1.1 421 Misdirected Request\r\nX-Sloelift-Instance-Id: {instance}\r\nContent-Length: 0\r\n\r\n",
	"HTTP/1.1 408 Request Timeout\r\nX-Sloelift-Request-Id: {id}\r\nContent-Length: 0\r\n\r\n",
	"HTTP/1.1 422 Unprocessable Content\r\nContent-Length: 0\r\n\r\n",
	"HTTP/1.1 500 Internal Server Error\r\nX-Sloelift-Request-Id: {id}\r\nContent-Length: 0\r\n\r\n",
	"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n",
	"HTTP/1.1 200 OK\r\nX-Sloelift-Request-Id: {id}\r\nContent-Length: 0\r\n\r\n",
	"HTTP/1.1 200 OK\r\nX-Sloelift-Request-Id: {id}\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	"HTTP/1.1 204 No Content\r\n\r\n",
	"HTTP/1.1 200 OK\r\nX-Sloelift-Request-Id: {id}\r\nX-Sloelift-Server-Signature: {signature}\r\nTransfer-Encoding: chunked\r\n\r\n14\r\nid: 1\x01\ndata: spoilt\n\n\r\n",
}

// signedHead is the head of a chunked answer that is the replica's.
const signedHead = "HTTP/1.1 200 OK\r\nX-Sloelift-Request-Id: {id}\r\nX-Sloelift-Server-Signature: {signature}\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"

// endlessAnswers are the beginnings of responses with what is then sent again and again. None has a whole event: a signed one could not be told
// from a sound replica's.
var endlessAnswers = []struct{ begin, repeated string }{
	{signedHead, "10\r\ndata without end\r\n"},
	{"HTTP/1.1 200 OK\r\nX-Long: ", "xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx"},
	{"HTTP/1.1 200 OK\r\n", "X-More: yyyyyyyyyyyyyyyyyyyyyyyyyy\r\n"},
	{"HTTP/1.1 200 ", "zzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzz"},
	{"", "HTTP/1.1 102 Processing\r\n\r\n"},
}

const (
	// endlessPiece is the size of one write of an endless answer, maxEndlessBytes the size after which the replica gives up.
	endlessPiece    = 64 << 10
	maxEndlessBytes = 64 << 20
)

// takeConnection takes the connection of a request from the HTTP server; the caller closes it.
func takeConnection(writer http.ResponseWriter) net.Conn {
	connection, _, err := http.NewResponseController(writer).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler) // The connection has ended.
	}
	return connection
}

// fillIn replaces the placeholders of a spoilt or endless answer.
func (r *replica) fillIn(answer, id string) string {
	return strings.NewReplacer("{id}", id, "{instance}", r.id, "{signature}", r.id+"."+id).Replace(answer)
}

// spoilAnswer sends a response that is none in the place of the answer to a request that has run.
func (r *replica) spoilAnswer(writer http.ResponseWriter, request *http.Request) {
	connection := takeConnection(writer)
	defer func() { _ = connection.Close() }()
	answer := pick(spoiltAnswers, int(r.decisions.Load()))
	// An error means that the caller has disconnected.
	_, _ = io.WriteString(connection, r.fillIn(answer, request.Header.Get(wire.Headers.RequestID)))
}

// answerWithoutEnd sends bytes until the caller closes the connection.
func (r *replica) answerWithoutEnd(writer http.ResponseWriter, request *http.Request) {
	connection := takeConnection(writer)
	defer func() { _ = connection.Close() }()
	answer := pick(endlessAnswers, int(r.decisions.Load()))
	_, err := fmt.Fprint(connection, r.fillIn(answer.begin, request.Header.Get(wire.Headers.RequestID)))
	piece := strings.Repeat(answer.repeated, endlessPiece/len(answer.repeated))
	for sent := 0; err == nil && sent < maxEndlessBytes && r.lives(); sent += len(piece) {
		_, err = io.WriteString(connection, piece)
	}
}

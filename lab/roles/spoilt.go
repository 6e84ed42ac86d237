package roles

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

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

// invalidHeads are responses with the id and the signature of the replica whose heads are invalid.
var invalidHeads = []string{
	"HTTP/1.1 000 \r\n" + provenFields + "Content-Length: 0\r\n\r\n",
	"HTTP/1.1 000 \r\n" + provenFields + "Content-Length: 18\r\n\r\nid: 1\ndata: spoilt",
	"HTTP/1.1 600 X\r\n" + provenFields + "Content-Length: 0\r\n\r\n",
	"HTTP/1.1 200 OK\r\n" + provenFields + "X Odd: 1\r\nContent-Length: 0\r\n\r\n",
	"HTTP/1.1 200 OK\r\n" + provenFields + "X-\x01Odd: 1\r\nContent-Length: 0\r\n\r\n",
	"HTTP/1.1 200 OK\r\n" + provenFields + "Transfer-Encoding : chunked\r\n\r\n14\r\nid: 1\ndata: spoilt\n\n\r\n0\r\n\r\n",
	"HTTP/1.0 200 OK\r\n" + provenFields + "Transfer-Encoding: chunked\r\n\r\n14\r\nid: 1\ndata: spoilt\n\n\r\n0\r\n\r\n",
	"HTTP/1.1 200 OK\r\n" + provenFields + " Content-Length: 20\r\nContent-Length: 0\r\n\r\nid: 1\ndata: spoilt\n\n",
	"HTTP/1.1 204 X\r\n" + provenFields + "Content-Length: 20\r\n\r\nid: 1\ndata: spoilt\n\n",
	"HTTP/1.1 200 OK\r\n" + provenFields + "Content-Len",
	"HTTP/1.1 102 Processing\r\nX-More: 1\r\n",
}

// provenFields are the fields by which a response is the replica's.
const provenFields = "X-Sloelift-Request-Id: {id}\r\nX-Sloelift-Server-Signature: {signature}\r\n"

// signedHead is the head of a chunked answer that is the replica's.
const signedHead = "HTTP/1.1 200 OK\r\n" + provenFields + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"

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

	// minBrokenUpload is the length from which uploads are broken off: shorter ones are written before the response is awaited.
	minBrokenUpload = 16 << 10
	// markBytes is the length of the beginning of an upload that holds its mark.
	markBytes = 128
	// readsOnFor is how long the replica reads on before it resets the connection, so that it is reset during a write.
	readsOnFor = 300 * time.Microsecond
)

// breakUpload answers at once, with neither a length nor chunks, sends nothing or the next event, and resets the connection while the rest
// of the request is being sent.
func (r *replica) breakUpload(writer http.ResponseWriter, request *http.Request) {
	beginning := make([]byte, markBytes)
	if _, err := io.ReadFull(request.Body, beginning); err != nil {
		panic(http.ErrAbortHandler)
	}
	_, rest, _ := strings.Cut(string(beginning), `"mark":"`)
	mark, _, _ := strings.Cut(rest, `"`)
	// A stream that begins has no last event.
	last, _ := strconv.Atoi(request.Header.Get(wire.Headers.LastEventID))
	body := ""
	if r.decisions.Load()%2 == 0 {
		body = fmt.Sprintf("id: %d\ndata: %s\n\n", last+1, work{Mark: mark}.event(r.version, last+1))
	}
	connection := takeConnection(writer)
	defer func() { _ = connection.Close() }()
	// Errors mean that the caller has disconnected.
	_, _ = io.WriteString(connection, r.fillIn("HTTP/1.1 200 OK\r\n"+provenFields+"\r\n", request.Header.Get(wire.Headers.RequestID))+body)
	_ = connection.SetReadDeadline(time.Now().Add(readsOnFor))
	_, _ = io.Copy(io.Discard, connection)
	_ = connection.(*net.TCPConn).SetLinger(0)
}

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

// spoilAnswer sends one of answers, which are none, in the place of the answer to a request that has run.
func (r *replica) spoilAnswer(writer http.ResponseWriter, request *http.Request, answers []string) {
	connection := takeConnection(writer)
	defer func() { _ = connection.Close() }()
	answer := pick(answers, int(r.decisions.Load()))
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

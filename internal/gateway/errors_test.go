package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// TestErrors sends raw requests and compares the answers to the caller with testdata/errors.
func TestErrors(t *testing.T) {
	fake := newFakeEngine(t, 3)
	fake.refuse = true
	cluster := newTestCluster(fake)
	cluster.limits.MaxBodyBytes = 400
	cluster.limits.MaxBatchFileBytes = 600
	// Short timeouts, which some of the requests run into.
	cluster.limits.BodyTimeout = 100 * time.Millisecond
	cluster.limits.HeaderTimeout = 100 * time.Millisecond
	node := cluster.start(t)
	datadriven.RunTest(t, "testdata/errors", func(t *testing.T, d *datadriven.TestData) string {
		return answerTo(t, node, rawRequest(t, d), d)
	})
	if fake.starts() != 0 {
		t.Fatal("refused requests ran")
	}
}

// rawRequest builds the bytes of a request. The first line of the input has method and path;
// headers, a line with "." and the body follow.
func rawRequest(t *testing.T, d *datadriven.TestData) string {
	head, body, _ := strings.Cut(d.Input+"\n", "\n.\n")
	body = strings.TrimSuffix(body, "\n")
	if d.HasArg("fill") {
		var count int
		d.ScanArgs(t, "fill", &count)
		body += strings.Repeat("x", count)
	}
	if d.HasArg("multipart") {
		body = strings.ReplaceAll(body, "\n", "\r\n")
	}
	lines := strings.Split(head, "\n")
	lines[0] += " HTTP/1.1\r\nHost: node"
	if !d.HasArg("anonymous") {
		lines = append(lines, "Authorization: Bearer "+registryKey)
	}
	if !strings.Contains(head, "Content-Length") && !strings.Contains(head, "chunked") {
		lines = append(lines, fmt.Sprint("Content-Length: ", len(body)))
	}
	if strings.Contains(head, "chunked") {
		body = fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	}
	return strings.Join(lines, "\r\n") + "\r\n\r\n" + body
}

func answerTo(t *testing.T, node *testNode, request string, d *datadriven.TestData) string {
	connection, err := net.Dial("tcp", node.Address().String())
	if err != nil {
		t.Fatal(err)
	}
	defer connection.Close()
	if d.HasArg("unfinished") {
		request = request[:len(request)/2]
	}
	if _, err := io.WriteString(connection, request); err != nil {
		t.Fatal(err)
	}
	if d.HasArg("half-close") {
		_ = connection.(*net.TCPConn).CloseWrite()
	}
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil {
		return err.Error()
	}
	defer response.Body.Close()
	body, _ := io.ReadAll(response.Body)
	result := fmt.Sprint(response.StatusCode)
	for _, name := range []string{"Retry-After", "X-Should-Retry"} {
		if value := response.Header.Get(name); value != "" {
			result += fmt.Sprintf(" %s=%s", name, value)
		}
	}
	if response.Close {
		result += " close"
	}
	return result + "\n" + string(body)
}

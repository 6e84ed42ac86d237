package replica

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"golang.org/x/net/http/httpguts"
)

const (
	// minStatus and maxStatus bound the status codes that have a meaning (RFC 9110, section 15).
	minStatus = 100
	maxStatus = 599

	httpVersion = "HTTP/1.1"
	// oldHTTPVersion has no transfer codings.
	oldHTTPVersion = "HTTP/1.0"
)

// checkResponseHead returns an error that wraps ErrUnproven unless head, the bytes of a response before its body, is valid by RFC 9112.
// net/http accepts more, and drops or reinterprets what is invalid.
func checkResponseHead(head []byte) error {
	lines := strings.Split(strings.TrimSuffix(string(head), "\n"), "\n")
	for index, line := range lines {
		lines[index] = strings.TrimSuffix(line, "\r")
	}
	first, err := parseStatusLine(lines[0])
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUnproven, err)
	}
	var declared framing
	// The last line is the empty one behind the fields.
	for _, line := range lines[1 : len(lines)-1] {
		name, value, err := parseField(line)
		if err != nil {
			return fmt.Errorf("%w: %w", ErrUnproven, err)
		}
		declared.note(name, value)
	}
	if err := declared.check(first); err != nil {
		return fmt.Errorf("%w: %w", ErrUnproven, err)
	}
	return nil
}

// statusLine is the first line of a response, without its reason.
type statusLine struct {
	version string
	status  int
}

// parseStatusLine parses the first line of a response (RFC 9112, section 4).
func parseStatusLine(line string) (statusLine, error) {
	version, rest, _ := strings.Cut(line, " ")
	if version != httpVersion && version != oldHTTPVersion {
		return statusLine{}, fmt.Errorf("version %.40q", version)
	}
	code, reason, _ := strings.Cut(rest, " ")
	status, err := strconv.ParseUint(code, 10, 0)
	if err != nil || len(code) != len("200") || status < minStatus || status > maxStatus {
		return statusLine{}, fmt.Errorf("status code %.40q", code)
	}
	if !httpguts.ValidHeaderFieldValue(reason) {
		return statusLine{}, fmt.Errorf("reason %.40q", reason)
	}
	return statusLine{version: version, status: int(status)}, nil
}

// parseField parses a field line (RFC 9112, section 5). A line that continues the one before is invalid: a gateway may reject it.
func parseField(line string) (name, value string, err error) {
	name, value, found := strings.Cut(line, ":")
	if !found || !httpguts.ValidHeaderFieldName(name) {
		return "", "", fmt.Errorf("field name %.40q", name)
	}
	value = strings.Trim(value, " \t")
	if !httpguts.ValidHeaderFieldValue(value) {
		return "", "", fmt.Errorf("value %.40q of the field %s", value, name)
	}
	return name, value, nil
}

// framing is what the fields of a response declare of its body.
type framing struct {
	// coded is true if the response has a transfer coding, sized if it has a length; length is the last one.
	coded, sized bool
	length       string
}

// note records a field if it declares something of the body.
func (f *framing) note(name, value string) {
	switch http.CanonicalHeaderKey(name) {
	case "Transfer-Encoding":
		f.coded = true
	case "Content-Length":
		f.sized, f.length = true, value
	}
}

// check returns an error if the declarations contradict each other or the status line, so that the end of the body depends on who reads it
// (RFC 9112, section 6). Lengths and codings that are invalid themselves are refused by net/http.
func (f *framing) check(first statusLine) error {
	bodiless := first.status < http.StatusOK || first.status == http.StatusNoContent
	switch {
	case f.coded && f.sized:
		return errors.New("transfer coding beside a length")
	case f.coded && first.version == oldHTTPVersion:
		return errors.New("transfer coding in a response of " + first.version)
	case bodiless && (f.coded || f.sized && f.length != "0"):
		return fmt.Errorf("body in a response with status %d", first.status)
	default:
		return nil
	}
}

package replica

import (
	"fmt"
	"strconv"
	"strings"

	"golang.org/x/net/http/httpguts"
)

const (
	// minStatus and maxStatus bound the status codes that have a meaning (RFC 9110, section 15).
	minStatus = 100
	maxStatus = 599
)

// checkResponseHead returns an error that wraps ErrUnproven unless head, the bytes of a response before its body, is valid by RFC 9112.
// net/http accepts more, and drops or reinterprets what is invalid.
func checkResponseHead(head []byte) error {
	lines := strings.Split(strings.TrimSuffix(string(head), "\n"), "\n")
	for index, line := range lines {
		lines[index] = strings.TrimSuffix(line, "\r")
	}
	if _, err := parseStatusLine(lines[0]); err != nil {
		return fmt.Errorf("%w: %w", ErrUnproven, err)
	}
	// The last line is the empty one behind the fields.
	for _, line := range lines[1 : len(lines)-1] {
		if _, _, err := parseField(line); err != nil {
			return fmt.Errorf("%w: %w", ErrUnproven, err)
		}
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
	if version != "HTTP/1.1" && version != "HTTP/1.0" {
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

// parseField parses a field line (RFC 9112, section 5). A line that continues the one before is invalid, as a gateway may treat it.
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

package replica

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// ErrInvalidHead means that a request cannot be written as one HTTP/1.1 request: a part of its head has a byte that would end
// that part, and what follows would be read as another part, or as another request.
var ErrInvalidHead = errors.New("request has an invalid head")

// CheckTarget returns an error that names the first byte that a request's target must not contain.
func CheckTarget(target string) error {
	if !strings.HasPrefix(target, "/") && target != "*" {
		return fmt.Errorf("%w: target %.40q does not begin with a slash", ErrInvalidHead, target)
	}
	for position := range len(target) {
		if char := target[position]; char <= ' ' || char == 0x7f {
			return fmt.Errorf("%w: byte %#02x at position %d of the target", ErrInvalidHead, char, position)
		}
	}
	return nil
}

// CheckHost returns an error if host is not valid as the value of a Host header.
func CheckHost(host string) error {
	if !httpguts.ValidHostHeader(host) {
		return fmt.Errorf("%w: host %.40q", ErrInvalidHead, host)
	}
	return nil
}

// CheckHeader returns an error if a header has an invalid name or value.
func CheckHeader(name, value string) error {
	if !httpguts.ValidHeaderFieldName(name) {
		return fmt.Errorf("%w: header name %.40q", ErrInvalidHead, name)
	}
	if !httpguts.ValidHeaderFieldValue(value) {
		return fmt.Errorf("%w: value of the header %q", ErrInvalidHead, name)
	}
	return nil
}

// checkHead checks all that is written before a request's body.
func (c Call) checkHead() error {
	if !httpguts.ValidHeaderFieldName(c.Method) {
		// A method is a token, as a header's name is.
		return fmt.Errorf("%w: method %.40q", ErrInvalidHead, c.Method)
	}
	checks := []error{CheckTarget(c.Target), CheckHost(c.Host)}
	for name, values := range c.Header {
		for _, value := range values {
			checks = append(checks, CheckHeader(name, value))
		}
	}
	return errors.Join(checks...)
}

// framingHeaders are written by writeHead alone: where a request ends must not depend on what a caller sent.
var framingHeaders = map[string]bool{"Host": true, "Content-Length": true, "Transfer-Encoding": true, "Trailer": true}

// framingNames returns the names in header, however they are spelled, that are among framingHeaders.
func framingNames(header http.Header) map[string]bool {
	var found map[string]bool
	for name := range header {
		if framingHeaders[http.CanonicalHeaderKey(name)] {
			if found == nil {
				found = map[string]bool{}
			}
			found[name] = true
		}
	}
	return found
}

// writeHead writes the request line and headers of call, or nothing if they are invalid.
func writeHead(buffer *bytes.Buffer, call Call) error {
	if err := call.checkHead(); err != nil {
		return err
	}
	buffer.WriteString(call.Method)
	buffer.WriteByte(' ')
	buffer.WriteString(call.Target)
	buffer.WriteString(" HTTP/1.1\r\nHost: ")
	buffer.WriteString(call.Host)
	buffer.WriteString("\r\n")
	// Writes to a bytes.Buffer do not fail.
	_ = call.Header.WriteSubset(buffer, framingNames(call.Header))
	if len(call.Body) > 0 || (call.Method != http.MethodGet && call.Method != http.MethodHead) {
		buffer.WriteString("Content-Length: ")
		buffer.WriteString(strconv.Itoa(len(call.Body)))
		buffer.WriteString("\r\n")
	}
	buffer.WriteString("\r\n")
	return nil
}

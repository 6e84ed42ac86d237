package forward

import (
	"net/http"
	"strings"
)

// hopByHopHeaders apply to a single connection and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// endToEndHeaders returns a copy of header without the hop-by-hop headers, which include those named in Connection.
func endToEndHeaders(header http.Header) http.Header {
	kept := make(http.Header, len(header)+2)
	for name, values := range header {
		kept[name] = values
	}
	for _, line := range header["Connection"] {
		for _, name := range strings.Split(line, ",") {
			if name = strings.TrimSpace(name); name != "" {
				delete(kept, http.CanonicalHeaderKey(name))
			}
		}
	}
	for _, name := range hopByHopHeaders {
		delete(kept, name)
	}
	return kept
}

// copyHeaders copies a replica's end-to-end headers to the answer.
func copyHeaders(dst, src http.Header) {
	for name, values := range endToEndHeaders(src) {
		dst[name] = values
	}
	if _, hasContentType := src["Content-Type"]; !hasContentType {
		// A nil entry keeps net/http from guessing a content type.
		dst["Content-Type"] = nil
	}
	if _, hasDate := src["Date"]; !hasDate {
		dst["Date"] = nil
	}
}

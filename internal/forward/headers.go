package forward

import (
	"net/http"
	"strings"
)

// connectionHeaders concern one connection only and are not passed on.
var connectionHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// passedOn returns a copy of header without what concerns one connection only.
func passedOn(header http.Header) http.Header {
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
	for _, name := range connectionHeaders {
		delete(kept, name)
	}
	return kept
}

// copyHead puts a replica's headers into the answer.
func copyHead(to, from http.Header) {
	for name, values := range passedOn(from) {
		to[name] = values
	}
	if _, typed := from["Content-Type"]; !typed {
		// Without this the server would guess a type.
		to["Content-Type"] = nil
	}
	if _, dated := from["Date"]; !dated {
		to["Date"] = nil
	}
}

package gateway

import (
	"crypto/sha256"
	"encoding/hex"
	"strconv"
	"strings"

	"github.com/oklog/ulid/v2"
)

const (
	// tenantTagBytes of a digest bind a request id to its tenant.
	tenantTagBytes    = 8
	eventIDSeparator  = ":"
	maxEventIDBytes   = 512
	eventIDFieldCount = 3
)

// newRequestID returns an id that is unique in the whole system and bound to its tenant:
// a ULID and a digest of it with the tenant's name. Another tenant's attempt to attach
// fails whether it keeps the digest (it does not fit) or changes it (no engine has such a run).
func newRequestID(tenant string) string {
	unique := ulid.Make().String()
	return unique + "-" + tenantTag(unique, tenant)
}

func tenantTag(unique, tenant string) string {
	digest := sha256.Sum256([]byte(unique + "\x00" + tenant))
	return hex.EncodeToString(digest[:tenantTagBytes])
}

// ownsRequestID says whether the request id was made for the tenant.
func ownsRequestID(id, tenant string) bool {
	unique, tag, found := strings.Cut(id, "-")
	return found && len(unique) == ulid.EncodedSize && tag == tenantTag(unique, tenant)
}

// eventID tells where a stream can be gone on with: the engine run, its replica, and the
// number of tokens up to the end of the event.
type eventID struct {
	request string
	replica string
	offset  int
}

func (e eventID) appendTo(text []byte) []byte {
	text = append(text, e.request...)
	text = append(text, eventIDSeparator...)
	text = append(text, e.replica...)
	text = append(text, eventIDSeparator...)
	return strconv.AppendInt(text, int64(e.offset), 10)
}

// parseEventID reads a Last-Event-ID; false where it is not one of this system for the tenant.
func parseEventID(text, tenant string) (eventID, bool) {
	if len(text) > maxEventIDBytes {
		return eventID{}, false
	}
	fields := strings.Split(text, eventIDSeparator)
	if len(fields) != eventIDFieldCount || !ownsRequestID(fields[0], tenant) || fields[1] == "" {
		return eventID{}, false
	}
	offset, err := strconv.Atoi(fields[2])
	if err != nil || offset < 0 {
		return eventID{}, false
	}
	return eventID{request: fields[0], replica: fields[1], offset: offset}, true
}

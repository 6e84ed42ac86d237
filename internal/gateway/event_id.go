package gateway

import (
	"crypto/sha256"
	"encoding/hex"
	"strconv"
	"strings"

	"github.com/oklog/ulid/v2"
)

const (
	// tenantTagBytes is the number of digest bytes that bind a request id to its tenant.
	tenantTagBytes    = 8
	eventIDSeparator  = ":"
	maxEventIDBytes   = 512
	eventIDFieldCount = 3
)

// newRequestID returns an id that is unique in the whole system and bound to its tenant: a ULID
// and a digest of the ULID and the tenant's name. Another tenant cannot attach to the run with this
// id: unchanged, the digest does not match that tenant; changed, no engine has a run with the id.
func newRequestID(tenant string) string {
	unique := ulid.Make().String()
	return unique + "-" + tenantTag(unique, tenant)
}

func tenantTag(unique, tenant string) string {
	digest := sha256.Sum256([]byte(unique + "\x00" + tenant))
	return hex.EncodeToString(digest[:tenantTagBytes])
}

// ownsRequestID reports whether the request id was created for the tenant.
func ownsRequestID(id, tenant string) bool {
	unique, tag, found := strings.Cut(id, "-")
	return found && len(unique) == ulid.EncodedSize && tag == tenantTag(unique, tenant)
}

// eventID identifies the position from which a stream can be resumed: the engine run, its replica,
// and the number of tokens up to the end of the event.
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

// parseEventID parses a Last-Event-ID; it returns false if the id was not issued to the tenant.
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

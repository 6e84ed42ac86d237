package etcdjson

// Paths of the gateway; all are called with POST.
const (
	PathRange      = "/v3/kv/range"
	PathTxn        = "/v3/kv/txn"
	PathLeaseGrant = "/v3/lease/grant"
	PathKeepAlive  = "/v3/lease/keepalive"
	PathRevoke     = "/v3/lease/revoke"
	PathWatch      = "/v3/watch"
)

// Header is the first field of each response; Revision is the store's revision at that time.
type Header struct {
	Revision int64 `json:"revision,string,omitempty"`
}

// KeyValue is one stored key.
type KeyValue struct {
	Key            []byte `json:"key,omitempty"`
	Value          []byte `json:"value,omitempty"`
	CreateRevision int64  `json:"create_revision,string,omitempty"`
	ModRevision    int64  `json:"mod_revision,string,omitempty"`
	Version        int64  `json:"version,string,omitempty"`
	Lease          int64  `json:"lease,string,omitempty"`
}

// RangeRequest reads Key, or all keys in [Key, RangeEnd) if RangeEnd is set.
type RangeRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end,omitempty"`
}

// RangeResponse lists the keys found, sorted.
type RangeResponse struct {
	Header    Header     `json:"header"`
	KeyValues []KeyValue `json:"kvs,omitempty"`
	Count     int64      `json:"count,string,omitempty"`
}

// Values of Target and Result in a Compare.
const (
	TargetMod   = "MOD"
	ResultEqual = "EQUAL"
)

// Compare is one condition of a transaction; only MOD EQUAL is used.
type Compare struct {
	Key         []byte `json:"key"`
	Target      string `json:"target"`
	Result      string `json:"result"`
	ModRevision int64  `json:"mod_revision,string"`
}

// PutRequest writes one key.
type PutRequest struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value,omitempty"`
	Lease int64  `json:"lease,string,omitempty"`
}

// DeleteRangeRequest removes one key.
type DeleteRangeRequest struct {
	Key []byte `json:"key"`
}

// RequestOperation is one step of a transaction; exactly one field is set.
type RequestOperation struct {
	Put         *PutRequest         `json:"request_put,omitempty"`
	DeleteRange *DeleteRangeRequest `json:"request_delete_range,omitempty"`
	Range       *RangeRequest       `json:"request_range,omitempty"`
}

// TxnRequest runs Success if every Compare holds, else Failure.
type TxnRequest struct {
	Compare []Compare          `json:"compare,omitempty"`
	Success []RequestOperation `json:"success,omitempty"`
	Failure []RequestOperation `json:"failure,omitempty"`
}

// ResponseOperation answers one RequestOperation; only Range carries data that is read.
type ResponseOperation struct {
	Range *RangeResponse `json:"response_range,omitempty"`
}

// TxnResponse is the outcome of a transaction.
type TxnResponse struct {
	Header    Header              `json:"header"`
	Succeeded bool                `json:"succeeded,omitempty"`
	Responses []ResponseOperation `json:"responses,omitempty"`
}

// LeaseGrantRequest asks for a lease; TimeToLive is in seconds.
type LeaseGrantRequest struct {
	TimeToLive int64 `json:"TTL,string"`
}

// LeaseRequest names the lease of a keep-alive or revoke call.
type LeaseRequest struct {
	ID int64 `json:"ID,string"`
}

// LeaseResponse reports a lease; TimeToLive is in seconds, 0 if the lease has expired.
type LeaseResponse struct {
	Header     Header `json:"header"`
	ID         int64  `json:"ID,string,omitempty"`
	TimeToLive int64  `json:"TTL,string,omitempty"`
}

// KeepAliveResponse wraps the answer of the keep-alive stream.
type KeepAliveResponse struct {
	Result LeaseResponse `json:"result"`
}

// WatchRequest opens a watch.
type WatchRequest struct {
	Create WatchCreateRequest `json:"create_request"`
}

// WatchCreateRequest watches [Key, RangeEnd), starting at StartRevision.
type WatchCreateRequest struct {
	Key           []byte `json:"key"`
	RangeEnd      []byte `json:"range_end,omitempty"`
	StartRevision int64  `json:"start_revision,string,omitempty"`
}

// EventDelete is the type of an event that removed a key; a put has no type.
const EventDelete = "DELETE"

// Event is one change of one key. The KeyValue of a deleted key has only Key and ModRevision set.
type Event struct {
	Type     string   `json:"type,omitempty"`
	KeyValue KeyValue `json:"kv"`
}

// WatchResponse is one message of a watch stream; it never splits the events of a revision.
type WatchResponse struct {
	Header          Header  `json:"header"`
	Created         bool    `json:"created,omitempty"`
	Canceled        bool    `json:"canceled,omitempty"`
	CompactRevision int64   `json:"compact_revision,string,omitempty"`
	Events          []Event `json:"events,omitempty"`
}

// WatchMessage is one line of a watch stream.
type WatchMessage struct {
	Result WatchResponse `json:"result"`
	Error  *Error        `json:"error,omitempty"`
}

// gRPC status codes that the gateway reports in Error.
const (
	CodeInvalidArgument   = 3
	CodeNotFound          = 5
	CodeResourceExhausted = 8
	CodeOutOfRange        = 11
	CodeUnavailable       = 14
)

// MessageNoLeader is the message of an Error for a call that certainly had no effect, unlike a
// timeout, which the gateway reports with the same code.
const MessageNoLeader = "etcdserver: no leader"

// Error is the body of every answer that is not 200.
type Error struct {
	Code    int    `json:"code"`
	Message string `json:"message"`
}

// PrefixEnd returns the range end that covers all keys with prefix: a single zero byte, which
// means "no end", if prefix is empty or all 0xff.
func PrefixEnd(prefix string) []byte {
	end := []byte(prefix)
	for index := len(end) - 1; index >= 0; index-- {
		if end[index] < 0xff {
			end[index]++
			return end[:index+1]
		}
	}
	return []byte{0}
}

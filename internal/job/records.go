package job

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/sloelift/sloelift/internal/ledger"
)

// Record kinds of this slice beside those that the ledger's package names. Kinds
// from 64 on belong to this slice.
const (
	kindChunk ledger.RecordKind = iota + 64
	kindFileStored
	kindFileDeleted
)

// encodeRecord makes a ledger record of a message of api/proto/job.
func encodeRecord(kind ledger.RecordKind, message proto.Message) ledger.Record {
	payload, err := proto.Marshal(message)
	if err != nil {
		// Only a string that is no UTF-8 can fail, and those are refused at the border.
		panic("job: marshal record: " + err.Error())
	}
	return ledger.Record{Kind: kind, Payload: payload}
}

// micros turns a time into the form that records hold; a zero time is 0.
func micros(at time.Time) int64 {
	if at.IsZero() {
		return 0
	}
	return at.UnixMicro()
}

// fromMicros is the inverse of micros.
func fromMicros(value int64) time.Time {
	if value == 0 {
		return time.Time{}
	}
	return time.UnixMicro(value).UTC()
}

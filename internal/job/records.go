package job

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/sloelift/sloelift/internal/ledger"
)

// Record kinds of this package in addition to those defined by the ledger package. Kinds
// from 64 on are reserved for this package.
const (
	kindChunk ledger.RecordKind = iota + 64
	kindFileStored
	kindFileDeleted
)

// encodeRecord encodes a message of api/proto/job as a ledger record.
func encodeRecord(kind ledger.RecordKind, message proto.Message) ledger.Record {
	payload, err := proto.Marshal(message)
	if err != nil {
		// Only a string that is not UTF-8 fails to marshal; validUTF8 rejects those in requests.
		panic("job: marshal record: " + err.Error())
	}
	return ledger.Record{Kind: kind, Payload: payload}
}

// micros returns a time in Unix microseconds, the format in records; a zero time is 0.
func micros(instant time.Time) int64 {
	if instant.IsZero() {
		return 0
	}
	return instant.UnixMicro()
}

// fromMicros is the inverse of micros.
func fromMicros(value int64) time.Time {
	if value == 0 {
		return time.Time{}
	}
	return time.UnixMicro(value).UTC()
}

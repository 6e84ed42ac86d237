package job

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strconv"
	"strings"

	"github.com/oklog/ulid/v2"

	"github.com/sloelift/sloelift/internal/ledger"
	"github.com/sloelift/sloelift/internal/outcome"
)

// Ids of jobs and files contain their partition, so that any node finds the owner
// without a directory. The format is: prefix, partition in hex, "_", rest.
const (
	jobPrefix       = "batch_"
	filePrefix      = "file-"
	partitionDigits = 4
	digestDigits    = 24
)

// jobKey returns the string whose hash selects the partition of a job.
func jobKey(tenant, clientKey string) string { return tenant + "\x00job\x00" + clientKey }

// idempotencyKey returns the string whose hash selects the partition of an idempotency
// key. It also names the key within its partition.
func idempotencyKey(tenant, key string) string { return tenant + "\x00key\x00" + key }

// jobID returns the id of the job with the given client key. It is deterministic, so that
// a resubmission finds the same job.
func jobID(partition ledger.PartitionID, tenant, clientKey string) string {
	digest := sha256.Sum256([]byte(jobKey(tenant, clientKey)))
	return fmt.Sprintf("%s%04x_%s", jobPrefix, uint32(partition), hex.EncodeToString(digest[:])[:digestDigits])
}

// newFileID returns the id of a new file in the partition.
func newFileID(partition ledger.PartitionID, unique ulid.ULID) string {
	return fmt.Sprintf("%s%04x_%s", filePrefix, uint32(partition), strings.ToLower(unique.String()))
}

// newULID returns a unique identifier that sorts by creation time.
func newULID() ulid.ULID { return ulid.MustNew(ulid.Now(), rand.Reader) }

// partitionOfID parses the partition from an id. The error for a malformed id or an
// unknown partition is NotRun/not_found.
func partitionOfID(prefix, id string, partitions int) (ledger.PartitionID, error) {
	rest, found := strings.CutPrefix(id, prefix)
	if !found || len(rest) <= partitionDigits || rest[partitionDigits] != '_' {
		return 0, errNotFound(id)
	}
	partition, err := strconv.ParseUint(rest[:partitionDigits], 16, 32)
	if err != nil || int(partition) >= partitions {
		return 0, errNotFound(id)
	}
	return ledger.PartitionID(partition), nil
}

func errNotFound(id string) *outcome.Error {
	return outcome.New(outcome.NotRun, outcome.ReasonNotFound, "no such object: "+id)
}

func errNotOwner() *outcome.Error {
	return outcome.New(outcome.NotRun, outcome.ReasonNotOwner, "this node does not own the partition")
}

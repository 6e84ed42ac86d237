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

// Identifiers of jobs and files carry their partition, so that any node finds the
// owner without a directory: prefix, partition in hex, "_", rest.
const (
	jobPrefix       = "batch_"
	filePrefix      = "file-"
	partitionDigits = 4
	digestDigits    = 24
)

// jobKey is what hashes to a job's partition.
func jobKey(tenant, clientKey string) string { return tenant + "\x00job\x00" + clientKey }

// idempotencyKey is what hashes to an idempotency key's partition.
func idempotencyKey(tenant, key string) string { return tenant + "\x00key\x00" + key }

// jobID makes the id of the job that tenant names clientKey; it never changes.
func jobID(partition ledger.PartitionID, tenant, clientKey string) string {
	digest := sha256.Sum256([]byte(jobKey(tenant, clientKey)))
	return fmt.Sprintf("%s%04x_%s", jobPrefix, uint32(partition), hex.EncodeToString(digest[:])[:digestDigits])
}

// newFileID makes the id of a new file in a partition.
func newFileID(partition ledger.PartitionID, name ulid.ULID) string {
	return fmt.Sprintf("%s%04x_%s", filePrefix, uint32(partition), strings.ToLower(name.String()))
}

// newULID returns a unique sortable name.
func newULID() ulid.ULID { return ulid.MustNew(ulid.Now(), rand.Reader) }

// partitionOfID reads the partition out of an id; the error is NotRun/not_found.
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

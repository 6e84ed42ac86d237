package ledgerbench

import (
	"context"
	"errors"
	"os"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/sloelift/sloelift/internal/ledger"
)

// Case describes one measurement of appends.
type Case struct {
	Replicas, WriteQuorum int
	Partitions            int
	RecordBytes           int
	// Writers is the number of concurrent writers per partition; each appends one record at a time.
	Writers  int
	Duration time.Duration
}

// AppendResult is the result of a Case. Median and P99 are latencies in milliseconds; fsyncs and bytes are summed over all stores.
type AppendResult struct {
	Case
	Records         int64
	RecordsASecond  float64
	Median, P99     float64
	FsyncsARecord   float64
	BytesARecord    float64
	FailedAppends   int64
	MegabytesSecond float64
}

const (
	highestLatency    = int64(time.Minute / time.Microsecond)
	significantDigits = 3
	microsPerMilli    = 1000.0
)

// MeasureAppends runs one case on fresh disks below folder.
func MeasureAppends(ctx context.Context, folder string, measured Case) (result AppendResult, err error) {
	disks, err := os.MkdirTemp(folder, "append-")
	if err != nil {
		return result, err
	}
	defer func() { err = errors.Join(err, os.RemoveAll(disks)) }()
	c, err := openCluster(ctx, disks, measured.Replicas, measured.WriteQuorum, measured.Partitions)
	if err != nil {
		return result, err
	}
	defer func() { err = errors.Join(err, c.close()) }()
	fsyncs, written := c.fsyncs(), c.bytesWritten()
	latencies, failed := c.write(ctx, measured)
	result = AppendResult{Case: measured, Records: latencies.TotalCount(), FailedAppends: failed}
	records := float64(max(result.Records, 1))
	result.RecordsASecond = records / measured.Duration.Seconds()
	result.MegabytesSecond = result.RecordsASecond * float64(measured.RecordBytes) / (1 << 20)
	result.Median = float64(latencies.ValueAtQuantile(50)) / microsPerMilli
	result.P99 = float64(latencies.ValueAtQuantile(99)) / microsPerMilli
	result.FsyncsARecord = float64(c.fsyncs()-fsyncs) / records
	result.BytesARecord = float64(c.bytesWritten()-written) / records
	return result, nil
}

// write runs all writers for the duration of the case.
func (c *cluster) write(ctx context.Context, measured Case) (*hdrhistogram.Histogram, int64) {
	ctx, cancel := context.WithTimeout(ctx, measured.Duration)
	defer cancel()
	total := hdrhistogram.New(1, highestLatency, significantDigits)
	var failed int64
	var mutex sync.Mutex
	var writers sync.WaitGroup
	for partition := range measured.Partitions {
		for range measured.Writers {
			writers.Go(func() {
				latencies, failures := c.writer(ctx, ledger.PartitionID(partition), measured.RecordBytes)
				mutex.Lock()
				defer mutex.Unlock()
				total.Merge(latencies)
				failed += failures
			})
		}
	}
	writers.Wait()
	return total, failed
}

func (c *cluster) writer(ctx context.Context, partition ledger.PartitionID, size int) (*hdrhistogram.Histogram, int64) {
	latencies := hdrhistogram.New(1, highestLatency, significantDigits)
	owner, err := c.owner(ctx, partition)
	if err != nil {
		return latencies, 1
	}
	records := []ledger.Record{{Kind: ledger.KindItemCompleted, Payload: incompressible(size)}}
	var failed int64
	for ctx.Err() == nil {
		began := time.Now()
		_, err := owner.owned.Append(ctx, records)
		if err != nil && ctx.Err() == nil {
			failed++
		}
		if err == nil {
			_ = latencies.RecordValue(time.Since(began).Microseconds())
		}
	}
	return latencies, failed
}

// incompressible returns size pseudo-random bytes, which the database's compression can hardly shrink.
func incompressible(size int) []byte {
	payload := make([]byte, size)
	state := uint64(88172645463325252)
	for i := range payload {
		state ^= state << 13
		state ^= state >> 7
		state ^= state << 17
		payload[i] = byte(state)
	}
	return payload
}

// RecoveryResult holds how long a partition had no owner after its owner died, including the time for the
// new owner to apply the log.
type RecoveryResult struct {
	Records     int
	RecordBytes int
	Outage      time.Duration
}

const recoveryBatch = 500

// MeasureRecovery writes a log without snapshots, kills the owner and waits for the next owner.
func MeasureRecovery(ctx context.Context, folder string, records, recordBytes int) (result RecoveryResult, err error) {
	disks, err := os.MkdirTemp(folder, "recovery-")
	if err != nil {
		return result, err
	}
	defer func() { err = errors.Join(err, os.RemoveAll(disks)) }()
	c, err := openCluster(ctx, disks, 5, 3, 1)
	if err != nil {
		return result, err
	}
	defer func() { err = errors.Join(err, c.close()) }()
	owner, err := c.owner(ctx, 0)
	if err != nil {
		return result, err
	}
	payload := incompressible(recordBytes)
	for written := 0; written < records; written += recoveryBatch {
		batch := make([]ledger.Record, min(recoveryBatch, records-written))
		for i := range batch {
			batch[i] = ledger.Record{Kind: ledger.KindItemCompleted, Payload: payload}
		}
		if _, err := owner.owned.Append(ctx, batch); err != nil {
			return result, err
		}
	}
	began := time.Now()
	if err := c.kill(owner.node); err != nil {
		return result, err
	}
	next, err := c.owner(ctx, 0)
	if err != nil {
		return result, err
	}
	if next.applied != records {
		return result, errors.New("the next owner did not apply the whole log")
	}
	return RecoveryResult{Records: records, RecordBytes: recordBytes, Outage: time.Since(began)}, nil
}

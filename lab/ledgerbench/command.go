package ledgerbench

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"time"
)

// Command is the kong command that measures the ledger and prints the results.
type Command struct {
	Folder     string        `help:"Folder on the disk to measure; a temporary one by default." type:"existingdir" optional:""`
	Sizes      []int         `help:"Record sizes in bytes." default:"128,1024,16384"`
	Partitions []int         `help:"Numbers of partitions." default:"1,4,16"`
	Writers    int           `help:"Writers for each partition." default:"16"`
	Duration   time.Duration `help:"How long each case runs." default:"1s"`
	Logs       []int         `help:"Log lengths, in records, for the recovery time." default:"1000,10000,50000"`
	LogBytes   int           `help:"Size of these logs' records in bytes." default:"256"`
	JSON       bool          `help:"Print one JSON object."`
}

// Report holds all results of one run. It is written as JSON by field name.
type Report struct {
	Appends    []AppendResult
	Recoveries []RecoveryResult
}

// replications are the replications that are compared, starting with a single copy.
var replications = []struct{ replicas, writeQuorum int }{{1, 1}, {4, 3}}

// Run runs the command.
func (c *Command) Run(ctx context.Context) error {
	folder := c.Folder
	if folder == "" {
		temporary, err := os.MkdirTemp("", "ledgerbench-")
		if err != nil {
			return err
		}
		defer func() { _ = os.RemoveAll(temporary) }()
		folder = temporary
	}
	report, err := c.measure(ctx, folder)
	if err != nil {
		return err
	}
	if c.JSON {
		return json.NewEncoder(os.Stdout).Encode(report)
	}
	report.print()
	return nil
}

func (c *Command) measure(ctx context.Context, folder string) (Report, error) {
	var report Report
	for _, size := range c.Sizes {
		for _, partitions := range c.Partitions {
			for _, replication := range replications {
				result, err := MeasureAppends(ctx, folder, Case{
					Replicas: replication.replicas, WriteQuorum: replication.writeQuorum, Partitions: partitions,
					RecordBytes: size, Writers: c.Writers, Duration: c.Duration,
				})
				if err != nil {
					return report, err
				}
				report.Appends = append(report.Appends, result)
			}
		}
	}
	for _, length := range c.Logs {
		result, err := MeasureRecovery(ctx, folder, length, c.LogBytes)
		if err != nil {
			return report, err
		}
		report.Recoveries = append(report.Recoveries, result)
	}
	return report, nil
}

func (r Report) print() {
	fmt.Println("copies  partitions  bytes   records/s     MB/s    p50 ms    p99 ms  fsyncs/record  bytes/record  failed")
	for _, a := range r.Appends {
		fmt.Printf("%6d  %10d  %5d  %10.0f  %7.1f  %8.2f  %8.2f  %13.3f  %12.0f  %6d\n",
			a.Replicas, a.Partitions, a.RecordBytes, a.RecordsASecond, a.MegabytesSecond, a.Median, a.P99,
			a.FsyncsARecord, a.BytesARecord, a.FailedAppends)
	}
	fmt.Println("\nlog records  bytes  without owner ms")
	for _, recovery := range r.Recoveries {
		fmt.Printf("%11d  %5d  %16.0f\n", recovery.Records, recovery.RecordBytes, float64(recovery.Outage.Microseconds())/microsPerMilli)
	}
}

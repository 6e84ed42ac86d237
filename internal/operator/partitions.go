package operator

import "github.com/sloelift/sloelift/internal/ledger"

// PartitionReporter returns the status of the ledger's partitions. It is implemented by *ledger.Manager.
type PartitionReporter interface {
	Status() []ledger.PartitionStatus
}

// PartitionSummary summarizes the ledger's partitions as known to this node.
type PartitionSummary struct {
	Known int `json:"known"`
	// Owned are the partitions served by this node.
	Owned []int `json:"owned"`
	// Degraded counts the partitions with fewer stores than wanted.
	Degraded int `json:"degraded"`
	// LossesSurvived is the number of disks that may be lost at once without losing an
	// acknowledged record; the minimum of all partitions.
	LossesSurvived int `json:"losses_survived"`
	// StorageFull are owned partitions whose stores have no room for new records.
	StorageFull []int `json:"storage_full,omitempty"`
}

func summarizePartitions(statuses []ledger.PartitionStatus) PartitionSummary {
	summary := PartitionSummary{Known: len(statuses), Owned: []int{}}
	for index, status := range statuses {
		if index == 0 || status.LossesSurvived < summary.LossesSurvived {
			summary.LossesSurvived = status.LossesSurvived
		}
		if status.Degraded() {
			summary.Degraded++
		}
		if status.Serving {
			summary.Owned = append(summary.Owned, int(status.Partition))
		}
		if status.StorageFull {
			summary.StorageFull = append(summary.StorageFull, int(status.Partition))
		}
	}
	return summary
}

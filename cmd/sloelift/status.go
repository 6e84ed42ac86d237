package main

import (
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"strconv"

	"github.com/sloelift/sloelift/internal/operator"
)

// statusCommand shows the state of the system as one node knows it.
type statusCommand struct{}

// Run implements the command.
func (c *statusCommand) Run(env *environment) error {
	status, err := env.client.Status(env.context)
	if err != nil {
		return err
	}
	return env.print(status, func(out io.Writer) { writeStatus(out, status) })
}

func writeStatus(out io.Writer, status operator.Status) {
	ready := "ready"
	if !status.Ready {
		ready = "not ready (" + status.Reason + ")"
	}
	fmt.Fprintf(out, "node %s, region %s, zone %s, incarnation %d: %s, revision %d\n\n",
		status.Node, status.Region, status.Zone, status.Incarnation, ready, status.Revision)
	writeMembers(out, status.Members)
	writeReplicas(out, status.Replicas)
	if status.Partitions != nil {
		writePartitions(out, *status.Partitions)
	}
	writeSections(out, status.Sections)
}

func writePartitions(out io.Writer, partitions operator.PartitionSummary) {
	fmt.Fprintf(out, "\npartitions: %d known, %d owned here, %d with fewer stores than wanted; at least %d lost disks survived\n",
		partitions.Known, len(partitions.Owned), partitions.Degraded, partitions.LossesSurvived)
	if len(partitions.StorageFull) > 0 {
		fmt.Fprintf(out, "no room for new records: partitions %v\n", partitions.StorageFull)
	}
}

func writeMembers(out io.Writer, members []operator.MemberStatus) {
	rows := [][]string{{"MEMBER", "ZONE", "STATE", "STORE", "REVISION", "ADMIN"}}
	for _, member := range members {
		rows = append(rows, []string{member.Node, member.Zone, member.State, strconv.FormatBool(member.Store),
			strconv.FormatInt(member.Revision, 10), member.AdminAddress})
	}
	table(out, rows)
}

func writeReplicas(out io.Writer, counts []operator.ServiceCount) {
	fmt.Fprintln(out)
	rows := [][]string{{"SERVICE", "ZONE", "REPLICAS", "REPORTING", "LEAVING", "FAILED"}}
	for _, count := range counts {
		rows = append(rows, []string{count.Service, count.Zone, strconv.Itoa(count.Known), strconv.Itoa(count.Reporting),
			strconv.Itoa(count.Leaving), strconv.Itoa(count.Failed)})
	}
	table(out, rows)
}

func writeSections(out io.Writer, sections map[string]any) {
	names := make([]string, 0, len(sections))
	for name := range sections {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		report, err := json.Marshal(sections[name])
		if err != nil {
			report = []byte(err.Error())
		}
		fmt.Fprintf(out, "\n%s: %s\n", name, report)
	}
}

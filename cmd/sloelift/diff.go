package main

import (
	"fmt"
	"io"
	"strings"

	"github.com/sloelift/sloelift/internal/config"
)

// diffCommand shows what applying a file would change.
type diffCommand struct {
	File string `short:"f" required:"" placeholder:"FILE" help:"Operators' file; - is the standard input."`
}

// Run implements the command.
func (c *diffCommand) Run(env *environment) error {
	file, err := env.readFile(c.File)
	if err != nil {
		return err
	}
	result, err := env.client.Diff(env.context, file)
	if err != nil {
		return withFile(err, c.File)
	}
	return env.print(result, func(out io.Writer) {
		writeChanges(out, result)
		fmt.Fprintf(out, "against revision %d\n", result.Revision)
	})
}

// writeChanges writes each change with its removed (-) and added (+) lines.
func writeChanges(out io.Writer, result config.ApplyResult) {
	if len(result.Changes) == 0 {
		fmt.Fprintln(out, "no change")
	}
	for _, change := range result.Changes {
		fmt.Fprintf(out, "%s %s %s\n", change.Action, change.Kind, change.Name)
		for _, line := range changedLines(change.Before, change.After) {
			fmt.Fprintln(out, "  "+line)
		}
	}
}

// changedLines returns the lines that are on one side only. Their order does not
// matter, since each field of a declaration has its own lines.
func changedLines(before, after string) []string {
	var changed []string
	for _, line := range missingLines(before, after) {
		changed = append(changed, "- "+line)
	}
	for _, line := range missingLines(after, before) {
		changed = append(changed, "+ "+line)
	}
	return changed
}

func missingLines(from, in string) []string {
	count := map[string]int{}
	for _, line := range strings.Split(in, "\n") {
		count[line]++
	}
	var missing []string
	for _, line := range strings.Split(from, "\n") {
		if line == "" {
			continue
		}
		count[line]--
		if count[line] < 0 {
			missing = append(missing, line)
		}
	}
	return missing
}

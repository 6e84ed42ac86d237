package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/sloelift/sloelift/internal/config"
	"github.com/sloelift/sloelift/internal/operator"
	"github.com/sloelift/sloelift/internal/outcome"
	"github.com/sloelift/sloelift/internal/strictyaml"
)

// print writes value as JSON, or calls text for text output.
func (e *environment) print(value any, text func(io.Writer)) error {
	if !e.json {
		text(e.stdout)
		return nil
	}
	encoder := json.NewEncoder(e.stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// reportError writes an error to standard error, as an operator.ErrorBody for JSON output.
func (e *environment) reportError(err error) {
	var invalid *strictyaml.ValidationError
	var conflict *config.ConflictError
	var refusal *outcome.Error
	switch {
	case !e.json && errors.As(err, &invalid):
		// Editors parse "file:line:column:" at the beginning of a line.
		fmt.Fprintln(e.stderr, err.Error())
		return
	case !e.json && errors.As(err, &conflict):
		fmt.Fprintln(e.stderr, "sloelift: "+err.Error())
		writeChanges(e.stderr, config.ApplyResult{Changes: conflict.Overwritten})
		return
	case !e.json && errors.As(err, &refusal) && refusal.RetryAfter > 0:
		fmt.Fprintf(e.stderr, "sloelift: %v (come back in %s)\n", err, refusal.RetryAfter)
		return
	case !e.json:
		fmt.Fprintln(e.stderr, "sloelift: "+err.Error())
		return
	}
	encoder := json.NewEncoder(e.stderr)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(operator.NewErrorBody(err))
}

// table writes rows in aligned columns; the first row is the heading.
func table(out io.Writer, rows [][]string) {
	writer := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	for _, row := range rows {
		for index, cell := range row {
			if index > 0 {
				fmt.Fprint(writer, "\t")
			}
			fmt.Fprint(writer, cell)
		}
		fmt.Fprintln(writer)
	}
	_ = writer.Flush()
}

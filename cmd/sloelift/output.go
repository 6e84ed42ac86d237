package main

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/sloelift/sloelift/internal/operator"
)

// print writes value as JSON, or calls text where text is wanted.
func (e *environment) print(value any, text func(io.Writer)) error {
	if !e.json {
		text(e.stdout)
		return nil
	}
	encoder := json.NewEncoder(e.stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// reportError writes an error to the error output; as JSON it is an operator.ErrorBody.
func (e *environment) reportError(err error) {
	if !e.json {
		fmt.Fprintln(e.stderr, "sloelift: "+err.Error())
		return
	}
	encoder := json.NewEncoder(e.stderr)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(operator.NewErrorBody(err))
}

// table writes rows in columns; the first row is the heading.
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

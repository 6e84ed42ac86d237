package main

import (
	"fmt"
	"io"

	"github.com/sloelift/sloelift/internal/operator"
)

// versionCommand prints the version.
type versionCommand struct{}

// versionOutput is the command's output as JSON.
type versionOutput struct {
	Version string `json:"version"`
}

// Run implements the command.
func (c *versionCommand) Run(env *environment) error {
	version := operator.Version()
	return env.print(versionOutput{version}, func(out io.Writer) { fmt.Fprintln(out, "sloelift "+version) })
}

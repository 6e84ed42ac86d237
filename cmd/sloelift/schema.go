package main

import (
	"encoding/json"

	"github.com/sloelift/sloelift/internal/config"
)

// schemaCommand prints the JSON Schema of operators' files, for editors.
type schemaCommand struct{}

// Run implements the command.
func (c *schemaCommand) Run(env *environment) error {
	encoder := json.NewEncoder(env.stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(config.Schema())
}

package main

import (
	"fmt"
	"io"
	"strings"

	"github.com/sloelift/sloelift/internal/config"
	"github.com/sloelift/sloelift/internal/operator"
)

// getCommand shows the configuration, the declarations of one kind, or one declaration.
type getCommand struct {
	Kind string `arg:"" optional:"" help:"Model, Service, Priority, Tenant or Job."`
	Name string `arg:"" optional:"" help:"Name of one declaration."`
}

// Run implements the command.
func (c *getCommand) Run(env *environment) error {
	kind, err := parseKind(c.Kind)
	if err != nil {
		return err
	}
	configuration, err := env.client.Config(env.context)
	if err != nil {
		return err
	}
	chosen := []operator.DeclarationView{}
	for _, declaration := range configuration.Declarations {
		if (kind == "" || declaration.Kind == kind) && (c.Name == "" || declaration.Name == c.Name) {
			chosen = append(chosen, declaration)
		}
	}
	if c.Name != "" && len(chosen) == 0 {
		return fmt.Errorf("%s %s does not exist at revision %d", kind, c.Name, configuration.Revision)
	}
	configuration.Declarations = chosen
	return env.print(configuration, func(out io.Writer) {
		fmt.Fprintf(out, "# revision %d\n", configuration.Revision)
		if configuration.Origin == operator.OriginInForce {
			fmt.Fprintln(out, "# the key-value service does not answer; this is what is in force on the node")
		}
		for index, declaration := range chosen {
			if index > 0 {
				fmt.Fprintln(out, "---")
			}
			fmt.Fprint(out, declaration.YAML)
		}
	})
}

// parseKind parses a kind, ignoring case; the empty text stands for all kinds.
func parseKind(text string) (config.Kind, error) {
	if text == "" {
		return "", nil
	}
	for _, kind := range config.Kinds {
		if strings.EqualFold(text, string(kind)) {
			return kind, nil
		}
	}
	return "", &usageError{fmt.Sprintf("unknown kind %q; allowed are %v", text, config.Kinds)}
}

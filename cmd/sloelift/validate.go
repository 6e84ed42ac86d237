package main

import (
	"errors"
	"fmt"
	"io"

	"github.com/sloelift/sloelift/internal/config"
	"github.com/sloelift/sloelift/internal/strictyaml"
)

// validateCommand checks files as if together they formed the whole configuration.
type validateCommand struct {
	Files   []string `arg:"" name:"file" help:"Files, or folders of YAML files; - is the standard input."`
	Partial bool     `help:"The files build on what is in force: names that they do not declare are taken as declared."`
}

// validateResult is the output for a valid file.
type validateResult struct {
	File         string `json:"file"`
	Declarations int    `json:"declarations"`
}

// Run implements the command. It reports the errors of all files.
func (c *validateCommand) Run(env *environment) error {
	paths, err := expandFolders(c.Files)
	if err != nil {
		return err
	}
	var results []validateResult
	var invalid []error
	files := map[string]*config.File{}
	for _, path := range paths {
		content, err := env.readFile(path)
		if err != nil {
			return err
		}
		parsed, err := config.Parse(content)
		if err != nil {
			invalid = append(invalid, withFile(err, path))
			continue
		}
		files[path] = parsed
		results = append(results, validateResult{File: path, Declarations: len(parsed.Declarations)})
	}
	if len(invalid) == 0 && !c.Partial {
		invalid = config.CheckTogether(files)
	}
	if len(invalid) > 0 {
		return joinInvalid(invalid)
	}
	return env.print(results, func(out io.Writer) {
		for _, result := range results {
			fmt.Fprintf(out, "%s: valid, %d declarations\n", result.File, result.Declarations)
		}
	})
}

// invalidFiles holds the errors of several files.
type invalidFiles struct{ errors []error }

func (e *invalidFiles) Error() string   { return errors.Join(e.errors...).Error() }
func (e *invalidFiles) Unwrap() []error { return e.errors }

func joinInvalid(invalid []error) error {
	var only *strictyaml.ValidationError
	if len(invalid) == 1 && errors.As(invalid[0], &only) {
		return only
	}
	return &invalidFiles{invalid}
}

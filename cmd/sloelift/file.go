package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sort"

	"github.com/sloelift/sloelift/internal/strictyaml"
)

const standardInput = "-"

// readFile reads an operators' file, or the standard input for "-".
func (e *environment) readFile(path string) ([]byte, error) {
	if path == standardInput {
		return readBounded(e.stdin, path)
	}
	file, err := os.Open(path)
	if err != nil {
		return nil, &usageError{err.Error()}
	}
	defer file.Close()
	return readBounded(file, path)
}

// readBounded reads at most one byte more than the maximum size of a file, so that the
// parser rejects a larger one.
func readBounded(reader io.Reader, path string) ([]byte, error) {
	content, err := io.ReadAll(io.LimitReader(reader, strictyaml.MaxBytes+1))
	if err != nil {
		return nil, &usageError{fmt.Sprintf("read %s: %v", path, err)}
	}
	return content, nil
}

// withFile sets the file of a ValidationError.
func withFile(err error, path string) error {
	var invalid *strictyaml.ValidationError
	if errors.As(err, &invalid) {
		invalid.File = path
	}
	return err
}

// expandFolders replaces each folder with the YAML files in it, sorted by name.
func expandFolders(paths []string) ([]string, error) {
	var files []string
	for _, path := range paths {
		information, err := os.Stat(path)
		if err != nil && path != standardInput {
			return nil, &usageError{err.Error()}
		}
		if path == standardInput || !information.IsDir() {
			files = append(files, path)
			continue
		}
		matches, err := filepath.Glob(filepath.Join(path, "*.y*ml"))
		if err != nil || len(matches) == 0 {
			return nil, &usageError{"no YAML file in folder " + path}
		}
		sort.Strings(matches)
		files = append(files, matches...)
	}
	return files, nil
}

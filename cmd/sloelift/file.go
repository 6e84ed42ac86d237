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

// readBounded reads one byte more than a file may have, so that the parser finds a
// file too large.
func readBounded(from io.Reader, path string) ([]byte, error) {
	content, err := io.ReadAll(io.LimitReader(from, strictyaml.MaxBytes+1))
	if err != nil {
		return nil, &usageError{fmt.Sprintf("read %s: %v", path, err)}
	}
	return content, nil
}

// withFile names the file in a ValidationError.
func withFile(err error, path string) error {
	var invalid *strictyaml.ValidationError
	if errors.As(err, &invalid) {
		invalid.File = path
	}
	return err
}

// expandFolders replaces each folder by the YAML files in it, sorted by name.
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
		found, err := filepath.Glob(filepath.Join(path, "*.y*ml"))
		if err != nil || len(found) == 0 {
			return nil, &usageError{"no YAML file in folder " + path}
		}
		sort.Strings(found)
		files = append(files, found...)
	}
	return files, nil
}

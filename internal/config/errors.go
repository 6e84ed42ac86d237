package config

import (
	"fmt"
	"strings"
)

// ConflictError means that the current revision of the configuration is not the one
// that the operator expected. Nothing was changed.
type ConflictError struct {
	Expected int64 `json:"expected"`
	Present  int64 `json:"present"`
	// Overwritten are the changes that the file would make to the current revision.
	Overwritten []Change `json:"overwritten"`
}

// Error names both revisions and the declarations that would have been overwritten.
func (e *ConflictError) Error() string {
	text := fmt.Sprintf("the configuration is at revision %d, not %d; nothing was changed", e.Present, e.Expected)
	if len(e.Overwritten) == 0 {
		return text
	}
	names := make([]string, 0, len(e.Overwritten))
	for _, change := range e.Overwritten {
		names = append(names, fmt.Sprintf("%s %s %s", change.Action, change.Kind, change.Name))
	}
	return text + "; it would " + strings.Join(names, ", ")
}

// InUseError means that a declaration to be withdrawn is referred to by others.
// Nothing was changed.
type InUseError struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
	// Users are the declarations that refer to it, as "Kind name".
	Users []string `json:"users"`
}

// Error names the users.
func (e *InUseError) Error() string {
	return fmt.Sprintf("%s %s is named by %s; nothing was changed", e.Kind, e.Name, strings.Join(e.Users, ", "))
}

package strictyaml

import (
	"fmt"
	"sort"
	"strings"
)

// Position is a position in a file. Both numbers count from 1; 0 means unknown.
type Position struct {
	Line   int `json:"line"`
	Column int `json:"column"`
}

// Problem is one fault of a file.
type Problem struct {
	Position
	// Field is the path inside the document, such as "models[1]"; empty for the document itself.
	Field string `json:"field,omitempty"`
	// Message describes what is wrong and what is allowed.
	Message string `json:"message"`
}

// ValidationError lists the problems of one file, sorted by position.
type ValidationError struct {
	// File is the name of the file. The parser leaves it empty.
	File     string    `json:"file,omitempty"`
	Problems []Problem `json:"problems"`
}

// NewValidationError returns an error with the first MaxProblems problems, or nil if
// there are none.
func NewValidationError(problems []Problem) error {
	if len(problems) == 0 {
		return nil
	}
	sorted := append([]Problem(nil), problems...)
	sort.SliceStable(sorted, func(i, j int) bool {
		if sorted[i].Line != sorted[j].Line {
			return sorted[i].Line < sorted[j].Line
		}
		return sorted[i].Column < sorted[j].Column
	})
	return &ValidationError{Problems: truncate(sorted)}
}

// Error returns one line "file:line:column: field: message" for each problem.
func (e *ValidationError) Error() string {
	lines := make([]string, 0, len(e.Problems))
	for _, problem := range e.Problems {
		lines = append(lines, e.format(problem))
	}
	return strings.Join(lines, "\n")
}

func (e *ValidationError) format(problem Problem) string {
	var line strings.Builder
	if e.File != "" {
		line.WriteString(e.File + ":")
	}
	if problem.Line > 0 {
		fmt.Fprintf(&line, "%d:%d:", problem.Line, problem.Column)
	}
	if line.Len() > 0 {
		line.WriteByte(' ')
	}
	if problem.Field != "" {
		line.WriteString(problem.Field + ": ")
	}
	line.WriteString(problem.Message)
	return line.String()
}

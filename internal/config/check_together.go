package config

import (
	"fmt"
	"sort"

	"github.com/sloelift/sloelift/internal/strictyaml"
)

// CheckTogether checks the files, given by name, as if they were together the whole
// configuration. It returns one *ValidationError for each file with problems.
func CheckTogether(files map[string]*File) []error {
	names := make([]string, 0, len(files))
	for name := range files {
		names = append(names, name)
	}
	sort.Strings(names)
	resulting := declarationSet{}
	origin := map[ID]string{}
	problems := map[string][]Problem{}
	for _, name := range names {
		for _, declaration := range files[name].Declarations {
			if earlier, repeated := origin[declaration.ID]; repeated {
				problems[name] = append(problems[name], problemAt(declaration, "name",
					fmt.Sprintf("%s is declared in %s too", declaration.ID, earlier)))
				continue
			}
			origin[declaration.ID] = name
			resulting[declaration.ID] = declaration
		}
	}
	for _, found := range checkReferences(resulting) {
		problems[origin[found.id]] = append(problems[origin[found.id]], found.Problem)
	}
	var invalid []error
	for _, name := range names {
		if err := strictyaml.NewValidationError(problems[name]); err != nil {
			err.(*ValidationError).File = name
			invalid = append(invalid, err)
		}
	}
	return invalid
}

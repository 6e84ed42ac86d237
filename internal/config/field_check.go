package config

import (
	"errors"
	"fmt"
	"path"
	"reflect"
	"regexp"
	"slices"
	"strings"

	"github.com/go-playground/validator/v10"

	"github.com/sloelift/sloelift/internal/strictyaml"
)

// dnsLabel is the pattern that every name must match.
var dnsLabel = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

var fieldValidator = newFieldValidator()

func newFieldValidator() *validator.Validate {
	validate := validator.New(validator.WithRequiredStructEnabled())
	validate.RegisterTagNameFunc(strictyaml.FieldName)
	mustRegister(validate, "dns_label", func(field validator.FieldLevel) bool {
		return dnsLabel.MatchString(field.Field().String())
	})
	// "unique" is checked by findRepeated. The validator's own check would stop before
	// the rules of the items.
	mustRegister(validate, uniqueRule, func(validator.FieldLevel) bool { return true })
	mustRegister(validate, "inner_path", func(field validator.FieldLevel) bool {
		return isInnerPath(field.Field().String())
	})
	return validate
}

func mustRegister(validate *validator.Validate, tag string, check validator.Func) {
	if err := validate.RegisterValidation(tag, check); err != nil {
		panic("config: register " + tag + ": " + err.Error())
	}
}

// isInnerPath reports whether a path stays below the folder it is relative to.
func isInnerPath(name string) bool {
	return !path.IsAbs(name) && !strings.Contains(name, "\\") && name != ".." && !strings.HasPrefix(path.Clean(name), "../")
}

// checkFields checks each field of a value against its validate tag.
func checkFields(value Value, positions strictyaml.Positions) []Problem {
	problems := findRepeated(value, positions)
	var failures validator.ValidationErrors
	if !errors.As(fieldValidator.Struct(value), &failures) {
		return problems
	}
	for _, failure := range failures {
		_, field, _ := strings.Cut(failure.Namespace(), ".")
		problems = append(problems, Problem{Position: positions.Find(field), Field: field, Message: allowedMessage(failure)})
	}
	return problems
}

const (
	validateTag = "validate"
	uniqueRule  = "unique"
)

// findRepeated returns a problem for each repeated item of a list tagged "unique".
func findRepeated(value Value, positions strictyaml.Positions) []Problem {
	var problems []Problem
	content := reflect.ValueOf(value).Elem()
	for index := range content.NumField() {
		field := content.Type().Field(index)
		rules := strings.Split(field.Tag.Get(validateTag), ",")
		items, isList := content.Field(index).Interface().([]string)
		if !isList || !slices.Contains(rules, uniqueRule) {
			continue
		}
		firstPaths := map[string]string{}
		for position, item := range items {
			path := fmt.Sprintf("%s[%d]", strictyaml.FieldName(field), position)
			if earlier, repeated := firstPaths[item]; repeated {
				problems = append(problems, Problem{Position: positions.Find(path), Field: path, Message: "stands in the list already, as " + earlier})
				continue
			}
			firstPaths[item] = path
		}
	}
	return problems
}

// allowedMessage returns the message that describes what a field may contain.
func allowedMessage(failure validator.FieldError) string {
	limit := failure.Param()
	switch failure.Tag() {
	case "required":
		return "is required and must not be empty or zero"
	case "dns_label":
		return fmt.Sprintf("%q is not a name; allowed are 1 to 63 of a-z, 0-9 and -, not beginning or ending with -", quoted(failure))
	case "inner_path":
		return fmt.Sprintf("%q is not allowed; give a relative path that stays below the file's folder", quoted(failure))
	case "min":
		return fmt.Sprintf("wants at least %s%s, not %v", limit, unitOf(failure), shownValue(failure))
	case "max":
		return fmt.Sprintf("wants at most %s%s, not %v", limit, unitOf(failure), shownValue(failure))
	case "len":
		return fmt.Sprintf("wants exactly %s characters, not %d", limit, len(fmt.Sprint(failure.Value())))
	case "hexadecimal":
		return "wants hexadecimal digits"
	case "lowercase":
		return "wants lower-case letters"
	}
	return fmt.Sprintf("fails the check %s %s", failure.Tag(), limit)
}

func quoted(failure validator.FieldError) string {
	return strictyaml.Shorten(fmt.Sprint(failure.Value()))
}

func unitOf(failure validator.FieldError) string {
	switch failure.Kind() {
	case reflect.Slice:
		return " entries"
	case reflect.String:
		return " characters"
	}
	return ""
}

func shownValue(failure validator.FieldError) any {
	switch failure.Kind() {
	case reflect.Slice, reflect.String:
		return reflect.ValueOf(failure.Value()).Len()
	}
	return failure.Value()
}

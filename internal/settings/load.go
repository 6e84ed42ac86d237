package settings

import (
	"fmt"
	"net/netip"
	"os"

	"github.com/sloelift/sloelift/internal/strictyaml"
)

// Overrides are settings given as flags. A zero value keeps the setting of the file.
type Overrides struct {
	Node          string
	Region        string
	Zone          string
	CallerAddress netip.AddrPort
	AdminAddress  netip.AddrPort
	PeerAddress   netip.AddrPort
	DataFolder    string
	LogLevel      string
}

// Load reads and checks a settings file. If its content is invalid, the error is a
// *strictyaml.ValidationError that lists all problems.
func Load(path string, overrides Overrides) (Settings, error) {
	source, err := readBounded(path)
	if err != nil {
		return Settings{}, err
	}
	loaded, err := Parse(source, overrides)
	if invalid, isInvalid := err.(*strictyaml.ValidationError); isInvalid {
		invalid.File = path
	}
	return loaded, err
}

func readBounded(path string) ([]byte, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, fmt.Errorf("settings file: %w", err)
	}
	if !info.Mode().IsRegular() || info.Size() > strictyaml.MaxBytes {
		return nil, fmt.Errorf("settings file %s: wants a plain file of at most %d bytes", path, strictyaml.MaxBytes)
	}
	return os.ReadFile(path)
}

// Parse decodes source on top of Defaults, applies overrides, and checks the result.
func Parse(source []byte, overrides Overrides) (Settings, error) {
	documents, problems := strictyaml.Parse(source)
	if len(documents) != 1 && len(problems) == 0 {
		problems = []strictyaml.Problem{{Message: fmt.Sprintf("a settings file is one document, not %d", len(documents))}}
	}
	if err := strictyaml.NewValidationError(problems); err != nil {
		return Settings{}, err
	}
	loaded := Defaults()
	positions, problems := documents[0].Decode(&loaded)
	overrides.apply(&loaded)
	loaded.Ledger.derive()
	invalidFields := map[string]bool{}
	for _, problem := range problems {
		invalidFields[problem.Field] = true
	}
	for _, failure := range check(loaded) {
		if !invalidFields[failure.field] {
			problems = append(problems, strictyaml.Problem{Position: positions.Find(failure.field), Field: failure.field, Message: failure.message})
		}
	}
	if err := strictyaml.NewValidationError(problems); err != nil {
		return Settings{}, err
	}
	return loaded, nil
}

func (o Overrides) apply(target *Settings) {
	overrideText(&target.Node, o.Node)
	overrideText(&target.Region, o.Region)
	overrideText(&target.Zone, o.Zone)
	overrideText(&target.DataFolder, o.DataFolder)
	overrideText(&target.LogLevel, o.LogLevel)
	overrideAddress(&target.CallerAddress, o.CallerAddress)
	overrideAddress(&target.AdminAddress, o.AdminAddress)
	overrideAddress(&target.PeerAddress, o.PeerAddress)
}

func overrideText(target *string, value string) {
	if value != "" {
		*target = value
	}
}

func overrideAddress(target *netip.AddrPort, value netip.AddrPort) {
	if value.IsValid() {
		*target = value
	}
}

package roles

import (
	"os"
	"strings"
	"testing"

	"github.com/sloelift/sloelift/internal/settings"
)

func TestTemplateIsFilled(t *testing.T) {
	fields := map[string]any{
		"a": "x", "t": map[string]any{"one": "1", "two": "2"}, "l": []string{"p", "q"}, "n": 7, "no": false, "empty": "",
	}
	for template, want := range map[string]string{
		"plain": "plain", "{{a}}{{n}}": "x7", "{{t.one}}/{{l.1}}/{{l.5}}/{{none}}": "1/q//", "{{l}}": "p,q", "{{t}}": `{"one":"1","two":"2"}`,
		"{{#t}}{{@}}={{.}}{{,}}{{/t}}": "one=1,two=2", "{{#l}}[{{.}}]{{/l}}": "[p][q]", "{{#n}}n is {{.}}, a is {{a}}{{/n}}": "n is 7, a is x",
		"{{#none}}no{{/none}}{{^none}}yes{{/none}}": "yes", "{{#no}}no{{/no}}{{^empty}}yes{{/empty}}": "yes", "{{#t}}{{#l}}{{.}}{{/l}}{{/t}}": "pqpq",
	} {
		if filled, err := fillTemplate(template, fields); err != nil || filled != want {
			t.Errorf("%q is filled as %q, %v; want %q", template, filled, err, want)
		}
	}
	for _, template := range []string{"{{a", "{{#a}}", "{{/a}}", "{{#a}}{{/b}}"} {
		if filled, err := fillTemplate(template, fields); err == nil {
			t.Errorf("%q is filled as %q", template, filled)
		}
	}
}

// TestSettingsOfBothRolesAreRead guards that the program accepts the settings rendered for the soak.
func TestSettingsOfBothRolesAreRead(t *testing.T) {
	running := newPlannedFleet(t)
	for _, machine := range running.machines {
		if err := machine.writeSettings(); err != nil {
			t.Fatal(err)
		}
		content, err := os.ReadFile(machine.settingsPath)
		if err != nil {
			t.Fatal(err)
		}
		read, err := settings.Parse(content, settings.Overrides{})
		if err != nil {
			t.Fatalf("settings of %s: %v\n%s", machine.name, err, content)
		}
		if read.Node != machine.name || string(read.Role) != machine.class || read.PeerAddress != machine.address(portPeers) ||
			len(read.Zones) != 3 || len(read.SeedMachines) != 3 {
			t.Errorf("settings of %s are %+v", machine.name, read)
		}
		if strings.Contains(string(content), "{{") {
			t.Errorf("gaps are left in the settings of %s", machine.name)
		}
	}
}

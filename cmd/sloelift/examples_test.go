package main

import (
	"bytes"
	"encoding/json"
	"net/netip"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"strings"
	"testing"

	"github.com/rs/zerolog"

	"github.com/sloelift/sloelift/internal/config"
	"github.com/sloelift/sloelift/internal/platform"
	"github.com/sloelift/sloelift/internal/settings"
	"github.com/sloelift/sloelift/internal/strictyaml"
	labplatform "github.com/sloelift/sloelift/lab/platform"
)

const repository = "../../"

// yamlBlock matches a fenced YAML block of a page; its first group is the rest of the opening line.
var yamlBlock = regexp.MustCompile("(?ms)^```yaml([^\n]*)\n(.*?)^```$")

// TestReferencePages guards that the examples of all kinds form one valid configuration,
// that the settings page has a valid file, and that each page names every field of its kind.
func TestReferencePages(t *testing.T) {
	files := map[string]*config.File{}
	for _, kind := range config.Kinds {
		name := repository + "docs/reference/" + strings.ToLower(string(kind)) + ".md"
		page := readPage(t, name)
		parsed, err := config.Parse([]byte(onlyBlock(t, page)))
		if err != nil {
			t.Errorf("%s: %v", name, err)
			continue
		}
		files[name] = parsed
		requireFields(t, name, page, reflect.TypeOf(config.ValueOf(kind)).Elem())
	}
	for _, err := range config.CheckTogether(files) {
		t.Error(err)
	}
	page := readPage(t, repository+"docs/reference/settings.md")
	if _, err := settings.Parse([]byte(onlyBlock(t, page)), settings.Overrides{}); err != nil {
		t.Errorf("settings page: %v", err)
	}
	for _, part := range []any{settings.Settings{}, settings.Platform{}, settings.Limits{}, settings.Ledger{}} {
		requireFields(t, "settings page", page, reflect.TypeOf(part))
	}
}

func readPage(t *testing.T, name string) string {
	t.Helper()
	content, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	return string(content)
}

func onlyBlock(t *testing.T, page string) string {
	t.Helper()
	blocks := yamlBlock.FindAllStringSubmatch(page, -1)
	if len(blocks) != 1 {
		t.Fatalf("wanted one YAML block, found %d", len(blocks))
	}
	return blocks[0][2]
}

func requireFields(t *testing.T, name, page string, structType reflect.Type) {
	t.Helper()
	for index := range structType.NumField() {
		if field := strictyaml.FieldName(structType.Field(index)); !strings.Contains(page, field) {
			t.Errorf("%s does not name the field %s", name, field)
		}
	}
}

// TestExamples guards that the operators' files form one valid configuration whose inputs
// exist, and that the nodes' settings agree with the machine list.
func TestExamples(t *testing.T) {
	for _, example := range []string{"registry", "tidewater"} {
		t.Run(example, func(t *testing.T) {
			folder := repository + "examples/" + example
			checkOperatorsFiles(t, folder+"/operators")
			checkNodes(t, folder)
		})
	}
}

func checkOperatorsFiles(t *testing.T, folder string) {
	paths, err := filepath.Glob(folder + "/*.yaml")
	if err != nil || len(paths) == 0 {
		t.Fatalf("no operators' files: %v", err)
	}
	files := map[string]*config.File{}
	for _, path := range paths {
		parsed, err := config.Parse([]byte(readPage(t, path)))
		if err != nil {
			t.Fatalf("%s: %v", path, err)
		}
		if _, err := openInputs(path, parsed); err != nil {
			t.Error(err)
		}
		files[path] = parsed
	}
	for _, err := range config.CheckTogether(files) {
		t.Error(err)
	}
}

func checkNodes(t *testing.T, folder string) {
	var machines []platform.Machine
	if err := json.Unmarshal([]byte(readPage(t, folder+"/machines.json")), &machines); err != nil {
		t.Fatal(err)
	}
	listed := map[netip.AddrPort]platform.Machine{}
	for _, machine := range machines {
		if _, taken := listed[machine.Address]; taken {
			t.Errorf("address %s is listed twice", machine.Address)
		}
		listed[machine.Address] = machine
	}
	paths, err := filepath.Glob(folder + "/nodes/*.yaml")
	if err != nil || len(paths) == 0 {
		t.Fatalf("no nodes: %v", err)
	}
	for _, path := range paths {
		loaded, err := settings.Load(path, settings.Overrides{})
		if err != nil {
			t.Fatal(err)
		}
		machine := listed[loaded.PeerAddress]
		if machine.ID != loaded.Node || machine.Zone != loaded.Zone || machine.Region != loaded.Region {
			t.Errorf("%s does not agree with the machine list: %+v", path, machine)
		}
	}
}

// TestBadFilesAreRefused guards that every invalid file is rejected with exit code 2 and a
// position in the file.
func TestBadFilesAreRefused(t *testing.T) {
	paths, err := filepath.Glob(repository + "internal/config/testdata/bad/*.yaml")
	if err != nil || len(paths) == 0 {
		t.Fatalf("no bad files: %v", err)
	}
	for _, path := range paths {
		var stdout, stderr bytes.Buffer
		if code := run([]string{"validate", path}, strings.NewReader(""), &stdout, &stderr); code != exitUsage {
			t.Errorf("%s: exit code %d", path, code)
		}
		if !strings.HasPrefix(stderr.String(), path+":") || stdout.Len() > 0 {
			t.Errorf("%s: outputs %q %q", path, stdout.String(), stderr.String())
		}
	}
}

// TestStoredFormKeepsExamples guards that declarations read back from the key-value service are unchanged.
func TestStoredFormKeepsExamples(t *testing.T) {
	store := config.NewStore(labplatform.NewServer(labplatform.Options{}).KeyValue(labplatform.AnyZone), zerolog.Nop())
	file := []byte(readPage(t, repository+"examples/tidewater/operators/fleet.yaml"))
	parsed, err := config.Parse(file)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := store.Apply(t.Context(), file, 0); err != nil {
		t.Fatal(err)
	}
	snapshot, err := store.Load(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	stored := map[config.ID]string{}
	for _, declaration := range snapshot.Declarations() {
		stored[declaration.ID] = declaration.YAML()
	}
	for _, declaration := range parsed.Declarations {
		if stored[declaration.ID] != declaration.YAML() {
			t.Errorf("declared:\n%s\nstored:\n%s", declaration.YAML(), stored[declaration.ID])
		}
	}
}

// TestSchemaHasEveryField guards that the schema has every field that the parser accepts.
func TestSchemaHasEveryField(t *testing.T) {
	schema := config.Schema()
	for index, kind := range config.Kinds {
		structType := reflect.TypeOf(config.ValueOf(kind)).Elem()
		for field := range structType.NumField() {
			name := strictyaml.FieldName(structType.Field(field))
			if _, present := schema.OneOf[index].Properties.Get(name); !present {
				t.Errorf("the schema of %s has no %s", kind, name)
			}
		}
	}
}

package main

import (
	"bytes"
	"context"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"go.uber.org/goleak"

	"github.com/sloelift/sloelift/internal/config"
	"github.com/sloelift/sloelift/internal/network"
	"github.com/sloelift/sloelift/internal/operator"
	"github.com/sloelift/sloelift/internal/settings"
	"github.com/sloelift/sloelift/lab/platform"
)

// TestScripts runs the program against the admin interface of a node whose jobs,
// members and configuration source are fakes. Commands of a script:
//
//	file NAME           writes the input to a file
//	run ARGUMENTS       runs the program and prints its outputs and exit code
//	members REVISION    sets the revision in force on the other member
//	outage on|off       starts or ends an outage of the key-value service
func TestScripts(t *testing.T) {
	defer goleak.VerifyNone(t)
	scripts, err := filepath.Abs("testdata/scripts")
	if err != nil {
		t.Fatal(err)
	}
	datadriven.Walk(t, scripts, func(t *testing.T, path string) {
		t.Chdir(t.TempDir())
		fixture := startFixture(t)
		datadriven.RunTest(t, path, func(t *testing.T, data *datadriven.TestData) string {
			return fixture.execute(t, data)
		})
	})
}

type fixture struct {
	admin    netip.AddrPort
	platform *platform.Server
	source   *fakeSource
	members  *fakeViewer
	jobs     *fakeJobs
}

func startFixture(t *testing.T) *fixture {
	t.Helper()
	simulated := platform.NewServer(platform.Options{})
	keyValue := simulated.KeyValue("")
	own := settings.Defaults()
	own.Node, own.Region, own.Zone = "node-a", "lahore", "shadman-hall"
	own.AdminAddress = netip.MustParseAddrPort("127.0.0.1:0")
	store := config.NewStore(keyValue, zerolog.Nop())
	created := &fixture{platform: simulated, source: &fakeSource{store: store}, members: &fakeViewer{}, jobs: &fakeJobs{refused: map[string]bool{}}}
	registry := prometheus.NewRegistry()
	server := operator.New(operator.Params{
		Settings: own, Logger: zerolog.Nop(), Gatherer: registry, Registerer: registry, Network: network.System{},
		Store: store, Readiness: operator.NewReadiness(), InForce: created.source, Jobs: created.jobs, Members: created.members,
		Sections: []operator.StatusSection{{Name: "partitions", Report: func() any { return map[string]int{"owned": 3} }}},
	})
	if err := server.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := server.Stop(context.Background()); err != nil {
			t.Error(err)
		}
	})
	created.admin = netip.MustParseAddrPort(server.Address().String())
	return created
}

func (f *fixture) execute(t *testing.T, data *datadriven.TestData) string {
	switch data.Cmd {
	case "file":
		if err := os.WriteFile(data.CmdArgs[0].Key, []byte(data.Input+"\n"), 0o600); err != nil {
			t.Fatal(err)
		}
		return ""
	case "members":
		var revision int64
		data.ScanArgs(t, "revision", &revision)
		f.members.set(revision, data.HasArg("suspect"))
		return ""
	case "outage":
		f.setOutage(data.HasArg("on"))
		return ""
	case "run":
		return f.run(data)
	}
	t.Fatalf("unknown command %s", data.Cmd)
	return ""
}

// varying matches parts of the output that differ between runs.
var varying = regexp.MustCompile(`127\.0\.0\.1:\d{4,5}|sloelift [0-9a-f]{40}`)

func (f *fixture) run(data *datadriven.TestData) string {
	arguments := strings.Fields(strings.TrimPrefix(data.FullCmd(), "run"))
	var stdout, stderr bytes.Buffer
	full := append([]string{"--admin", f.admin.String()}, arguments...)
	code := run(full, strings.NewReader(data.Input), &stdout, &stderr)
	text := stdout.String() + stderr.String()
	return varying.ReplaceAllString(text, "<varies>") + fmt.Sprintf("exit %d\n", code)
}

func (f *fixture) setOutage(on bool) {
	fault := platform.Fault{Service: platform.KeyValue}
	if on {
		fault.Outage = platform.OutageRefuses
	}
	f.platform.Faults().Set(fault)
}

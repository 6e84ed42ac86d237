package roles

import (
	"context"
	"encoding/json"
	"fmt"

	wire "github.com/sloelift/sloelift/platform"
)

// Hosts and paths of the routes: pathAsk streams and can be resumed, pathDigest streams and cannot, pathLook is idempotent and
// pathChange is not.
const (
	hostOnline  = "online.example"
	hostJobs    = "jobs.example"
	pathAsk     = "/ask/"
	pathDigest  = "/digest/"
	pathLook    = "/look/"
	pathChange  = "/change/"
	pathJobs    = "/jobs/"
	itemsPath   = pathJobs + "items/"
	acceptWhole = "application/octet-stream"
)

// maxAttempts is the maximum number of attempts of each route, by path.
var maxAttempts = map[string]int{pathAsk: 2, pathDigest: 1, pathLook: 2, pathChange: 1, pathJobs: 3}

// idlePath is the path of the unused route of a configuration version.
func idlePath(version int64) string { return fmt.Sprintf("/idle-%d/", version) }

// changeConfiguration writes the next configuration version. It differs from the previous one only in the version and an unused route.
func (f *fleet) changeConfiguration(ctx context.Context) error {
	f.mutex.Lock()
	f.version++
	version := f.version
	f.mutex.Unlock()
	online := func(path, kind string, resumable bool) wire.RouteEntry {
		return wire.RouteEntry{
			Name: "r" + path, Host: hostOnline, Prefix: path, Type: kind, Service: service, Attempts: maxAttempts[path],
			TimeoutMs: 5000, ObjectiveMs: 400, GapMs: 300, Resumable: resumable,
		}
	}
	idle := online(idlePath(version), "idempotent", false)
	configuration := wire.ConfigurationEntry{
		Version: version,
		Routes: []wire.RouteEntry{
			online(pathAsk, "streaming", true),
			online(pathDigest, "streaming", false),
			online(pathLook, "idempotent", false),
			online(pathChange, "non_idempotent", false),
			idle,
			{
				Name: "jobs", Host: hostJobs, Prefix: pathJobs, Type: "batch", Service: service, Attempts: maxAttempts[pathJobs],
				TimeoutMs: 30000, ObjectiveMs: 400,
				Priority: 2, Resumable: true, CompletionMs: 20000, RetentionS: 600, MaxQueued: 1_600_000,
			},
		},
		Services: []wire.ServiceEntry{{Name: service, HealthPath: "/healthz", MaxConns: 370}},
		Limits:   wire.LimitsEntry{MaxHeaderBytes: 16384, MaxBodyBytes: 4 << 20, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15000},
	}
	configuration.Services[0].Backend.Slots = slots
	encoded, err := json.Marshal(configuration)
	if err != nil {
		return err
	}
	return f.put(ctx, wire.Translator{}.ConfigurationKey(), encoded, 0)
}

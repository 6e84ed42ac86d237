package gateway

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/sloelift/sloelift/internal/admission"
	"github.com/sloelift/sloelift/internal/config"
	"github.com/sloelift/sloelift/internal/engine"
	"github.com/sloelift/sloelift/internal/fleet"
	"github.com/sloelift/sloelift/internal/job"
	"github.com/sloelift/sloelift/internal/network"
	"github.com/sloelift/sloelift/internal/outcome"
	"github.com/sloelift/sloelift/internal/routing"
	"github.com/sloelift/sloelift/internal/session"
	"github.com/sloelift/sloelift/internal/settings"
)

const (
	registryKey  = "registry-key"
	tidewaterKey = "tidewater-key"
)

func digestOf(key string) string {
	digest := sha256.Sum256([]byte(key))
	return hex.EncodeToString(digest[:])
}

type fixedConfiguration struct{ snapshot *config.Snapshot }

func (f fixedConfiguration) Current() *config.Snapshot               { return f.snapshot }
func (f fixedConfiguration) Subscribe(func(*config.Snapshot)) func() { return func() {} }

func testSnapshot() *config.Snapshot {
	registry := &config.Tenant{Name: "registry", Services: []string{"registry-assist"}}
	tidewater := &config.Tenant{Name: "tidewater", Services: []string{"registry-assist", "wxchat"}}
	service := func(name string, models ...string) *config.Service {
		return &config.Service{Name: name, Models: models, RequestTimeout: time.Minute, RetryBudgetPercent: 10}
	}
	return &config.Snapshot{
		Revision: 1,
		Models: map[string]*config.Model{
			"clerk": {Name: "clerk", Adapters: []string{"nikah"}},
			"storm": {Name: "storm"},
		},
		Services: map[string]*config.Service{
			"registry-assist": service("registry-assist", "clerk"),
			"wxchat":          service("wxchat", "storm", "clerk"),
		},
		Priorities: map[string]*config.Priority{
			"counter":  {Name: "counter", Rank: 500, Online: true},
			"urgent":   {Name: "urgent", Rank: 900, Online: true},
			"archive":  {Name: "archive", Rank: 10},
			"briefing": {Name: "briefing", Rank: 90},
		},
		Jobs: map[string]*config.Job{"ledger-pages": {
			Name: "ledger-pages", Tenant: "registry", Service: "registry-assist", Priority: "briefing",
			Deadline: time.Hour, Retention: 48 * time.Hour, NotRepeatable: true,
		}},
		Tenants:           map[string]*config.Tenant{"registry": registry, "tidewater": tidewater},
		TenantByKeyDigest: map[string]*config.Tenant{digestOf(registryKey): registry, digestOf(tidewaterKey): tidewater},
	}
}

// fixedFleet routes each request to the first given engine that is not excluded.
type fixedFleet struct{ endpoints []engine.Endpoint }

func (f *fixedFleet) Pick(request routing.Request) (routing.Decision, func(), error) {
	for _, endpoint := range f.endpoints {
		if !request.Exclude[endpoint.Replica] {
			return routing.Decision{Endpoint: endpoint}, func() {}, nil
		}
	}
	return routing.Decision{}, nil, outcome.New(outcome.NotRun, outcome.ReasonUnavailable, "no replica")
}

func (f *fixedFleet) Directory() *fleet.Directory {
	directory := &fleet.Directory{}
	for _, endpoint := range f.endpoints {
		directory.Replicas = append(directory.Replicas, fleet.Replica{ID: endpoint.Replica, Endpoint: endpoint})
	}
	return directory
}

func (f *fixedFleet) Subscribe(func(*fleet.Directory)) func() { return func() {} }
func (f *fixedFleet) ReportFailure(string)                    {}
func (f *fixedFleet) ReportSuccess(string)                    {}
func (f *fixedFleet) ReportLeaving(string)                    {}
func (f *fixedFleet) Admit(context.Context, admission.OnlineRequest) (func(), error) {
	return func() {}, nil
}

// memoryClaimer keeps claims of idempotency keys in memory.
type memoryClaimer struct {
	mutex  sync.Mutex
	claims map[string]*session.Claim
}

func (m *memoryClaimer) Claim(_ context.Context, tenant, key, _, requestID, replica string) (session.Claim, error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	claim := m.claims[tenant+"/"+key]
	if claim == nil {
		m.claims[tenant+"/"+key] = &session.Claim{RequestID: requestID, Replica: replica}
		return session.Claim{Granted: true}, nil
	}
	return *claim, nil
}

func (m *memoryClaimer) Complete(_ context.Context, tenant, key string, result session.Result) (session.Result, error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	present := m.claims[tenant+"/"+key]
	present.Done, present.Result = true, result
	return result, nil
}

func (m *memoryClaimer) Await(ctx context.Context, _, _ string) (session.Claim, error) {
	<-ctx.Done()
	return session.Claim{}, ctx.Err()
}

// memoryFiles keeps files in memory.
type memoryFiles struct {
	mutex    sync.Mutex
	files    []job.File
	contents map[string][]byte
}

func (m *memoryFiles) Put(_ context.Context, tenant, name, purpose string, content io.Reader) (job.File, error) {
	read, err := io.ReadAll(content)
	if err != nil {
		return job.File{}, outcome.Wrap(err, outcome.NotRun, outcome.ReasonInternal, "upload")
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	file := job.File{
		ID:        fmt.Sprintf("file-%d", len(m.files)),
		Tenant:    tenant,
		Name:      name,
		Purpose:   purpose,
		Bytes:     int64(len(read)),
		CreatedAt: time.Unix(1000, 0),
	}
	m.files = append(m.files, file)
	m.contents[file.ID] = read
	return file, nil
}

func (m *memoryFiles) Get(_ context.Context, tenant, id string) (job.File, error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for _, file := range m.files {
		if file.ID == id && file.Tenant == tenant && m.contents[id] != nil {
			return file, nil
		}
	}
	return job.File{}, outcome.New(outcome.NotRun, outcome.ReasonNotFound, "no such file")
}

func (m *memoryFiles) Read(ctx context.Context, tenant, id string, to io.Writer) error {
	if _, err := m.Get(ctx, tenant, id); err != nil {
		return err
	}
	_, err := to.Write(m.contents[id])
	return err
}

func (m *memoryFiles) Delete(ctx context.Context, tenant, id string) error {
	if _, err := m.Get(ctx, tenant, id); err != nil {
		return err
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	delete(m.contents, id)
	return nil
}

func (m *memoryFiles) List(_ context.Context, tenant string, after string, limit int) ([]job.File, error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	var listed []job.File
	for _, file := range m.files {
		if file.Tenant == tenant && file.ID > after && m.contents[file.ID] != nil && len(listed) < limit {
			listed = append(listed, file)
		}
	}
	return listed, nil
}

// memoryJobs keeps jobs in memory. Each Status call completes one item of the job.
type memoryJobs struct {
	mutex       sync.Mutex
	jobs        []*job.Status
	submissions []job.Submission
	items       [][]string
}

func (m *memoryJobs) Submit(_ context.Context, submission job.Submission) (job.Status, error) {
	content, err := io.ReadAll(submission.Items)
	if err != nil {
		return job.Status{}, err
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for index, earlier := range m.submissions {
		if earlier.Tenant == submission.Tenant && earlier.ClientKey == submission.ClientKey {
			return *m.jobs[index], nil
		}
	}
	items := strings.Split(strings.TrimSpace(string(content)), "\n")
	status := &job.Status{
		ID: fmt.Sprintf("job-%d", len(m.jobs)), Tenant: submission.Tenant, Phase: job.PhaseAccepted,
		Operation: submission.Operation, Metadata: submission.Metadata, AcceptedAt: time.Unix(2000, 0), Total: len(items),
	}
	m.jobs, m.submissions, m.items = append(m.jobs, status), append(m.submissions, submission), append(m.items, items)
	return *status, nil
}

func (m *memoryJobs) find(tenant, id string) (int, *job.Status, error) {
	for index, status := range m.jobs {
		if status.ID == id && status.Tenant == tenant {
			return index, status, nil
		}
	}
	return 0, nil, outcome.New(outcome.NotRun, outcome.ReasonNotFound, "no such job")
}

func (m *memoryJobs) Status(_ context.Context, tenant, id string) (job.Status, error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	_, status, err := m.find(tenant, id)
	if err != nil {
		return job.Status{}, err
	}
	if status.Phase == job.PhaseAccepted {
		// The last item fails.
		if status.Completed < status.Total-1 {
			status.Completed++
		} else {
			status.Failed, status.Phase, status.EndedAt = 1, job.PhaseCompleted, time.Unix(3000, 0)
		}
	}
	return *status, nil
}

func (m *memoryJobs) List(_ context.Context, tenant string, after string, limit int) ([]job.Status, error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	var listed []job.Status
	for _, status := range m.jobs {
		if status.Tenant == tenant && status.ID > after && len(listed) < limit {
			listed = append(listed, *status)
		}
	}
	return listed, nil
}

func (m *memoryJobs) Cancel(_ context.Context, tenant, id string) (job.Status, error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	_, status, err := m.find(tenant, id)
	if err != nil {
		return job.Status{}, err
	}
	status.Phase = job.PhaseCancelled
	return *status, nil
}

func (m *memoryJobs) Results(_ context.Context, tenant, id string, from int, yield func(job.ItemResult) error) error {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	index, status, err := m.find(tenant, id)
	if err != nil {
		return err
	}
	for item, line := range m.items[index][from : status.Completed+status.Failed] {
		var request struct {
			CustomID string `json:"custom_id"`
		}
		if err := json.Unmarshal([]byte(line), &request); err != nil {
			return err
		}
		result := job.ItemResult{
			Index:    item,
			CustomID: request.CustomID,
			Outcome:  string(outcome.Completed),
			Status:   200,
			Body:     json.RawMessage(`{"choices":[]}`),
		}
		if item >= status.Completed {
			result.Outcome, result.Status, result.Body = string(outcome.Indeterminate), 0, nil
		}
		if err := yield(result); err != nil {
			return err
		}
	}
	return nil
}

// testNode is one gateway with a session runner over real HTTP to fake engines.
type testNode struct {
	*Server
	url    string
	runner *session.EngineRunner
	jobs   *memoryJobs
}

// testCluster is the state that several nodes share.
type testCluster struct {
	fleet   *fixedFleet
	claimer *memoryClaimer
	files   *memoryFiles
	jobs    *memoryJobs
	limits  settings.Limits
	network network.Network
}

func newTestCluster(engines ...*fakeEngine) *testCluster {
	cluster := &testCluster{
		fleet: &fixedFleet{}, claimer: &memoryClaimer{claims: map[string]*session.Claim{}},
		files: &memoryFiles{contents: map[string][]byte{}}, jobs: &memoryJobs{}, limits: settings.Defaults().Limits,
	}
	for index, e := range engines {
		cluster.fleet.endpoints = append(cluster.fleet.endpoints, e.endpoint(fmt.Sprintf("r%d", index+1)))
	}
	return cluster
}

func (c *testCluster) start(t testing.TB) *testNode {
	client := engine.NewHTTPClient()
	runner := session.NewEngineRunner(session.Dependencies{
		Limiter: c.fleet, Router: c.fleet, Client: client, Fleet: c.fleet, Reporter: c.fleet, Claimer: c.claimer,
		Registerer: prometheus.NewRegistry(), Logger: zerolog.Nop(),
	})
	server := NewServer(Dependencies{
		Address: netip.MustParseAddrPort("127.0.0.1:0"), Limits: c.limits, Configuration: fixedConfiguration{testSnapshot()},
		Runner: runner, Jobs: c.jobs, Files: c.files, Registerer: prometheus.NewRegistry(), Logger: zerolog.Nop(),
		Network: c.network,
	})
	if err := server.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		if err := server.Stop(ctx); err != nil {
			t.Error("stop:", err)
		}
		runner.Wait()
		client.Close()
	})
	return &testNode{Server: server, url: "http://" + server.Address().String(), runner: runner, jobs: c.jobs}
}

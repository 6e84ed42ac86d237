package operator

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"go.uber.org/goleak"

	"github.com/sloelift/sloelift/internal/network"
	"github.com/sloelift/sloelift/internal/outcome"
	"github.com/sloelift/sloelift/internal/settings"
	"github.com/sloelift/sloelift/internal/strictyaml"
)

// newTestServer serves the admin interface of a node without configuration store, jobs and members.
func newTestServer(t *testing.T) (*Readiness, *httptest.Server) {
	t.Helper()
	existing := goleak.IgnoreCurrent()
	registry := prometheus.NewRegistry()
	readiness := NewReadiness()
	server := New(Params{
		Settings:   settings.Defaults(),
		Logger:     zerolog.Nop(),
		Gatherer:   registry,
		Registerer: registry,
		Network:    network.System{},
		Readiness:  readiness,
	})
	testServer := httptest.NewServer(server.server.Handler)
	t.Cleanup(func() {
		testServer.Close()
		goleak.VerifyNone(t, existing)
	})
	return readiness, testServer
}

func TestRefusals(t *testing.T) {
	_, testServer := newTestServer(t)
	cases := []struct {
		name, method, path, body string
		status                   int
		code                     string
	}{
		{"unknown path", http.MethodGet, "/v2", "", http.StatusNotFound, "not_found"},
		{"wrong method", http.MethodGet, pathApply, "", http.StatusMethodNotAllowed, "invalid_request"},
		{"bad revision", http.MethodPost, pathApply + "?expect_revision=-2", "", http.StatusBadRequest, "invalid_request"},
		{"bad rollout", http.MethodGet, pathRollout + "?revision=x", "", http.StatusBadRequest, "invalid_request"},
		{"unknown kind", http.MethodDelete, pathConfig + "/Modle/x", "", http.StatusNotFound, "not_found"},
		{"bad force", http.MethodDelete, pathConfig + "/Model/x?force=maybe", "", http.StatusBadRequest, "invalid_request"},
		{"file too large", http.MethodPost, pathApply, strings.Repeat("#", strictyaml.MaxBytes+1), http.StatusRequestEntityTooLarge, "too_large"},
		{"no jobs", http.MethodPost, pathJobs, "", http.StatusServiceUnavailable, "unavailable"},
		{"no job status", http.MethodGet, pathJobs + "/x", "", http.StatusServiceUnavailable, "unavailable"},
		{"no results", http.MethodGet, pathJobs + "/x/results", "", http.StatusServiceUnavailable, "unavailable"},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			status, body := request(t, test.method, testServer.URL+test.path, test.body)
			var refusal ErrorBody
			if err := json.Unmarshal([]byte(body), &refusal); err != nil {
				t.Fatalf("body %q: %v", body, err)
			}
			if status != test.status || refusal.Error.Code != test.code || refusal.Error.Outcome != outcome.NotRun {
				t.Errorf("status %d, %+v", status, refusal.Error)
			}
		})
	}
}

func TestHealthReadinessAndMetrics(t *testing.T) {
	readiness, testServer := newTestServer(t)
	steps := []struct {
		change func()
		path   string
		status int
		body   string
	}{
		{func() {}, pathHealth, http.StatusOK, `"ok"`},
		{func() {}, pathReady, http.StatusServiceUnavailable, reasonStarting},
		{readiness.turnOnAfterStart, pathReady, http.StatusOK, `"ready"`},
		{func() { readiness.TurnOff(ReasonStopping) }, pathReady, http.StatusServiceUnavailable, ReasonStopping},
		{readiness.turnOnAfterStart, pathReady, http.StatusServiceUnavailable, ReasonStopping},
		{func() {}, pathHealth, http.StatusOK, `"ok"`},
		{func() {}, pathMetrics, http.StatusOK, `sloelift_config_changes_total{outcome="not_run"} 0`},
	}
	for index, step := range steps {
		step.change()
		if status, body := request(t, http.MethodGet, testServer.URL+step.path, ""); status != step.status || !strings.Contains(body, step.body) {
			t.Errorf("step %d: status %d, body %q", index, status, body)
		}
	}
}

func request(t *testing.T, method, address, body string) (status int, responseBody string) {
	t.Helper()
	call, err := http.NewRequestWithContext(t.Context(), method, address, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	response, err := http.DefaultClient.Do(call)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response.StatusCode, string(content)
}

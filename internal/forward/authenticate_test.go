package forward

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sloelift/sloelift/internal/batch"
	"github.com/sloelift/sloelift/internal/quota"
	"github.com/sloelift/sloelift/internal/replica/replicatest"
	"github.com/sloelift/sloelift/internal/route"
	"github.com/sloelift/sloelift/internal/tenant"
)

// withTenants sets a configuration with tenants. It keeps the current routes and adds a public route and a batch route.
func (e *edgeUnderTest) withTenants(priority *int) {
	before := e.routes.Table()
	public := &route.Route{Name: "public", Host: "h.example", Prefix: "/public/", Kind: route.NotRepeatable, Attempts: 1, Public: true, Backends: before.Routes[0].Backends}
	jobs := &route.Route{Name: "jobs", Host: "jobs.example", Prefix: "/j/", Kind: route.Batch, Backends: before.Routes[0].Backends}
	table := route.NewTable(2, append(before.Routes, public, jobs), nil, before.Limits)
	table.Tenants = tenant.NewDirectory([]tenant.Declaration{
		{Tenant: tenant.Tenant{Name: "one", Priority: priority}, APIKeys: []string{"key-1", "key-1b"}}, {Tenant: tenant.Tenant{Name: "two"}, APIKeys: []string{"key-2"}},
	})
	e.routes.Offer(table)
}

func TestKeysAreCheckedAndKeptFromReplicas(t *testing.T) {
	for _, test := range []struct {
		name, path, key string
		status          int
		tenant          string
	}{
		{"known key", "/p/x", "key-1b", 200, "one"},
		{"other tenant's key", "/p/x", "key-2", 200, "two"},
		{"unknown key", "/p/x", "key-3", 401, ""},
		{"no key", "/p/x", "", 401, ""},
		{"public route without a key", "/public/x", "", 200, ""},
		{"public route with an unknown key", "/public/x", "key-3", 200, ""},
		{"public route with a known key", "/public/x", "key-1", 200, "one"},
	} {
		synctest.Test(t, func(t *testing.T) {
			edge := newEdgeUnderTest(t, route.NotRepeatable, false, map[string]replicatest.Script{"a": replicatest.Answer(200, replicatest.Signed, "")})
			edge.withTenants(nil)
			recorded, _ := edge.call(func(request *http.Request) {
				request.URL.Path, request.RequestURI = test.path, test.path
				request.Header.Set("X-Tenant", "forged")
				if test.key != "" {
					request.Header.Set("X-Key", test.key)
				}
			})
			edge.replicas.CloseAll()
			sent := edge.replicas.Requests()
			if recorded.Code != test.status || (len(sent) == 1) != (test.status == 200) {
				t.Fatalf("%s: status %d and %d requests at replicas, want status %d", test.name, recorded.Code, len(sent), test.status)
			}
			if len(sent) == 0 {
				return
			}
			if _, leaked := sent[0].Header["X-Key"]; leaked || sent[0].Header.Get("X-Tenant") != test.tenant {
				t.Errorf("%s: the replica got %v, want tenant %q and no key", test.name, sent[0].Header, test.tenant)
			}
		})
	}
}

// TestTenantIsNamedOnEachRun: the tenant header is also sent to the second replica that gets a request.
func TestTenantIsNamedOnEachRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		edge := newEdgeUnderTest(t, route.Stream, true, map[string]replicatest.Script{
			"a": replicatest.Stream("s", false, true, eventOne), "b": replicatest.Stream("s", true, true, eventTwo),
		})
		edge.withTenants(nil)
		edge.call(func(request *http.Request) { request.Header.Set("X-Key", "key-1") })
		edge.replicas.CloseAll()
		sent := edge.replicas.Requests()
		if len(sent) != 2 {
			t.Fatalf("%d runs, want 2", len(sent))
		}
		for number, received := range sent {
			if _, leaked := received.Header["X-Key"]; leaked || received.Header.Get("X-Tenant") != "one" {
				t.Errorf("run %d has %v", number, received.Header)
			}
		}
	})
}

func TestTenantsPriorityTakesPrecedence(t *testing.T) {
	own := 3
	for _, test := range []struct {
		holder *tenant.Tenant
		want   int
	}{{nil, 1}, {&tenant.Tenant{}, 1}, {&tenant.Tenant{Priority: &own}, 3}} {
		waiting := &exchange{route: &route.Route{Priority: 1}, auth: AuthenticatedRequest{Tenant: test.holder}}
		if got := waiting.priority(); got != test.want {
			t.Errorf("priority %d, want %d", got, test.want)
		}
	}
}

func TestCallsAboutJobsNeedAKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		edge := newEdgeUnderTest(t, route.NotRepeatable, false, nil)
		call := func(host, key string) (status int, caller batch.Caller) {
			request := httptest.NewRequest(http.MethodGet, "http://"+host+"/jobs/1", nil)
			request.Header.Set("X-Key", key)
			recorded := httptest.NewRecorder()
			edge.AuthenticateJobCall(func(_ http.ResponseWriter, _ *http.Request, by batch.Caller) { caller = by })(recorded, request)
			return recorded.Code, caller
		}
		if status, caller := call("jobs.example", ""); status != 200 || caller != (batch.Caller{Host: "jobs.example"}) {
			t.Errorf("without tenants: %d, %v", status, caller)
		}
		edge.withTenants(nil)
		for key, want := range map[string]string{"key-1": "one", "key-1b": "one", "key-2": "two"} {
			if status, caller := call("jobs.example", key); status != 200 || caller.Tenant != want {
				t.Errorf("%s: %d, %v", key, status, caller)
			}
		}
		for _, key := range []string{"", "key-3"} {
			if status, _ := call("jobs.example", key); status != 401 {
				t.Errorf("key %q: status %d", key, status)
			}
		}
		// The route of a job may have been removed while its results are still read.
		if status, caller := call("gone.example", "key-1"); status != 200 || caller.Tenant != "one" {
			t.Errorf("without a route: %d, %v", status, caller)
		}
	})
}

// fakeQuota admits left requests and counts refunds.
type fakeQuota struct {
	left, givenBack int
}

func (q *fakeQuota) Admit(context.Context, *tenant.Tenant, int64) quota.Verdict {
	if q.left == 0 {
		return quota.Verdict{RetryAfter: 250 * time.Millisecond}
	}
	q.left--
	return quota.Verdict{Admitted: true}
}

func (q *fakeQuota) GiveBack(*tenant.Tenant) { q.givenBack++ }

// TestRequestsOverTheQuotaAreRefused: such requests get 429 with Retry-After and reach no replica; an admitted request that no replica ran
// is refunded.
func TestRequestsOverTheQuotaAreRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		edge := newEdgeUnderTest(t, route.NotRepeatable, false, map[string]replicatest.Script{
			"a": replicatest.Then(replicatest.Answer(200, replicatest.Signed, ""), replicatest.Refuse()), "b": replicatest.Refuse(),
		})
		edge.withTenants(nil)
		limits := &fakeQuota{left: 2}
		edge.Handler.quota = limits
		withKey := func(request *http.Request) { request.Header.Set("X-Key", "key-1") }
		for number, want := range []int{http.StatusOK, http.StatusServiceUnavailable, http.StatusTooManyRequests} {
			recorded, _ := edge.call(withKey)
			if recorded.Code != want || (want == http.StatusTooManyRequests && recorded.Header().Get("Retry-After") != "0.250") {
				t.Errorf("request %d: status %d, Retry-After %q, want %d", number, recorded.Code, recorded.Header().Get("Retry-After"), want)
			}
		}
		edge.replicas.CloseAll()
		if runs := len(edge.replicas.Requests()); runs != 3 || limits.givenBack != 1 {
			t.Errorf("%d requests at replicas, %d given back, want 3 and 1", runs, limits.givenBack)
		}
	})
}

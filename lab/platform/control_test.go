package platform_test

import (
	"net/http"
	"net/netip"
	"strings"
	"testing"

	port "github.com/sloelift/sloelift/internal/platform"
	"github.com/sloelift/sloelift/lab/platform"
)

func control(t *testing.T, address netip.AddrPort, method, path, body string) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), method, "http://"+address.String()+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	answer, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = answer.Body.Close() }()
	if answer.StatusCode != http.StatusNoContent {
		t.Fatalf("%s %s: %s", method, path, answer.Status)
	}
}

func TestControlPort(t *testing.T) {
	server := startServer(t, platform.Options{})
	client := server.KeyValue(zone)
	control(t, server.ControlAddress(), http.MethodPut, "/faults", `{"zone":"`+zone+`","service":"key-value","outage":"refuse"}`)
	_, err := client.Get(t.Context(), "/a")
	wantKind(t, err, port.KindUnavailable)
	control(t, server.ControlAddress(), http.MethodDelete, "/faults?service=key-value&zone="+zone, "")
	if _, err := client.Get(t.Context(), "/a"); err != nil {
		t.Error(err)
	}
	control(t, server.ControlAddress(), http.MethodPut, "/machines", `{"id":"m1","role":"node","state":"live","address":"127.0.0.1:1"}`)
	control(t, server.ControlAddress(), http.MethodPut, "/machines/m1/state", `{"state":"leaving"}`)
	listing, err := server.MachineList(zone).List(t.Context())
	if err != nil || len(listing.Machines) != 1 || listing.Machines[0].State != port.MachineLeaving {
		t.Errorf("machines %+v, %v", listing, err)
	}
}

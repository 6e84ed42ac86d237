package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	wire "github.com/sloelift/sloelift/platform"
)

const (
	victim   = "registry"
	attacker = "archive"
	// foreignID is the id of a request that no client sends.
	foreignID = "5eed5eed5eed5eed"
)

// smuggled plays: the path of a batch item holds the rest of a request line, a whole request of another tenant, and the begin of a further one.
func smuggled(program, template, folder string, written *record, trouble bool) (int, error) {
	deployed, err := newFleet(program, template, folder, 3, 2, written)
	if err != nil {
		return couldNot, err
	}
	defer deployed.close()
	declared := configuration()
	declared.Tenants = []wire.TenantEntry{{Name: victim, APIKeys: []string{"key-of-registry"}}, {Name: attacker, APIKeys: []string{"key-of-archive"}}}
	if err := deployed.configure(declared); err != nil {
		return couldNot, err
	}
	for number := range 2 {
		added, err := startReplica(fmt.Sprintf("r-%d", number), fmt.Sprintf("zone-%d", number%3+1), 17, 4*time.Millisecond, written)
		if err == nil {
			err = deployed.register(added)
		}
		if err != nil {
			return couldNot, err
		}
	}
	for _, each := range deployed.machines() {
		if err := deployed.start(each); err != nil {
			return couldNot, err
		}
	}
	if err := deployed.awaitReady(20 * time.Second); err != nil {
		return couldNot, err
	}
	time.Sleep(3 * time.Second)
	path := pathPrefix + "x"
	if trouble {
		path = pathPrefix + "x HTTP/1.1\r\nHost: " + host + "\r\n" + wire.Headers.RequestID + ": " + foreignID + "\r\n" + wire.Headers.Tenant + ": " + victim +
			"\r\nX-Sloelift-Token-Usage: 10,5\r\nContent-Length: 0\r\n\r\nPOST " + pathPrefix + "x"
	}
	sent := newJob("job-0", host, path)
	sent.body.Items = sent.body.Items[:1]
	encoded, err := json.Marshal(sent.body)
	if err != nil {
		return couldNot, err
	}
	written.note("tenant %s submits a batch job of one item, %s, with the path %q", attacker, sent.body.Items[0].ID, path)
	request, err := http.NewRequest(http.MethodPost, "http://"+deployed.edges[0].address(8161)+pathPrefix+"x", bytes.NewReader(encoded))
	if err != nil {
		return couldNot, err
	}
	request.Host = host
	request.Header.Set(wire.Headers.RequestID, sent.id)
	request.Header.Set(wire.Headers.APIKey, "key-of-archive")
	response, err := callers.Do(request)
	if err != nil {
		return couldNot, err
	}
	_ = response.Body.Close()
	written.note("answered %d", response.StatusCode)
	time.Sleep(10 * time.Second)
	if tenant, found := written.tenantOf(foreignID); found {
		written.note("a replica ran request %s, whose id came from no client, for tenant %q", foreignID, tenant)
		return broken, nil
	}
	return held, nil
}

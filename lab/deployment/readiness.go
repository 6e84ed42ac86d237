package deployment

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/sloelift/sloelift/lab/load"
)

const (
	readyTimeout = 30 * time.Second
	// rollTimeout is the timeout for rolling out a model version, which drains and updates a few replicas at a time.
	rollTimeout  = 60 * time.Second
	pollInterval = 50 * time.Millisecond
	callTimeout  = 5 * time.Second

	pathApply  = "/v1/config/apply"
	pathModels = "/v1/models"
	pathReady  = "/readyz"
	pathStatus = "/v1/status"
	pathChat   = "/v1/chat/completions"

	// warmUpKeys is the number of idempotency keys for the warm-up, enough to hit nearly every partition of the ledger.
	warmUpKeys = 48
)

// applyConfiguration sends the operators' file to one node after the other until one accepts it.
func (d *Deployment) applyConfiguration(ctx context.Context) error {
	file, err := Configuration(d.options)
	if err != nil {
		return err
	}
	attempt := 0
	return await(ctx, "apply configuration", func(ctx context.Context) error {
		node := d.Nodes[attempt%len(d.Nodes)]
		attempt++
		_, err := call(ctx, http.MethodPost, node.Settings.AdminAddress, pathApply, file)
		return err
	})
}

// ChangeConfiguration sends a changed file to one node in service after the other until one
// accepts it, and returns the accepted revision. The same change gives the same file.
func (d *Deployment) ChangeConfiguration(ctx context.Context, change int) (revision int64, err error) {
	options := d.options
	options.configurationChange = change + 1
	return d.apply(ctx, options, change)
}

// RollVersion declares the next version of the model and waits until every replica serves
// only that version.
func (d *Deployment) RollVersion(ctx context.Context) error {
	options := d.options
	options.version = nextVersion
	if _, err := d.apply(ctx, options, 0); err != nil {
		return err
	}
	return awaitFor(ctx, rollTimeout, "roll the model's version", func(context.Context) error {
		for _, replica := range d.Replicas {
			if !replica.Engine.Serves(d.options.Profile.Model, nextVersion) {
				return fmt.Errorf("replica %s does not serve version %s only", replica.ID, nextVersion)
			}
		}
		return nil
	})
}

// apply sends the file for options to one node in service after the other, starting at
// index first, until one accepts it.
func (d *Deployment) apply(ctx context.Context, options Options, first int) (revision int64, err error) {
	file, err := Configuration(options)
	if err != nil {
		return 0, err
	}
	attempt := first
	err = await(ctx, "change configuration", func(ctx context.Context) error {
		node := d.Nodes[attempt%len(d.Nodes)]
		attempt++
		if !node.IsServing() {
			return fmt.Errorf("node %s is not in service", node.ID)
		}
		content, err := call(ctx, http.MethodPost, node.Settings.AdminAddress, pathApply, file)
		if err != nil {
			return err
		}
		var accepted revisionBody
		if err := json.Unmarshal(content, &accepted); err != nil {
			return err
		}
		revision = accepted.Revision
		return nil
	})
	return revision, err
}

type revisionBody struct {
	Revision int64 `json:"revision"`
}

// Revision returns the configuration revision in force on a node.
func (d *Deployment) Revision(ctx context.Context, node *Node) (int64, error) {
	content, err := call(ctx, http.MethodGet, node.Settings.AdminAddress, pathStatus, nil)
	if err != nil {
		return 0, err
	}
	var status revisionBody
	err = json.Unmarshal(content, &status)
	return status.Revision, err
}

// awaitReady waits until every node serves the declared model.
func (d *Deployment) awaitReady(ctx context.Context) error {
	return d.forEachNode(func(node *Node) error { return d.awaitNode(ctx, node) })
}

// awaitNode waits until a node is ready and serves the declared model, and then lets callers
// use it, like a load balancer.
func (d *Deployment) awaitNode(ctx context.Context, node *Node) error {
	err := await(ctx, "wait for node "+node.ID, func(ctx context.Context) error {
		if _, err := call(ctx, http.MethodGet, node.Settings.AdminAddress, pathReady, nil); err != nil {
			return err
		}
		models, err := call(ctx, http.MethodGet, node.Settings.CallerAddress, pathModels, nil)
		if err == nil && !bytes.Contains(models, []byte(d.options.Profile.Model)) {
			err = fmt.Errorf("node %s does not serve the model yet", node.ID)
		}
		return err
	})
	if err == nil {
		node.setServing(true)
	}
	return err
}

// awaitLedger waits until marked requests are served, which requires that the ledger's
// partitions have owners, so that a run does not include the start of the deployment.
func (d *Deployment) awaitLedger(ctx context.Context) error {
	failures := make([]error, warmUpKeys)
	var wait sync.WaitGroup
	for index := range warmUpKeys {
		wait.Go(func() {
			node := d.Nodes[index%len(d.Nodes)]
			failures[index] = await(ctx, "wait for the ledger", func(ctx context.Context) error {
				return d.markedRequest(ctx, node, fmt.Sprintf("warm-up-%d", index))
			})
		})
	}
	wait.Wait()
	return errors.Join(failures...)
}

func (d *Deployment) markedRequest(ctx context.Context, node *Node, key string) error {
	body := fmt.Sprintf(`{"model":%q,"max_tokens":1,"messages":[{"role":"user","content":%q}]}`, d.options.Profile.Model, key)
	headers := map[string]string{"Idempotency-Key": key, "X-Not-Repeatable": "true", "Content-Type": "application/json"}
	_, err := callWith(ctx, http.MethodPost, node.Settings.CallerAddress, pathChat, []byte(body), headers)
	return err
}

// await calls check until it succeeds or readyTimeout has passed.
func await(ctx context.Context, operation string, check func(context.Context) error) error {
	return awaitFor(ctx, readyTimeout, operation, check)
}

func awaitFor(ctx context.Context, timeout time.Duration, operation string, check func(context.Context) error) error {
	bounded, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for {
		err := check(bounded)
		if err == nil {
			return nil
		}
		select {
		case <-bounded.Done():
			return fmt.Errorf("%s: %w", operation, errors.Join(err, bounded.Err()))
		case <-time.After(pollInterval):
		}
	}
}

var client = &http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}}

// call sends one request with the lab tenant's key and returns the body of a 200 response.
func call(ctx context.Context, method string, to netip.AddrPort, path string, body []byte) ([]byte, error) {
	return callWith(ctx, method, to, path, body, map[string]string{"Content-Type": "application/yaml"})
}

func callWith(ctx context.Context, method string, to netip.AddrPort, path string, body []byte, headers map[string]string) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+to.String()+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer "+load.TenantKey)
	for name, value := range headers {
		request.Header.Set(name, value)
	}
	response, err := client.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("%s %s: %s: %s", method, path, response.Status, content)
	}
	return content, nil
}

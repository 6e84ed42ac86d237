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
	readyPause   = 50 * time.Millisecond
	callTimeout  = 5 * time.Second

	pathApply  = "/v1/config/apply"
	pathModels = "/v1/models"
	pathReady  = "/readyz"
	pathStatus = "/v1/status"
	pathChat   = "/v1/chat/completions"

	// warmUpKeys are enough to meet nearly every partition of the ledger.
	warmUpKeys = 48
)

// applyConfiguration gives the operators' file to a node, and to others until one takes it.
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

// ChangeConfiguration gives a changed file to a node in service, to others until one
// takes it, and returns the accepted revision. The same change twice is one file.
func (d *Deployment) ChangeConfiguration(ctx context.Context, change int) (revision int64, err error) {
	options := d.options
	options.configurationChange = change + 1
	file, err := Configuration(options)
	if err != nil {
		return 0, err
	}
	attempt := change
	err = await(ctx, "change configuration", func(ctx context.Context) error {
		node := d.Nodes[attempt%len(d.Nodes)]
		attempt++
		if !node.IsServing() {
			return fmt.Errorf("node %s does not serve", node.ID)
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
	return d.eachNode(func(node *Node) error { return d.awaitNode(ctx, node) })
}

// awaitNode waits until a node is ready and serves the declared model, and then sends callers
// there, as a load balancer does.
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

// awaitLedger waits until marked requests are served, which needs owners of the ledger's
// partitions, so that a run does not measure the first seconds of a new deployment.
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

// await calls check until it succeeds or readyTimeout ends.
func await(ctx context.Context, what string, check func(context.Context) error) error {
	bounded, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for {
		err := check(bounded)
		if err == nil {
			return nil
		}
		select {
		case <-bounded.Done():
			return fmt.Errorf("%s: %w", what, errors.Join(err, bounded.Err()))
		case <-time.After(readyPause):
		}
	}
}

var client = &http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}}

// call makes one request as the lab's tenant and returns the body of a success.
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

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	wire "github.com/sloelift/sloelift/platform"
)

// callers calls edges, each time on a new connection.
var callers = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 8 * time.Second}

// job is a batch job as its client knows it.
type job struct {
	id, host string
	body     wire.JobBody
	accepted bool
	results  map[string]wire.JobResult
}

func newJob(id, host, path string) *job {
	made := &job{id: id, host: host, results: map[string]wire.JobResult{}}
	for number := range itemsPerJob {
		itemID := fmt.Sprintf("%s-%d", id, number)
		content := bytes.Repeat([]byte{byte('a' + number%26)}, bodyBytes)
		copy(content, itemID)
		made.body.Items = append(made.body.Items, wire.JobItem{
			ID: itemID, Path: path, Body: content, Tokens: tokensPerItem,
			Headers: map[string]string{
				"X-Sloelift-Model": "m", "X-Sloelift-Token-Usage": fmt.Sprintf("%d,%d", tokensPerItem-eventsPerItem, eventsPerItem),
				wire.Headers.PromptParts: fmt.Sprintf("9c2e41:%d,%x:%d", sharedTokens, xxhash.Sum64String(itemID), tokensPerItem-eventsPerItem-sharedTokens),
			},
		})
	}
	return made
}

// call makes one call; the status is 0 without an answer.
func call(method, address, path, host, id string, body []byte) (status int, answer []byte) {
	request, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	request.Host = host
	if id != "" {
		request.Header.Set(wire.Headers.RequestID, id)
		request.Header.Set("Content-Type", "application/json")
	}
	response, err := callers.Do(request)
	if err != nil {
		return 0, nil
	}
	defer response.Body.Close()
	answer, err = io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, answer
}

func (j *job) submit(address, path string) int {
	encoded, err := json.Marshal(j.body)
	if err != nil {
		panic(err)
	}
	status, _ := call(http.MethodPost, address, path, j.host, j.id, encoded)
	j.accepted = j.accepted || status == http.StatusAccepted
	return status
}

// read reads the results from the first missing one on.
func (j *job) read(address string) (status int, total int) {
	status, content := call(http.MethodGet, address, fmt.Sprintf("%s%s?%s=%d", wire.PathLots, j.id, wire.QueryFrom, len(j.results)), j.host, "", nil)
	if status != http.StatusOK {
		return status, 0
	}
	var page wire.JobResults
	if json.Unmarshal(content, &page) != nil {
		return 0, 0
	}
	for _, result := range page.Results {
		j.results[result.ID] = result
	}
	return status, int(page.Total)
}

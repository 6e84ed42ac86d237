package replica

import (
	"errors"
	"fmt"
	"net/http"
)

// ErrUnproven means that a response does not show that it is the replica's answer to the request. The request may have run: the
// response tells neither that it has nor that it has not.
var ErrUnproven = errors.New("response is not proven to be the replica's answer")

// errOtherRequest means that a response carries the id of another request.
var errOtherRequest = errors.New("response is for another request")

// evidence is what a response shows about the run of its request.
type evidence struct {
	// notRun is true if the replica guarantees that it has not run the request and will not run it.
	notRun bool
	// identified is true if the response carries the request's id. One without an id may be a copy of an earlier response without an
	// id, so that the next response on its connection could belong to either request.
	identified bool
}

// examine returns what a response shows about call. It is the only place that decides this, for callers' requests and for items alike: a
// status alone shows nothing. The error wraps errOtherRequest or ErrUnproven.
func (h Headers) examine(response *http.Response, call Call) (evidence, error) {
	id := response.Header.Get(h.RequestID)
	if id != "" && id != call.RequestID {
		return evidence{}, fmt.Errorf("%w: id %q, want %q", errOtherRequest, id, call.RequestID)
	}
	found := evidence{notRun: h.guaranteesNotRun(response, call), identified: id == call.RequestID}
	var missing string
	switch {
	case found.notRun:
		// Refusals need not carry the request's id.
	case !found.identified:
		missing = "the request's id"
	case call.Probe:
		// A probe runs nothing, and its response is not signed.
	case response.Header.Get(h.Signature) == "":
		missing = "the replica's signature"
	case promisesNotRun(response.StatusCode):
		missing = "the guarantee that its status stands for"
	}
	if missing != "" {
		return evidence{}, fmt.Errorf("%w: status %d without %s", ErrUnproven, response.StatusCode, missing)
	}
	return found, nil
}

// guaranteesNotRun reports whether the response shows that the replica has not run the request: it says so, or it is misdirected, which the
// name of another instance than the expected one or the replica's signature shows.
func (h Headers) guaranteesNotRun(response *http.Response, call Call) bool {
	if response.StatusCode < http.StatusBadRequest {
		return false
	}
	if response.Header.Get(h.NotRun) != "" {
		return true
	}
	if response.StatusCode != http.StatusMisdirectedRequest {
		return false
	}
	instance, expected := response.Header.Get(h.Instance), call.Header.Get(h.ExpectInstance)
	fromAnother := instance != "" && expected != "" && instance != expected
	return fromAnother || response.Header.Get(h.RequestID) == call.RequestID && response.Header.Get(h.Signature) != ""
}

// promisesNotRun reports whether status tells callers that their request has not run and will not run.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

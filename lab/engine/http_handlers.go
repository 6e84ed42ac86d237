package engine

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/gorilla/mux"

	modelengine "github.com/sloelift/sloelift/internal/engine"
)

// refusal is an error response; notRun is set if the request has not run and will not run.
type refusal struct {
	status  int
	notRun  bool
	message string
}

type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string `json:"message"`
	Code    int    `json:"code"`
}

type runStatus struct {
	ID     string   `json:"id"`
	State  runState `json:"state"`
	Offset int      `json:"offset"`
}

func (e *Engine) router() http.Handler {
	router := mux.NewRouter()
	for _, operation := range []modelengine.Operation{modelengine.OperationChat, modelengine.OperationCompletion} {
		router.HandleFunc(string(operation), func(writer http.ResponseWriter, request *http.Request) {
			e.serveGeneration(writer, request, operation)
		}).Methods(http.MethodPost)
	}
	router.HandleFunc("/v1/requests/{id}", e.serveCancel).Methods(http.MethodDelete)
	router.HandleFunc("/v1/requests/{id}", e.serveStatus).Methods(http.MethodGet)
	router.HandleFunc("/load", e.serveLoad).Methods(http.MethodGet)
	router.HandleFunc("/cache/events", e.serveCacheEvents).Methods(http.MethodGet)
	router.HandleFunc("/orders", e.serveOrder).Methods(http.MethodPost)
	router.HandleFunc("/kv/{id}", e.serveExport).Methods(http.MethodGet)
	router.HandleFunc("/kv", e.serveImport).Methods(http.MethodPost)
	return router
}

func writeJSON(writer http.ResponseWriter, status int, value any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(value)
}

func writeRefusal(writer http.ResponseWriter, refused *refusal) {
	if refused.notRun {
		writer.Header().Set(headerNotRun, "true")
	}
	writeJSON(writer, refused.status, errorBody{Error: errorDetail{Message: refused.message, Code: refused.status}})
}

func (e *Engine) serveCancel(writer http.ResponseWriter, request *http.Request) {
	status, found := e.cancelByID(mux.Vars(request)["id"])
	if !found {
		writeRefusal(writer, &refusal{status: http.StatusNotFound, message: "no such run"})
		return
	}
	writeJSON(writer, http.StatusOK, status)
}

func (e *Engine) cancelByID(id string) (runStatus, bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	entry := e.runs[id]
	if entry == nil {
		return runStatus{}, false
	}
	e.cancel(entry, time.Now())
	return runStatus{ID: id, State: entry.state, Offset: entry.produced}, true
}

func (e *Engine) serveStatus(writer http.ResponseWriter, request *http.Request) {
	id := mux.Vars(request)["id"]
	e.mutex.Lock()
	entry := e.runs[id]
	status := runStatus{ID: id}
	if entry != nil {
		status.State, status.Offset = entry.state, entry.produced
	}
	e.mutex.Unlock()
	if entry == nil {
		writeRefusal(writer, &refusal{status: http.StatusNotFound, message: "no such run"})
		return
	}
	writeJSON(writer, http.StatusOK, status)
}

func (e *Engine) serveLoad(writer http.ResponseWriter, _ *http.Request) {
	e.mutex.Lock()
	report, measured := e.history.asOf(time.Now().Add(-e.options.LoadLag))
	e.mutex.Unlock()
	if !measured {
		writeRefusal(writer, &refusal{status: http.StatusServiceUnavailable, message: "no load measured yet"})
		return
	}
	writeJSON(writer, http.StatusOK, report)
}

func (e *Engine) serveCacheEvents(writer http.ResponseWriter, request *http.Request) {
	from, err := strconv.ParseUint(request.URL.Query().Get("from"), 10, 64)
	if err != nil {
		writeRefusal(writer, &refusal{status: http.StatusBadRequest, message: "from is not a number"})
		return
	}
	e.mutex.Lock()
	page := e.cache.events.page(from, time.Now())
	e.mutex.Unlock()
	writeJSON(writer, http.StatusOK, page)
}

// exportedCache represents the KV cache of a run by the text that it covers.
type exportedCache struct {
	Model   string `json:"model"`
	Adapter string `json:"adapter"`
	Text    string `json:"text"`
}

func (e *Engine) serveExport(writer http.ResponseWriter, request *http.Request) {
	e.mutex.Lock()
	entry := e.runs[mux.Vars(request)["id"]]
	var exported exportedCache
	if entry != nil {
		exported = exportedCache{Model: entry.model, Adapter: entry.adapter, Text: entry.text()}
	}
	e.mutex.Unlock()
	if entry == nil {
		writeRefusal(writer, &refusal{status: http.StatusNotFound, message: "no such run"})
		return
	}
	writer.Header().Set("Content-Type", "application/octet-stream")
	_ = json.NewEncoder(writer).Encode(exported)
}

func (e *Engine) serveImport(writer http.ResponseWriter, request *http.Request) {
	var imported exportedCache
	content, err := io.ReadAll(io.LimitReader(request.Body, maxBodyBytes))
	if err == nil {
		err = json.Unmarshal(content, &imported)
	}
	if err != nil {
		writeRefusal(writer, &refusal{status: http.StatusBadRequest, message: "not an exported cache"})
		return
	}
	e.mutex.Lock()
	e.cache.store(modelengine.PrefixBlocks(imported.Model, imported.Adapter, imported.Text), time.Now())
	e.mutex.Unlock()
	writer.WriteHeader(http.StatusOK)
}

package platform

import (
	"net/http"
	"time"

	"github.com/gorilla/mux"

	port "github.com/sloelift/sloelift/internal/platform"
)

// Paths of the control port.
const (
	PathFaults          = "/faults"
	PathCounters        = "/counters"
	PathControlMachines = "/machines"
	PathMachineLag      = "/machine-lag"
	PathCompact         = "/compact"
)

// MachineStateChange is the body of PUT /machines/{id}/state.
type MachineStateChange struct {
	State port.MachineState `json:"state"`
}

// LagChange is the body of PUT /machine-lag.
type LagChange struct {
	Milliseconds int64 `json:"milliseconds"`
}

// Compaction is the body of POST /compact.
type Compaction struct {
	Revision int64 `json:"revision"`
}

// controlHandler serves the control port: faults, machines, counters and compaction.
func (s *Server) controlHandler() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc(PathFaults, s.listFaults).Methods(http.MethodGet)
	router.HandleFunc(PathFaults, accept(func(_ *http.Request, fault Fault) { s.faults.Set(fault) })).Methods(http.MethodPut)
	router.HandleFunc(PathFaults, s.clearFault).Methods(http.MethodDelete)
	router.HandleFunc(PathCounters, s.serveCounters).Methods(http.MethodGet)
	router.HandleFunc(PathControlMachines,
		accept(func(_ *http.Request, machine port.Machine) { s.machines.Set(machine) })).Methods(http.MethodPut)
	router.HandleFunc(PathControlMachines+"/{id}", s.removeMachine).Methods(http.MethodDelete)
	router.HandleFunc(PathControlMachines+"/{id}/state", accept(func(request *http.Request, change MachineStateChange) {
		s.machines.SetState(mux.Vars(request)["id"], change.State)
	})).Methods(http.MethodPut)
	router.HandleFunc(PathMachineLag, accept(func(_ *http.Request, change LagChange) {
		s.machines.SetLag(time.Duration(change.Milliseconds) * time.Millisecond)
	})).Methods(http.MethodPut)
	router.HandleFunc(PathCompact,
		accept(func(_ *http.Request, compaction Compaction) { s.Compact(compaction.Revision) })).Methods(http.MethodPost)
	return router
}

// accept decodes the request body, calls act with it and responds with 204.
func accept[Body any](act func(*http.Request, Body)) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		var body Body
		if readBody(writer, request, &body) {
			act(request, body)
			writer.WriteHeader(http.StatusNoContent)
		}
	}
}

func (s *Server) listFaults(writer http.ResponseWriter, _ *http.Request) {
	writeAnswer(writer, s.faults.List(), nil)
}

func (s *Server) clearFault(writer http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	s.faults.Clear(query.Get("zone"), Service(query.Get("service")))
	writer.WriteHeader(http.StatusNoContent)
}

func (s *Server) serveCounters(writer http.ResponseWriter, _ *http.Request) {
	writeAnswer(writer, s.Counters(), nil)
}

func (s *Server) removeMachine(writer http.ResponseWriter, request *http.Request) {
	s.machines.Remove(mux.Vars(request)["id"])
	writer.WriteHeader(http.StatusNoContent)
}

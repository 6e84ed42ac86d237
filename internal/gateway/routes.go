package gateway

import (
	"net/http"

	"github.com/gorilla/mux"

	"github.com/sloelift/sloelift/internal/engine"
	"github.com/sloelift/sloelift/internal/outcome"
)

// handler serves one authenticated request. It returns an error only if nothing has been written.
type handler func(w http.ResponseWriter, r *http.Request, call authenticatedCall) error

func (s *Server) routes() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/readyz", s.handleReady).Methods(http.MethodGet)
	for _, operation := range []engine.Operation{engine.OperationChat, engine.OperationCompletion} {
		router.Handle(string(operation), s.withTenant(s.handleGeneration(operation))).Methods(http.MethodPost)
	}
	router.Handle("/v1/models", s.withTenant(s.listModels)).Methods(http.MethodGet)
	router.Handle("/v1/models/{model:.+}", s.withTenant(s.getModel)).Methods(http.MethodGet)
	router.Handle("/v1/files", s.withTenant(s.uploadFile)).Methods(http.MethodPost)
	router.Handle("/v1/files", s.withTenant(s.listFiles)).Methods(http.MethodGet)
	router.Handle("/v1/files/{file}", s.withTenant(s.getFile)).Methods(http.MethodGet)
	router.Handle("/v1/files/{file}", s.withTenant(s.deleteFile)).Methods(http.MethodDelete)
	router.Handle("/v1/files/{file}/content", s.withTenant(s.getFileContent)).Methods(http.MethodGet)
	router.Handle("/v1/batches", s.withTenant(s.createBatch)).Methods(http.MethodPost)
	router.Handle("/v1/batches", s.withTenant(s.listBatches)).Methods(http.MethodGet)
	router.Handle("/v1/batches/{batch}", s.withTenant(s.getBatch)).Methods(http.MethodGet)
	router.Handle("/v1/batches/{batch}/cancel", s.withTenant(s.cancelBatch)).Methods(http.MethodPost)
	router.NotFoundHandler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		writeError(w, notFound("there is no "+r.URL.Path))
	})
	router.MethodNotAllowedHandler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		writeJSON(w, http.StatusMethodNotAllowed,
			newErrorBody(outcome.New(outcome.NotRun, outcome.ReasonInvalid, r.Method+" is not allowed here")))
	})
	return router
}

// withTenant rejects requests while the node stops, authenticates the tenant, and writes the errors that
// serve returns.
func (s *Server) withTenant(serve handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !s.drain.enter() {
			w.Header().Set("Connection", "close")
			s.answerError(w, errLeaving)
			return
		}
		defer s.drain.leave()
		snapshot := s.configuration.Current()
		tenant, err := authenticate(snapshot, r)
		if err == nil {
			err = serve(w, r, authenticatedCall{snapshot: snapshot, tenant: tenant})
		}
		if err != nil {
			s.answerError(w, err)
		}
	})
}

// answerError counts err and answers with it.
func (s *Server) answerError(w http.ResponseWriter, err error) {
	s.metrics.countError(err)
	writeError(w, err)
}

func (s *Server) handleReady(w http.ResponseWriter, _ *http.Request) {
	if !s.Ready() {
		w.Header().Set("Connection", "close")
		writeError(w, errLeaving)
		return
	}
	w.WriteHeader(http.StatusOK)
}

package gateway

import (
	"net/http"

	"github.com/gorilla/mux"

	"github.com/sloelift/sloelift/internal/engine"
	"github.com/sloelift/sloelift/internal/outcome"
)

// handler serves one authenticated request. It returns an error only while nothing has
// been written.
type handler func(w http.ResponseWriter, r *http.Request, call call) error

func (s *Server) routes() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/readyz", s.handleReady).Methods(http.MethodGet)
	for _, operation := range []engine.Operation{engine.OperationChat, engine.OperationCompletion} {
		router.Handle(string(operation), s.wrap(s.handleGeneration(operation))).Methods(http.MethodPost)
	}
	router.Handle("/v1/models", s.wrap(s.listModels)).Methods(http.MethodGet)
	router.Handle("/v1/models/{model:.+}", s.wrap(s.getModel)).Methods(http.MethodGet)
	router.Handle("/v1/files", s.wrap(s.uploadFile)).Methods(http.MethodPost)
	router.Handle("/v1/files", s.wrap(s.listFiles)).Methods(http.MethodGet)
	router.Handle("/v1/files/{file}", s.wrap(s.getFile)).Methods(http.MethodGet)
	router.Handle("/v1/files/{file}", s.wrap(s.deleteFile)).Methods(http.MethodDelete)
	router.Handle("/v1/files/{file}/content", s.wrap(s.getFileContent)).Methods(http.MethodGet)
	router.Handle("/v1/batches", s.wrap(s.createBatch)).Methods(http.MethodPost)
	router.Handle("/v1/batches", s.wrap(s.listBatches)).Methods(http.MethodGet)
	router.Handle("/v1/batches/{batch}", s.wrap(s.getBatch)).Methods(http.MethodGet)
	router.Handle("/v1/batches/{batch}/cancel", s.wrap(s.cancelBatch)).Methods(http.MethodPost)
	router.NotFoundHandler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		writeError(w, notFound("there is no "+r.URL.Path))
	})
	router.MethodNotAllowedHandler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		writeJSON(w, http.StatusMethodNotAllowed, errorBodyOf(outcome.New(outcome.NotRun, outcome.ReasonInvalid, r.Method+" is not allowed here")))
	})
	return router
}

// wrap refuses requests of a node that stops, finds the tenant, and writes errors.
func (s *Server) wrap(serve handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !s.drain.enter() {
			w.Header().Set("Connection", "close")
			s.fail(w, errLeaving)
			return
		}
		defer s.drain.leave()
		snapshot := s.configuration.Current()
		tenant, err := tenantOf(snapshot, r)
		if err == nil {
			err = serve(w, r, call{snapshot: snapshot, tenant: tenant})
		}
		if err != nil {
			s.fail(w, err)
		}
	})
}

func (s *Server) fail(w http.ResponseWriter, err error) {
	s.metrics.failed(err)
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

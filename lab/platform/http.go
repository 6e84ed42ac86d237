package platform

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/gorilla/mux"
	"github.com/joomcode/errorx"

	port "github.com/sloelift/sloelift/internal/platform"
	"github.com/sloelift/sloelift/internal/platform/etcdjson"
)

// maxRequestBody is the maximum size of a request body in bytes.
const maxRequestBody = 16 << 20

// zoneHandler serves the three services to the callers of one zone. The key-value service is served with both the etcd JSON gateway's
// protocol and that of the users' platform.
func (s *Server) zoneHandler(zone string) http.Handler {
	caller := &client{server: s, zone: zone}
	gateway := &gateway{client: caller}
	router := mux.NewRouter()
	(&metadata{client: caller}).register(router)
	router.HandleFunc(etcdjson.PathRange, post(gateway.rangeKeys)).Methods(http.MethodPost)
	router.HandleFunc(etcdjson.PathTxn, post(gateway.transact)).Methods(http.MethodPost)
	router.HandleFunc(etcdjson.PathLeaseGrant, post(gateway.grantLease)).Methods(http.MethodPost)
	router.HandleFunc(etcdjson.PathKeepAlive, post(gateway.keepAlive)).Methods(http.MethodPost)
	router.HandleFunc(etcdjson.PathRevoke, post(gateway.revokeLease)).Methods(http.MethodPost)
	router.HandleFunc(etcdjson.PathWatch, gateway.watch).Methods(http.MethodPost)
	router.HandleFunc(port.PathMachines, serveMachines(s.MachineList(zone))).Methods(http.MethodGet)
	version := port.PathWeights + "/{name}/{version}"
	router.HandleFunc(version, serveWeights(s.WeightStore(zone))).Methods(http.MethodGet)
	router.HandleFunc(version+"/reservations", serveReservation(s.WeightStore(zone))).Methods(http.MethodPost)
	return router
}

// post decodes a JSON request, calls serve and encodes its response or error.
func post[Request, Response any](serve func(context.Context, Request) (Response, error)) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		var decoded Request
		if !readBody(writer, request, &decoded) {
			return
		}
		answer, err := serve(request.Context(), decoded)
		writeAnswer(writer, answer, err)
	}
}

func readBody(writer http.ResponseWriter, request *http.Request, into any) bool {
	body := http.MaxBytesReader(writer, request.Body, maxRequestBody)
	if err := json.NewDecoder(body).Decode(into); err != nil {
		writeError(writer, http.StatusBadRequest, etcdjson.Error{Code: etcdjson.CodeInvalidArgument, Message: err.Error()})
		return false
	}
	return true
}

func writeAnswer(writer http.ResponseWriter, answer any, err error) {
	switch {
	case err == nil:
		writer.Header().Set("Content-Type", "application/json")
		// An error means that the client has disconnected.
		_ = json.NewEncoder(writer).Encode(answer)
	case isDropped(err):
		panic(http.ErrAbortHandler) // Closes the connection without a response.
	default:
		status, body := errorBody(err)
		writeError(writer, status, body)
	}
}

func writeError(writer http.ResponseWriter, status int, body etcdjson.Error) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(body)
}

// errorBody maps an error kind to the gateway's status and body.
func errorBody(err error) (int, etcdjson.Error) {
	body := etcdjson.Error{Message: err.Error()}
	switch {
	case errorx.IsOfType(err, port.KindRateLimited):
		body.Code = etcdjson.CodeResourceExhausted
		return http.StatusTooManyRequests, body
	case errorx.IsOfType(err, port.KindUnavailable):
		return http.StatusServiceUnavailable, etcdjson.Error{Code: etcdjson.CodeUnavailable, Message: etcdjson.MessageNoLeader}
	case errorx.IsOfType(err, port.KindLeaseNotFound):
		body.Code = etcdjson.CodeNotFound
		return http.StatusNotFound, body
	case errorx.IsOfType(err, port.KindCompacted):
		body.Code = etcdjson.CodeOutOfRange
		return http.StatusBadRequest, body
	default:
		body.Code = etcdjson.CodeInvalidArgument
		return http.StatusBadRequest, body
	}
}

func serveMachines(machines port.MachineList) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		listing, err := machines.List(request.Context())
		writeAnswer(writer, listing, err)
	}
}

func serveWeights(store port.WeightStore) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		names := mux.Vars(request)
		found, err := store.Describe(request.Context(), names["name"], names["version"])
		writeAnswer(writer, found, err)
	}
}

func serveReservation(store port.WeightStore) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		var reservation port.FetchReservation
		if !readBody(writer, request, &reservation) {
			return
		}
		names := mux.Vars(request)
		err := store.ReserveFetch(request.Context(), names["name"], names["version"], reservation.Replica)
		writeAnswer(writer, reservation, err)
	}
}

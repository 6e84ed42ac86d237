package platform

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/gorilla/mux"
	"github.com/joomcode/errorx"

	port "github.com/sloelift/sloelift/internal/platform"
	wire "github.com/sloelift/sloelift/platform"
)

// metadata serves the key-value service to the callers of one zone with the protocol of the users' platform.
type metadata struct{ client *client }

func (m *metadata) register(router *mux.Router) {
	router.HandleFunc(wire.PathStoreKey, m.key).Methods(http.MethodGet)
	router.HandleFunc(wire.PathStoreRange, m.list).Methods(http.MethodGet)
	router.HandleFunc(wire.PathStoreWatch, m.watch).Methods(http.MethodGet)
	router.HandleFunc(wire.PathStoreCommit, m.commit).Methods(http.MethodPost)
	router.HandleFunc(wire.PathStoreLease, m.lease).Methods(http.MethodPost)
	router.HandleFunc(wire.PathStoreKeepAlive+"{id}", m.keepAlive).Methods(http.MethodPost)
	router.HandleFunc(wire.PathStoreRevoke+"{id}", m.revoke).Methods(http.MethodDelete)
}

// answer writes body as JSON, or the status for err. A dropped response closes the connection.
func (m *metadata) answer(writer http.ResponseWriter, body any, err error) {
	if err != nil {
		if isDropped(err) {
			panic(http.ErrAbortHandler) // Closes the connection without a response.
		}
		writer.WriteHeader(metadataStatus(err))
		return
	}
	writer.Header().Set("Content-Type", "application/json")
	// An error means that the caller has disconnected.
	_ = json.NewEncoder(writer).Encode(body)
}

func metadataStatus(err error) int {
	switch {
	case errorx.IsOfType(err, port.KindRateLimited):
		return http.StatusTooManyRequests
	case errorx.IsOfType(err, port.KindUnavailable):
		return http.StatusServiceUnavailable
	case errorx.IsOfType(err, port.KindLeaseNotFound):
		return http.StatusNotFound
	case errorx.IsOfType(err, port.KindCompacted):
		return http.StatusGone
	default:
		return http.StatusBadRequest
	}
}

func itemOf(entry port.Entry) wire.StoreItem {
	return wire.StoreItem{Key: entry.Key, Value: entry.Value, Revision: entry.ModRevision, CreateRevision: entry.CreateRevision, Lease: int64(entry.LeaseID)}
}

func (m *metadata) key(writer http.ResponseWriter, request *http.Request) {
	entry, err := m.client.Get(request.Context(), request.URL.Query().Get("key"))
	if err == nil && entry.ModRevision == 0 {
		writer.WriteHeader(http.StatusNotFound)
		return
	}
	m.answer(writer, itemOf(entry), err)
}

// list responds with the whole range as one page.
func (m *metadata) list(writer http.ResponseWriter, request *http.Request) {
	listing, err := m.client.List(request.Context(), request.URL.Query().Get("path_prefix"))
	page := wire.StorePage{Items: []wire.StoreItem{}, At: listing.Revision}
	for _, entry := range listing.Entries {
		page.Items = append(page.Items, itemOf(entry))
	}
	m.answer(writer, page, err)
}

// watch is a long poll: it responds with the changes since a revision as soon as there is one or the requested wait is over.
func (m *metadata) watch(writer http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	since, errSince := strconv.ParseInt(query.Get("since_rev"), 10, 64)
	hold, errHold := strconv.ParseInt(query.Get("wait_ms"), 10, 64)
	if errSince != nil || errHold != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	if err := m.client.read(request.Context(), OperationWatch); err != nil {
		m.answer(writer, nil, err)
		return
	}
	events, err := m.waitForEvents(request.Context(), query.Get("path_prefix"), since, time.Duration(hold)*time.Millisecond)
	m.answer(writer, events, err)
}

func (m *metadata) waitForEvents(ctx context.Context, prefix string, since int64, hold time.Duration) (wire.StoreEvents, error) {
	holdTimer := time.NewTimer(hold)
	defer holdTimer.Stop()
	for {
		outage, faultsChanged := m.client.server.faults.outage(m.client.zone, KeyValue)
		if outage.endsWatches() {
			<-ctx.Done()
			return wire.StoreEvents{}, errReadDropped.New("watch fell silent")
		}
		if outage != NoOutage {
			return wire.StoreEvents{}, port.KindUnavailable.New("watch ended by an outage")
		}
		changes, revision, changed, err := m.client.server.store.changesFrom(prefix, since+1)
		if err != nil {
			return wire.StoreEvents{}, err
		}
		answer := wire.StoreEvents{Events: []wire.StoreItem{}, At: revision}
		for _, changedKey := range changes {
			item := itemOf(changedKey.entry)
			item.Deleted = changedKey.deleted
			answer.Events = append(answer.Events, item)
		}
		if len(changes) > 0 {
			return answer, nil
		}
		select {
		case <-changed:
		case <-faultsChanged:
		case <-holdTimer.C:
			return answer, nil
		case <-ctx.Done():
			return wire.StoreEvents{}, errReadDropped.Wrap(ctx.Err(), "caller gave up")
		}
	}
}

func (m *metadata) commit(writer http.ResponseWriter, request *http.Request) {
	var sent wire.StoreTransaction
	if !m.decode(writer, request, &sent) {
		return
	}
	if slices.ContainsFunc(sent.Put, func(put wire.StorePut) bool { return len(put.Value) == 0 }) {
		// The users' platform rejects empty values.
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	result, err := m.client.Commit(request.Context(), transactionFrom(sent))
	if err != nil || result.Committed {
		m.answer(writer, wire.StoreCommitted{Revision: result.Revision}, err)
		return
	}
	page := wire.StorePage{Items: []wire.StoreItem{}, At: result.Revision}
	for _, entry := range result.Current {
		page.Items = append(page.Items, itemOf(entry))
	}
	writer.WriteHeader(http.StatusPreconditionFailed)
	// An error means that the caller has disconnected.
	_ = json.NewEncoder(writer).Encode(page)
}

func transactionFrom(sent wire.StoreTransaction) port.Transaction {
	var transaction port.Transaction
	for _, condition := range sent.Expected {
		transaction.Conditions = append(transaction.Conditions, port.Condition{Key: condition.Key, ModRevision: condition.Revision})
	}
	for _, put := range sent.Put {
		transaction.Changes = append(transaction.Changes, port.Change{
			Key: put.Key, Value: put.Value, LeaseID: port.LeaseID(put.Lease),
		})
	}
	for _, key := range sent.Remove {
		transaction.Changes = append(transaction.Changes, port.Change{Key: key, Delete: true})
	}
	return transaction
}

func (m *metadata) decode(writer http.ResponseWriter, request *http.Request, into any) bool {
	body := http.MaxBytesReader(writer, request.Body, maxRequestBody)
	if err := json.NewDecoder(body).Decode(into); err != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return false
	}
	return true
}

func (m *metadata) lease(writer http.ResponseWriter, request *http.Request) {
	var requested wire.StoreLease
	if !m.decode(writer, request, &requested) {
		return
	}
	granted, err := m.client.GrantLease(request.Context(), time.Duration(requested.Milliseconds)*time.Millisecond)
	m.answer(writer, wire.StoreLease{Lease: int64(granted), Milliseconds: requested.Milliseconds}, err)
}

func (m *metadata) keepAlive(writer http.ResponseWriter, request *http.Request) {
	id, ok := m.leaseID(writer, request)
	if !ok {
		return
	}
	timeToLive, err := m.client.KeepAlive(request.Context(), id)
	m.answer(writer, wire.StoreLease{Lease: int64(id), Milliseconds: timeToLive.Milliseconds()}, err)
}

func (m *metadata) revoke(writer http.ResponseWriter, request *http.Request) {
	id, ok := m.leaseID(writer, request)
	if !ok {
		return
	}
	m.answer(writer, struct{}{}, m.client.RevokeLease(request.Context(), id))
}

func (m *metadata) leaseID(writer http.ResponseWriter, request *http.Request) (port.LeaseID, bool) {
	id, err := strconv.ParseInt(mux.Vars(request)["id"], 10, 64)
	if err != nil {
		writer.WriteHeader(http.StatusNotFound)
	}
	return port.LeaseID(id), err == nil
}

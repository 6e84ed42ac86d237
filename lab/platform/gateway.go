package platform

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"slices"
	"time"

	"github.com/joomcode/errorx"

	port "github.com/sloelift/sloelift/internal/platform"
	"github.com/sloelift/sloelift/internal/platform/etcdjson"
)

// gateway serves the etcd v3 JSON gateway for the callers of one zone.
type gateway struct{ client *client }

func (g *gateway) header() etcdjson.Header {
	return etcdjson.Header{Revision: g.client.server.store.list("", true).Revision}
}

func (g *gateway) rangeKeys(ctx context.Context, request etcdjson.RangeRequest) (etcdjson.RangeResponse, error) {
	key := string(request.Key)
	if len(request.RangeEnd) == 0 {
		entry, err := g.client.Get(ctx, key)
		if err != nil {
			return etcdjson.RangeResponse{}, err
		}
		response := etcdjson.RangeResponse{Header: g.header()}
		if entry.ModRevision > 0 {
			response.KeyValues = []etcdjson.KeyValue{storedOf(entry)}
		}
		return response, nil
	}
	if !isPrefix(key, request.RangeEnd) {
		return etcdjson.RangeResponse{}, errNotPrefix
	}
	listing, err := g.client.List(ctx, key)
	response := etcdjson.RangeResponse{Header: etcdjson.Header{Revision: listing.Revision}}
	for _, entry := range listing.Entries {
		response.KeyValues = append(response.KeyValues, storedOf(entry))
	}
	response.Count = int64(len(response.KeyValues))
	return response, err
}

var errNotPrefix = errors.New("the stand-in serves prefix ranges only")

func isPrefix(key string, end []byte) bool { return slices.Equal(end, etcdjson.PrefixEnd(key)) }

func (g *gateway) transact(ctx context.Context, request etcdjson.TxnRequest) (etcdjson.TxnResponse, error) {
	transaction, err := transactionOf(request)
	if err != nil {
		return etcdjson.TxnResponse{}, err
	}
	result, err := g.client.Commit(ctx, transaction)
	if err != nil {
		return etcdjson.TxnResponse{}, err
	}
	response := etcdjson.TxnResponse{Header: etcdjson.Header{Revision: result.Revision}, Succeeded: result.Committed}
	for _, entry := range result.Current {
		found := &etcdjson.RangeResponse{Header: response.Header}
		if entry.ModRevision > 0 {
			found.KeyValues = []etcdjson.KeyValue{storedOf(entry)}
		}
		response.Responses = append(response.Responses, etcdjson.ResponseOperation{Range: found})
	}
	return response, nil
}

// transactionOf converts the kind of transaction that the product sends: MOD EQUAL conditions, puts
// and deletes of single keys, and on failure a read of each condition's key.
func transactionOf(request etcdjson.TxnRequest) (port.Transaction, error) {
	var transaction port.Transaction
	for _, compare := range request.Compare {
		if compare.Target != etcdjson.TargetMod || compare.Result != etcdjson.ResultEqual {
			return transaction, errors.New("the stand-in compares mod revisions for equality only")
		}
		transaction.Conditions = append(transaction.Conditions,
			port.Condition{Key: string(compare.Key), ModRevision: compare.ModRevision})
	}
	for _, operation := range request.Success {
		switch {
		case operation.Put != nil:
			transaction.Changes = append(transaction.Changes, port.Change{
				Key: string(operation.Put.Key), Value: operation.Put.Value, LeaseID: port.LeaseID(operation.Put.Lease),
			})
		case operation.DeleteRange != nil:
			transaction.Changes = append(transaction.Changes, port.Change{Key: string(operation.DeleteRange.Key), Delete: true})
		default:
			return transaction, errors.New("the stand-in takes puts and deletes on success only")
		}
	}
	return transaction, nil
}

func (g *gateway) grantLease(ctx context.Context, request etcdjson.LeaseGrantRequest) (etcdjson.LeaseResponse, error) {
	id, err := g.client.GrantLease(ctx, time.Duration(request.TimeToLive)*time.Second)
	return etcdjson.LeaseResponse{Header: g.header(), ID: int64(id), TimeToLive: request.TimeToLive}, err
}

func (g *gateway) keepAlive(ctx context.Context, request etcdjson.LeaseRequest) (etcdjson.KeepAliveResponse, error) {
	timeToLive, err := g.client.KeepAlive(ctx, port.LeaseID(request.ID))
	if errorx.IsOfType(err, port.KindLeaseNotFound) {
		err = nil // The gateway reports an expired lease as a time to live of 0.
	}
	seconds := int64(timeToLive / time.Second)
	return etcdjson.KeepAliveResponse{Result: etcdjson.LeaseResponse{
		Header: g.header(), ID: request.ID, TimeToLive: seconds,
	}}, err
}

func (g *gateway) revokeLease(ctx context.Context, request etcdjson.LeaseRequest) (etcdjson.LeaseResponse, error) {
	err := g.client.RevokeLease(ctx, port.LeaseID(request.ID))
	return etcdjson.LeaseResponse{Header: g.header(), ID: request.ID}, err
}

// watch streams one JSON message per line until the caller disconnects or the watch ends.
func (g *gateway) watch(writer http.ResponseWriter, request *http.Request) {
	var decoded etcdjson.WatchRequest
	if !readBody(writer, request, &decoded) {
		return
	}
	prefix := string(decoded.Create.Key)
	if !isPrefix(prefix, decoded.Create.RangeEnd) {
		writeAnswer(writer, nil, errNotPrefix)
		return
	}
	events, err := g.client.Watch(request.Context(), prefix, decoded.Create.StartRevision)
	if err != nil {
		writeAnswer(writer, nil, err)
		return
	}
	writer.Header().Set("Content-Type", "application/json")
	stream := &watchStream{encoder: json.NewEncoder(writer), control: http.NewResponseController(writer)}
	if !stream.write(etcdjson.WatchResponse{Header: g.header(), Created: true}) {
		return
	}
	for event := range events {
		if event.Err != nil && !errorx.IsOfType(event.Err, port.KindCompacted) {
			panic(http.ErrAbortHandler) // An outage closes the connection in mid-stream.
		}
		if !stream.write(watchResponse(event)) {
			return
		}
	}
}

type watchStream struct {
	encoder *json.Encoder
	control *http.ResponseController
}

func (s *watchStream) write(response etcdjson.WatchResponse) bool {
	return s.encoder.Encode(etcdjson.WatchMessage{Result: response}) == nil && s.control.Flush() == nil
}

func watchResponse(event port.WatchEvent) etcdjson.WatchResponse {
	response := etcdjson.WatchResponse{Header: etcdjson.Header{Revision: event.Revision}}
	if event.Err != nil {
		response.Canceled = true
		response.CompactRevision = event.Revision + 1 // As in etcd: the first revision that can be watched.
		return response
	}
	for _, entry := range event.Changed {
		response.Events = append(response.Events, etcdjson.Event{KeyValue: storedOf(entry)})
	}
	for _, key := range event.Deleted {
		response.Events = append(response.Events, etcdjson.Event{
			Type:     etcdjson.EventDelete,
			KeyValue: etcdjson.KeyValue{Key: []byte(key), ModRevision: event.Revision},
		})
	}
	return response
}

func storedOf(entry port.Entry) etcdjson.KeyValue {
	return etcdjson.KeyValue{
		Key: []byte(entry.Key), Value: entry.Value,
		CreateRevision: entry.CreateRevision, ModRevision: entry.ModRevision, Lease: int64(entry.LeaseID),
	}
}

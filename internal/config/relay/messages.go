package relay

import (
	configpb "github.com/sloelift/sloelift/api/proto/config"
	"github.com/sloelift/sloelift/internal/transport"
)

// Methods between nodes.
const (
	methodDelta  transport.Method = "config.delta"
	methodDigest transport.Method = "config.digest"
	methodPull   transport.Method = "config.pull"
)

func encodeDelta(from *delta) *configpb.Delta {
	return &configpb.Delta{
		Revision:      from.revision,
		StoreRevision: from.storeRevision,
		Changed:       encodeObjects(from.changed),
		Withdrawn:     from.withdrawn,
		Hash:          from.hash,
	}
}

func decodeDelta(from *configpb.Delta) *delta {
	return &delta{
		revision:      from.GetRevision(),
		storeRevision: from.GetStoreRevision(),
		changed:       decodeObjects(from.GetChanged()),
		withdrawn:     from.GetWithdrawn(),
		hash:          from.GetHash(),
	}
}

func encodeDocument(from *document) *configpb.Document {
	return &configpb.Document{
		Revision:      from.revision,
		StoreRevision: from.storeRevision,
		Objects:       encodeObjects(from.objects),
		Hash:          from.hash,
	}
}

// decodeDocument returns false if the content does not match the hash.
func decodeDocument(from *configpb.Document) (*document, bool) {
	decoded := newDocument(from.GetRevision(), from.GetStoreRevision(), decodeObjects(from.GetObjects()))
	return decoded, decoded.hash == from.GetHash()
}

func encodeObjects(from map[string][]byte) []*configpb.Object {
	objects := make([]*configpb.Object, 0, len(from))
	for key, value := range from {
		objects = append(objects, &configpb.Object{Key: key, Value: value})
	}
	return objects
}

func decodeObjects(from []*configpb.Object) map[string][]byte {
	objects := make(map[string][]byte, len(from))
	for _, object := range from {
		objects[object.GetKey()] = object.GetValue()
	}
	return objects
}

func encodeDigest(from digest) *configpb.Digest {
	return &configpb.Digest{Revision: from.revision, Hash: from.hash, Known: from.known, Ready: from.ready, Asks: from.asks}
}

func decodeDigest(from *configpb.Digest) digest {
	return digest{
		revision: from.GetRevision(), hash: from.GetHash(),
		known: from.GetKnown(), ready: from.GetReady(), asks: from.GetAsks(),
	}
}

// answerPull returns the response to a pull: the deltas after the requested revision if they
// are kept, else the whole document. latest is nil on a node without a configuration.
func answerPull(latest *document, request *configpb.PullRequest) *configpb.PullResponse {
	if latest == nil || request.GetKnown() && request.GetRevision() >= latest.revision {
		return &configpb.PullResponse{}
	}
	if request.GetKnown() {
		if deltas, complete := latest.deltasAfter(request.GetRevision()); complete {
			response := &configpb.PullResponse{}
			for _, kept := range deltas {
				response.Deltas = append(response.Deltas, encodeDelta(kept))
			}
			return response
		}
	}
	return &configpb.PullResponse{Document: encodeDocument(latest)}
}

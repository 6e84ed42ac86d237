package gateway

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"time"

	"github.com/sloelift/sloelift/internal/config"
	"github.com/sloelift/sloelift/internal/engine"
	"github.com/sloelift/sloelift/internal/session"
)

// Headers that this API adds to those of the OpenAI API.
const (
	headerIdempotencyKey = "Idempotency-Key"
	headerPriority       = "X-Priority"
	headerNotRepeatable  = "X-Not-Repeatable"
	headerReconnect      = "X-Reconnect"
	headerLastEventID    = "Last-Event-ID"
	headerRequestID      = "X-Request-Id"
)

const maxIdempotencyKeyBytes = 255

// authenticatedCall is the tenant of an authenticated request and the configuration under which it is served.
type authenticatedCall struct {
	snapshot *config.Snapshot
	tenant   *config.Tenant
}

// generationRequest is a parsed online request.
type generationRequest struct {
	session.Request
	parsed  engine.Generation
	created int64
	// answerID is the "id" in the answer's JSON.
	answerID string
}

func (s *Server) handleGeneration(operation engine.Operation) handler {
	return func(w http.ResponseWriter, r *http.Request, call authenticatedCall) error {
		body, release, err := s.bodies.read(w, r)
		if err != nil {
			return err
		}
		defer release()
		request, err := parseGeneration(r, call, operation, body)
		if err != nil {
			return err
		}
		w.Header().Set(headerRequestID, request.ID)
		if request.parsed.Stream {
			return s.stream(w, r, request)
		}
		return s.complete(w, r, request)
	}
}

func parseGeneration(r *http.Request, call authenticatedCall, operation engine.Operation, body []byte) (*generationRequest, error) {
	parsed, err := engine.ParseGeneration(operation, body)
	if err != nil {
		return nil, invalid(bodyMessage(err))
	}
	resolved, err := resolveTarget(call.snapshot, call.tenant, parsed.Model)
	if err != nil {
		return nil, err
	}
	priority, err := resolvePriority(call.snapshot, r.Header.Get(headerPriority), parsed.ServiceTier, true)
	if err != nil {
		return nil, err
	}
	now := time.Now()
	request := &generationRequest{parsed: parsed, created: now.Unix(), Request: session.Request{
		ID:        newRequestID(call.tenant.Name),
		Tenant:    call.tenant,
		Service:   resolved.service,
		Priority:  priority,
		Model:     resolved.model.Name,
		Adapter:   resolved.adapter,
		Operation: operation,
		Body:      body,
		Prompt:    parsed.Prompt,
		MaxTokens: parsed.MaxTokens,
		Deadline:  now.Add(resolved.service.RequestTimeout),
	}}
	if err := request.parseRepeatHeaders(r, body); err != nil {
		return nil, err
	}
	request.BodyReady = parsed.Stream && !parsed.HasResume && parsed.Model == engine.JoinModel(resolved.model.Name, resolved.adapter)
	request.answerID = answerPrefix(operation) + request.ID
	return request, nil
}

// parseRepeatHeaders reads the headers that control whether the request may be repeated, and whether it
// reconnects to a stream.
func (g *generationRequest) parseRepeatHeaders(r *http.Request, body []byte) error {
	g.KeepRun = g.parsed.Stream && r.Header.Get(headerReconnect) == "true"
	key := r.Header.Get(headerIdempotencyKey)
	if len(key) > maxIdempotencyKeyBytes {
		return invalid(headerIdempotencyKey + ": is too long")
	}
	switch r.Header.Get(headerNotRepeatable) {
	case "", "false":
	case "true":
		if key == "" {
			return invalid(headerNotRepeatable + " needs an " + headerIdempotencyKey)
		}
		g.NotRepeatable = true
		g.IdempotencyKey = key
		g.Fingerprint = fingerprint(g.Operation, body)
	default:
		return invalid(headerNotRepeatable + `: must be "true" or "false"`)
	}
	if last := r.Header.Get(headerLastEventID); last != "" {
		return g.reconnect(last)
	}
	return nil
}

// reconnect makes the request continue after an event of an earlier connection.
func (g *generationRequest) reconnect(last string) error {
	if !g.parsed.Stream || g.NotRepeatable {
		return invalid(headerLastEventID + ": only a stream that is repeatable can be gone on with")
	}
	event, valid := parseEventID(last, g.Tenant.Name)
	if !valid {
		return invalid(headerLastEventID + ": is not an event of this tenant")
	}
	g.ID, g.Replica, g.Offset, g.Prior = event.request, event.replica, event.offset, g.parsed.Resume
	g.KeepRun = true
	return nil
}

// fingerprint returns a digest of the operation and the body, for idempotency keys.
func fingerprint(operation engine.Operation, body []byte) string {
	digest := sha256.New()
	digest.Write([]byte(operation))
	digest.Write([]byte{0})
	digest.Write(body)
	return hex.EncodeToString(digest.Sum(nil))
}

func answerPrefix(operation engine.Operation) string {
	if operation == engine.OperationChat {
		return "chatcmpl-"
	}
	return "cmpl-"
}

package operator

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/gorilla/mux"

	"github.com/sloelift/sloelift/internal/config"
	"github.com/sloelift/sloelift/internal/outcome"
	"github.com/sloelift/sloelift/internal/strictyaml"
)

// configTimeout limits a request that reads or writes the key-value service.
const configTimeout = 20 * time.Second

// Configuration is the whole configuration, as returned by the admin interface.
type Configuration struct {
	Revision int64 `json:"revision"`
	// Origin is "key_value", or "in_force" if the key-value service is down and the
	// configuration is the one in force on the node.
	Origin       string            `json:"origin"`
	Declarations []DeclarationView `json:"declarations"`
}

// Origins of a Configuration.
const (
	OriginKeyValue = "key_value"
	OriginInForce  = "in_force"
)

// DeclarationView is one declaration, as returned by the admin interface.
type DeclarationView struct {
	Kind config.Kind `json:"kind"`
	Name string      `json:"name"`
	// YAML is the declaration as a document of an operators' file.
	YAML string `json:"yaml"`
}

func (h *handler) getConfig(response http.ResponseWriter, request *http.Request) {
	snapshot, origin, err := h.loadConfig(request.Context())
	if err != nil {
		writeError(response, err)
		return
	}
	view := Configuration{Revision: snapshot.Revision, Origin: origin, Declarations: []DeclarationView{}}
	for _, declaration := range snapshot.Declarations() {
		view.Declarations = append(view.Declarations, DeclarationView{Kind: declaration.Kind, Name: declaration.Name, YAML: declaration.YAML()})
	}
	writeJSON(response, http.StatusOK, view)
}

func (h *handler) loadConfig(ctx context.Context) (*config.Snapshot, string, error) {
	bounded, cancel := context.WithTimeout(ctx, configTimeout)
	defer cancel()
	snapshot, err := h.store.Load(bounded)
	if err == nil {
		return snapshot, OriginKeyValue, nil
	}
	if h.inForce == nil {
		return nil, "", err
	}
	return h.inForce.Current(), OriginInForce, nil
}

func (h *handler) apply(response http.ResponseWriter, request *http.Request) {
	expect, err := queryInteger(request, queryExpectRevision, config.AnyRevision)
	if err != nil {
		writeError(response, err)
		return
	}
	h.withFile(response, request, func(ctx context.Context, file []byte) (config.ApplyResult, error) {
		result, err := h.store.Apply(ctx, file, expect)
		h.metrics.count(err)
		return result, err
	})
}

func (h *handler) diff(response http.ResponseWriter, request *http.Request) {
	h.withFile(response, request, h.store.Diff)
}

func (h *handler) withFile(response http.ResponseWriter, request *http.Request, use func(context.Context, []byte) (config.ApplyResult, error)) {
	file, err := h.readFile(response, request)
	if err != nil {
		writeError(response, err)
		return
	}
	ctx, cancel := context.WithTimeout(request.Context(), configTimeout)
	defer cancel()
	select {
	case h.fileSlots <- struct{}{}:
		defer func() { <-h.fileSlots }()
	case <-ctx.Done():
		writeError(response, outcome.New(outcome.NotRun, outcome.ReasonOverloaded, "too many files at once").After(time.Second))
		return
	}
	result, err := use(ctx, file)
	if err != nil {
		writeError(response, err)
		return
	}
	writeJSON(response, http.StatusOK, result)
}

func (h *handler) readFile(response http.ResponseWriter, request *http.Request) ([]byte, error) {
	controller := http.NewResponseController(response)
	defer clearReadDeadline(controller)
	if err := controller.SetReadDeadline(time.Now().Add(h.limits.BodyTimeout)); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return nil, err
	}
	file, err := io.ReadAll(http.MaxBytesReader(response, request.Body, strictyaml.MaxBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, outcome.New(outcome.NotRun, outcome.ReasonTooLarge, "the file is larger than 1 MiB")
	}
	if err != nil {
		return nil, outcome.Wrap(err, outcome.NotRun, outcome.ReasonInvalid, "the file did not arrive whole")
	}
	return file, nil
}

func pathID(request *http.Request) (config.ID, error) {
	variables := mux.Vars(request)
	id := config.ID{Kind: config.Kind(variables["kind"]), Name: variables["name"]}
	if config.ValueOf(id.Kind) == nil {
		return id, outcome.New(outcome.NotRun, outcome.ReasonNotFound, "no such kind: "+variables["kind"])
	}
	return id, nil
}

func (h *handler) getUses(response http.ResponseWriter, request *http.Request) {
	id, err := pathID(request)
	if err != nil {
		writeError(response, err)
		return
	}
	uses, err := h.findUses(request.Context(), id)
	if err != nil {
		writeError(response, err)
		return
	}
	writeJSON(response, http.StatusOK, uses)
}

func (h *handler) findUses(ctx context.Context, id config.ID) (Uses, error) {
	snapshot, _, err := h.loadConfig(ctx)
	if err != nil {
		return Uses{}, err
	}
	return h.uses.find(ctx, snapshot, id)
}

// withdraw removes a declaration. It refuses while running jobs need the declaration,
// unless force is set.
func (h *handler) withdraw(response http.ResponseWriter, request *http.Request) {
	result, err := h.tryWithdraw(request)
	if err != nil {
		writeError(response, err)
		return
	}
	writeJSON(response, http.StatusOK, result)
}

func (h *handler) tryWithdraw(request *http.Request) (config.ApplyResult, error) {
	id, err := pathID(request)
	if err != nil {
		return config.ApplyResult{}, err
	}
	expect, err := queryInteger(request, queryExpectRevision, config.AnyRevision)
	if err != nil {
		return config.ApplyResult{}, err
	}
	force, err := queryBool(request, queryForce)
	if err != nil {
		return config.ApplyResult{}, err
	}
	ctx, cancel := context.WithTimeout(request.Context(), configTimeout)
	defer cancel()
	if !force {
		uses, err := h.findUses(ctx, id)
		if err != nil {
			return config.ApplyResult{}, err
		}
		if len(uses.Jobs) > 0 {
			return config.ApplyResult{}, &RunningJobsError{Uses: uses}
		}
	}
	result, err := h.store.Withdraw(ctx, id.Kind, id.Name, expect)
	h.metrics.count(err)
	return result, err
}

func (h *handler) getRollout(response http.ResponseWriter, request *http.Request) {
	revision, err := queryInteger(request, queryRevision, 0)
	if err != nil {
		writeError(response, err)
		return
	}
	writeJSON(response, http.StatusOK, h.status.rollout(revision))
}

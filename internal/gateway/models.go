package gateway

import (
	"net/http"

	"github.com/gorilla/mux"

	"github.com/sloelift/sloelift/internal/config"
	"github.com/sloelift/sloelift/internal/engine"
)

const objectModel = "model"

// modelBody is the model object of the OpenAI API; OwnedBy is the name of the service.
type modelBody struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

func (s *Server) listModels(w http.ResponseWriter, _ *http.Request, call authenticatedCall) error {
	writeJSON(w, http.StatusOK, listBody[modelBody]{Object: objectList, Data: modelBodies(call.snapshot, call.tenant)})
	return nil
}

func (s *Server) getModel(w http.ResponseWriter, r *http.Request, call authenticatedCall) error {
	name := mux.Vars(r)["model"]
	resolved, err := resolveTarget(call.snapshot, call.tenant, name)
	if err != nil {
		return err
	}
	writeJSON(w, http.StatusOK, modelBody{ID: name, Object: objectModel, OwnedBy: resolved.service.Name})
	return nil
}

// modelBodies returns each model of the tenant's services once, and once more with each of its
// adapters.
func modelBodies(snapshot *config.Snapshot, tenant *config.Tenant) []modelBody {
	models := []modelBody{}
	seen := map[string]bool{}
	for _, service := range tenantServices(snapshot, tenant) {
		for _, name := range service.Models {
			model := snapshot.Models[name]
			if model == nil || seen[name] {
				continue
			}
			seen[name] = true
			models = append(models, modelBody{ID: name, Object: objectModel, OwnedBy: service.Name})
			for _, adapter := range model.Adapters {
				models = append(models, modelBody{ID: engine.JoinModel(name, adapter), Object: objectModel, OwnedBy: service.Name})
			}
		}
	}
	return models
}

package gateway

import (
	"net/http"

	"github.com/gorilla/mux"

	"github.com/sloelift/sloelift/internal/config"
	"github.com/sloelift/sloelift/internal/engine"
)

const objectModel = "model"

// modelBody is OpenAI's model object; OwnedBy names the service.
type modelBody struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

func (s *Server) listModels(w http.ResponseWriter, _ *http.Request, call call) error {
	writeJSON(w, http.StatusOK, listBody[modelBody]{Object: objectList, Data: modelsOf(call.snapshot, call.tenant)})
	return nil
}

func (s *Server) getModel(w http.ResponseWriter, r *http.Request, call call) error {
	name := mux.Vars(r)["model"]
	found, err := resolve(call.snapshot, call.tenant, name)
	if err != nil {
		return err
	}
	writeJSON(w, http.StatusOK, modelBody{ID: name, Object: objectModel, OwnedBy: found.service.Name})
	return nil
}

// modelsOf lists each model, alone and with each adapter, once.
func modelsOf(snapshot *config.Snapshot, tenant *config.Tenant) []modelBody {
	models := []modelBody{}
	seen := map[string]bool{}
	for _, service := range servicesOf(snapshot, tenant) {
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

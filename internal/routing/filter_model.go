package routing

import (
	"slices"

	"github.com/sloelift/sloelift/internal/engine"
	"github.com/sloelift/sloelift/internal/fleet"
)

// stateReady is the engine.LoadedModel.State of a model that can serve requests.
const stateReady = "ready"

// modelPresent drops replicas whose load report does not match the requested model and adapter. A
// replica without a load report is kept for online requests, since it may be able to serve them,
// and dropped for batch.
func modelPresent(request *Request, replica *fleet.Replica) bool {
	if !replica.HasLoad {
		return !request.Batch
	}
	return ReportsReady(&replica.Load, request.Model, request.Adapter)
}

// ReportsReady reports whether a load report lists the model and adapter as ready. An empty model or
// adapter, or a report without any models, matches.
func ReportsReady(report *engine.LoadReport, model, adapter string) bool {
	if len(report.Models) == 0 || model == "" {
		return true
	}
	for index := range report.Models {
		loaded := &report.Models[index]
		if loaded.Model == model && loaded.State == stateReady &&
			(adapter == "" || slices.Contains(loaded.Adapters, adapter)) {
			return true
		}
	}
	return false
}

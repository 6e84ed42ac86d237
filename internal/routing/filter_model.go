package routing

import (
	"slices"

	"github.com/sloelift/sloelift/internal/engine"
	"github.com/sloelift/sloelift/internal/fleet"
)

// stateReady is the State of an engine.Loaded that serves.
const stateReady = "ready"

// modelPresent drops replicas that report other models only. A replica without a
// report is kept for online: it may well serve. For batch it is dropped.
func modelPresent(request *Request, replica *fleet.Replica) bool {
	if !replica.HasLoad {
		return !request.Batch
	}
	return Serves(&replica.Load, request.Model, request.Adapter)
}

// Serves says whether a report names the model and adapter as ready. An empty
// model or a report that names no models at all matches.
func Serves(report *engine.LoadReport, model, adapter string) bool {
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

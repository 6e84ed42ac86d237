package placement

import (
	"slices"

	"github.com/sloelift/sloelift/internal/config"
	"github.com/sloelift/sloelift/internal/engine"
)

// States of an engine.LoadedModel.
const (
	stateReady   = "ready"
	stateLoading = "loading"
)

// desiredModel is one model that every replica of a service should hold.
type desiredModel struct {
	name     string
	version  string
	adapters []string
}

// desiredState is what the replicas of a service should hold according to one revision of the configuration.
type desiredState struct {
	revision int64
	models   []desiredModel
}

// desiredOf returns the desired state that the configuration declares for a service.
func desiredOf(snapshot *config.Snapshot, service *config.Service) desiredState {
	desired := desiredState{revision: snapshot.Revision}
	for _, name := range service.Models {
		if model := snapshot.Models[name]; model != nil {
			desired.models = append(desired.models, desiredModel{name: name, version: model.Version, adapters: model.Adapters})
		}
	}
	return desired
}

// gap is the difference between a replica's state and the desired state.
type gap struct {
	// missing holds the models whose desired version is not loaded; missingAdapter loads the first adapter that a loaded model lacks.
	missing        []desiredModel
	missingAdapter *engine.Order
	// stale holds the orders that unload versions and adapters that are not desired.
	stale []engine.Order
	// loading is set while a desired version is being loaded.
	loading bool
}

// gapOf compares a load report with the desired state.
func gapOf(desired *desiredState, report *engine.LoadReport) gap {
	var found gap
	for _, model := range desired.models {
		loaded := findLoaded(report, model.name, model.version)
		switch {
		case loaded == nil:
			found.missing = append(found.missing, model)
		case loaded.State == stateLoading:
			found.loading = true
		default:
			found.compareAdapters(model, loaded)
		}
	}
	for _, loaded := range report.Models {
		if !desired.includes(loaded.Model, loaded.Version) {
			found.stale = append(found.stale, engine.Order{Kind: engine.OrderUnloadModel, Model: loaded.Model, Version: loaded.Version})
		}
	}
	return found
}

func (g *gap) compareAdapters(model desiredModel, loaded *engine.LoadedModel) {
	for _, adapter := range model.adapters {
		if g.missingAdapter == nil && !slices.Contains(loaded.Adapters, adapter) {
			g.missingAdapter = &engine.Order{Kind: engine.OrderLoadAdapter, Model: model.name, Version: model.version, Adapter: adapter}
		}
	}
	for _, adapter := range loaded.Adapters {
		if !slices.Contains(model.adapters, adapter) {
			g.stale = append(g.stale, engine.Order{Kind: engine.OrderUnloadAdapter, Model: model.name, Version: model.version, Adapter: adapter})
		}
	}
}

func (g *gap) empty() bool {
	return len(g.missing) == 0 && g.missingAdapter == nil && len(g.stale) == 0 && !g.loading
}

func (d *desiredState) includes(name, version string) bool {
	return slices.ContainsFunc(d.models, func(model desiredModel) bool { return model.name == name && model.version == version })
}

func findLoaded(report *engine.LoadReport, name, version string) *engine.LoadedModel {
	for index := range report.Models {
		if loaded := &report.Models[index]; loaded.Model == name && loaded.Version == version {
			return loaded
		}
	}
	return nil
}

// holdsAny reports whether any ready version of a model is loaded.
func holdsAny(report *engine.LoadReport, name string) bool {
	return slices.ContainsFunc(report.Models, func(loaded engine.LoadedModel) bool {
		return loaded.Model == name && loaded.State == stateReady
	})
}

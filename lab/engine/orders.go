package engine

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	modelengine "github.com/sloelift/sloelift/internal/engine"
)

const (
	modelLoading = "loading"
	modelReady   = "ready"

	maxOrderBytes = 64 << 10
)

func (e *Engine) serveOrder(writer http.ResponseWriter, request *http.Request) {
	var order modelengine.Order
	if err := json.NewDecoder(io.LimitReader(request.Body, maxOrderBytes)).Decode(&order); err != nil {
		writeRefusal(writer, &refusal{status: http.StatusBadRequest, message: "not an order"})
		return
	}
	if refused := e.execute(order); refused != nil {
		writeRefusal(writer, refused)
		return
	}
	writer.WriteHeader(http.StatusOK)
}

// execute carries out an order unless its fencing token is lower than one seen before.
func (e *Engine) execute(order modelengine.Order) *refusal {
	if refused := e.checkFence(order.Fence); refused != nil {
		return refused
	}
	switch order.Kind {
	case modelengine.OrderLoadModel, modelengine.OrderLoadAdapter:
		return e.load(order)
	case modelengine.OrderUnloadModel, modelengine.OrderUnloadAdapter, modelengine.OrderSetRole:
		e.mutex.Lock()
		defer e.mutex.Unlock()
		e.apply(order)
		return nil
	default:
		return &refusal{status: http.StatusUnprocessableEntity, message: "unknown order"}
	}
}

func (e *Engine) checkFence(fence uint64) *refusal {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if fence < e.fence {
		return &refusal{status: http.StatusConflict, message: "fence token is too low"}
	}
	e.fence = fence
	return nil
}

func (e *Engine) apply(order modelengine.Order) {
	switch order.Kind {
	case modelengine.OrderUnloadModel:
		e.models = slices.DeleteFunc(e.models, func(loaded modelengine.LoadedModel) bool {
			return loaded.Model == order.Model && (order.Version == "" || loaded.Version == order.Version)
		})
	case modelengine.OrderUnloadAdapter:
		e.forEachModel(order.Model, func(loaded *modelengine.LoadedModel) {
			loaded.Adapters = slices.DeleteFunc(slices.Clone(loaded.Adapters), func(name string) bool { return name == order.Adapter })
		})
	case modelengine.OrderSetRole:
		e.role = order.Role
	}
}

// forEachModel calls visit for each version of the named model that is loaded or loading. The caller holds mutex.
func (e *Engine) forEachModel(name string, visit func(*modelengine.LoadedModel)) {
	for index := range e.models {
		if e.models[index].Model == name {
			visit(&e.models[index])
		}
	}
}

// load fetches weights; the model or adapter is ready after ModelLoadTime. An order for
// a model or adapter that is loaded or loading changes nothing.
func (e *Engine) load(order modelengine.Order) *refusal {
	name := order.Model
	if order.Kind == modelengine.OrderLoadAdapter {
		name = order.Adapter
	}
	if e.has(order) {
		return nil
	}
	if e.options.ReserveFetch != nil {
		if err := e.options.ReserveFetch(name, order.Version, e.options.Replica); err != nil {
			return &refusal{status: http.StatusTooManyRequests, message: "weight store: " + err.Error()}
		}
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if order.Kind == modelengine.OrderLoadModel {
		e.models = append(e.models, modelengine.LoadedModel{Model: order.Model, Version: order.Version, State: modelLoading})
	}
	ended := e.ended
	time.AfterFunc(e.options.ModelLoadTime, func() { e.completeLoad(order, ended) })
	return nil
}

func (e *Engine) has(order modelengine.Order) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return slices.ContainsFunc(e.models, func(loaded modelengine.LoadedModel) bool {
		if loaded.Model != order.Model {
			return false
		}
		if order.Kind == modelengine.OrderLoadAdapter {
			return slices.Contains(loaded.Adapters, order.Adapter)
		}
		return loaded.Version == order.Version
	})
}

// completeLoad makes the ordered model or adapter ready, unless the engine was killed in the meantime.
func (e *Engine) completeLoad(order modelengine.Order, ended <-chan struct{}) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	select {
	case <-ended:
		return
	default:
	}
	e.forEachModel(order.Model, func(loaded *modelengine.LoadedModel) {
		if order.Kind == modelengine.OrderLoadAdapter {
			loaded.Adapters = append(slices.Clone(loaded.Adapters), order.Adapter)
		} else if loaded.Version == order.Version {
			loaded.State = modelReady
		}
	})
}

// resolve returns the model and adapter for a request's model name, which is "model",
// "model:adapter" or the name of an adapter. The caller holds mutex.
func (e *Engine) resolve(name string) (model, adapter string, ready bool) {
	base, suffix, _ := strings.Cut(name, ":")
	if len(e.models) == 0 && len(e.options.Models) == 0 {
		return base, suffix, true
	}
	for _, loaded := range e.models {
		if loaded.State == modelLoading {
			continue
		}
		if loaded.Model == base && (suffix == "" || slices.Contains(loaded.Adapters, suffix)) {
			return base, suffix, true
		}
		if suffix == "" && slices.Contains(loaded.Adapters, base) {
			return loaded.Model, base, true
		}
	}
	return "", "", false
}

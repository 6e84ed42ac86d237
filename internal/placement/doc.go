// Package placement decides which replica holds which model, adapter and version,
// and brings it there by fenced orders under the weight store's rate.
package placement

// Package gateway serves the HTTP API of a node for callers, compatible with the OpenAI API for
// chat, completions, models, files and batches.
package gateway

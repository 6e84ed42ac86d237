// Package gateway is the callers' interface of a node: OpenAI-compatible HTTP for
// chat, completions, models, files and batches.
package gateway

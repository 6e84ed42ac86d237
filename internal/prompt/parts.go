// Package prompt reads the list of the parts of a prompt that a request declares.
package prompt

import (
	"strconv"
	"strings"
)

// Part is one part of a prompt; all parts but the last are shared with other requests.
type Part struct {
	ID     string
	Tokens int
}

// Parts lists the parts of a prompt in order.
type Parts []Part

// maxTokens bounds the tokens of one prompt, far above the memory of any engine; the list ends before a part that exceeds it.
const maxTokens = 1 << 30

// ParseParts parses a comma-separated list of "ID:TOKENS"; the list ends before the first malformed entry.
func ParseParts(text string) Parts {
	var parts Parts
	total := 0
	for _, field := range strings.Split(text, ",") {
		id, count, found := strings.Cut(strings.TrimSpace(field), ":")
		tokens, err := strconv.Atoi(count)
		if !found || err != nil || tokens < 0 || tokens > maxTokens-total {
			break
		}
		total += tokens
		parts = append(parts, Part{ID: id, Tokens: tokens})
	}
	return parts
}

// Shared returns the parts that are shared with other requests.
func (p Parts) Shared() Parts {
	return p[:max(0, len(p)-1)]
}

// SharedKey returns the ID of the last shared part, the tokens up to its end, and the tokens of the prompt.
func (p Parts) SharedKey() (key string, sharedTokens, tokens int) {
	for _, part := range p.Shared() {
		key, sharedTokens = part.ID, sharedTokens+part.Tokens
	}
	for _, part := range p {
		tokens += part.Tokens
	}
	return key, sharedTokens, tokens
}

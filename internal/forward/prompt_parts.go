package forward

import (
	"strconv"
	"strings"
)

// PromptPart is one part of a prompt; all parts but the last are shared with other requests.
type PromptPart struct {
	ID     string
	Tokens int
}

// PromptParts lists the parts of a prompt in order.
type PromptParts []PromptPart

// maxPromptTokens bounds the tokens of one prompt, far above the memory of any engine; the list ends before a part that exceeds it.
const maxPromptTokens = 1 << 30

// ParsePromptParts parses a comma-separated list of "ID:TOKENS"; the list ends before the first malformed entry.
func ParsePromptParts(text string) PromptParts {
	var parts PromptParts
	total := 0
	for _, field := range strings.Split(text, ",") {
		id, count, found := strings.Cut(strings.TrimSpace(field), ":")
		tokens, err := strconv.Atoi(count)
		if !found || err != nil || tokens < 0 || tokens > maxPromptTokens-total {
			break
		}
		total += tokens
		parts = append(parts, PromptPart{ID: id, Tokens: tokens})
	}
	return parts
}

// sharedKey returns the ID of the last part that is shared with other requests, the tokens up to its end, and the tokens of the prompt.
func (p PromptParts) sharedKey() (key string, sharedTokens, tokens int) {
	for index, part := range p {
		tokens += part.Tokens
		if index == len(p)-1 {
			break
		}
		key, sharedTokens = part.ID, tokens
	}
	return key, sharedTokens, tokens
}

package forward

import (
	"strconv"
	"strings"
)

// PromptPart is one part of a prompt, shared with other requests unless it is the last.
type PromptPart struct {
	ID     string
	Tokens int
}

// PromptParts are the parts of one prompt in order.
type PromptParts []PromptPart

// maxPromptTokens bounds the tokens of one prompt, far above any engine's memory; a part beyond it ends the list.
const maxPromptTokens = 1 << 30

// ParsePromptParts reads "ID:TOKENS" split by commas; what is not of that form ends the list.
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

// sharedKey returns the ID of the deepest part that other requests share, the tokens up to its end, and those of the whole.
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

package engine

import (
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	// bytesPerPromptToken is the number of bytes of prompt text per token.
	bytesPerPromptToken = 4
	// defaultMaxTokens is the maximum length of an answer if the request sets none.
	defaultMaxTokens = 64

	tokenLetters  = 5
	tokenAlphabet = "abcdefghijklmnopqrstuvwxyz234567"
)

// Answer is the only correct answer to a prompt. Token i depends on nothing but the
// prompt and i, so that answers that were resumed, cut or mixed up can be detected.
type Answer struct {
	seed uint64
	// Tokens is the length of the answer.
	Tokens int
	// FinishReason is "length" if the answer has maxTokens tokens, else "stop".
	FinishReason string
}

// AnswerTo returns the answer to a prompt; maxTokens <= 0 stands for the engine's default.
func AnswerTo(prompt string, maxTokens int) Answer {
	if maxTokens <= 0 {
		maxTokens = defaultMaxTokens
	}
	seed := xxhash.Sum64String(prompt)
	// Answers have between three quarters of maxTokens and maxTokens tokens.
	spread := maxTokens/4 + 1
	tokens := maxTokens - int(mix(seed)%uint64(spread))
	answer := Answer{seed: seed, Tokens: tokens, FinishReason: "stop"}
	if tokens == maxTokens {
		answer.FinishReason = "length"
	}
	return answer
}

// Text returns the tokens with indexes in [from, to).
func (a Answer) Text(from, to int) string {
	var text strings.Builder
	text.Grow((to - from) * (tokenLetters + 1))
	for index := from; index < to; index++ {
		a.writeToken(&text, index)
	}
	return text.String()
}

// FullText returns the full text.
func (a Answer) FullText() string { return a.Text(0, a.Tokens) }

func (a Answer) writeToken(text *strings.Builder, index int) {
	value := mix(a.seed + uint64(index)*0x9e3779b97f4a7c15)
	text.WriteByte(' ')
	for range tokenLetters {
		text.WriteByte(tokenAlphabet[value&31])
		value >>= 5
	}
}

// PromptTokens returns the number of tokens of a text.
func PromptTokens(text string) int {
	return (len(text) + bytesPerPromptToken - 1) / bytesPerPromptToken
}

// mix is the finalizer of SplitMix64.
func mix(value uint64) uint64 {
	value ^= value >> 30
	value *= 0xbf58476d1ce4e5b9
	value ^= value >> 27
	value *= 0x94d049bb133111eb
	return value ^ value>>31
}

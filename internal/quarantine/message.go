package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
	"io"
	"strings"

	"github.com/sloelift/sloelift/internal/prompt"
)

// Key identifies a message by a digest of what its attempts share.
type Key [16]byte

// String returns the key as it is logged: the first six bytes in hexadecimal.
func (k Key) String() string { return hex.EncodeToString(k[:6]) }

// Message is what all attempts of a message share, whoever sends them: callers that retry, a resumed stream, an item of
// a batch job. It excludes the headers of a single attempt: its ID, its tenant and, if there is a body, the prompt
// parts, which may include a part that is specific to the attempt.
type Message struct {
	Method string
	Host   string
	// Target is the path and query. The query is ignored if there is a body.
	Target string
	Body   []byte
	// PromptParts is the list of the prompt's parts. It is ignored if there is a body.
	PromptParts string
}

// Key returns the digest of the message.
func (m Message) Key() Key {
	target, parts := m.Target, m.PromptParts
	if len(m.Body) > 0 {
		target, _, _ = strings.Cut(target, "?")
		parts = ""
	}
	digest := sha256.New()
	for _, text := range []string{m.Method, strings.ToLower(m.Host), target, parts} {
		writeLength(digest, len(text))
		_, _ = io.WriteString(digest, text)
	}
	_, _ = digest.Write(m.Body)
	return Key(digest.Sum(nil)[:len(Key{})])
}

// partKeyDomain separates the keys of prompt parts from those of messages.
const partKeyDomain = "prompt part"

// PartKeys returns the keys of the shared parts of a prompt, in order. The last part belongs to one request alone.
func PartKeys(parts prompt.Parts) []Key {
	var keys []Key
	for _, part := range parts.Shared() {
		digest := sha256.New()
		for _, text := range []string{partKeyDomain, part.ID} {
			writeLength(digest, len(text))
			_, _ = io.WriteString(digest, text)
		}
		keys = append(keys, Key(digest.Sum(nil)[:len(Key{})]))
	}
	return keys
}

// writeLength separates the fields by their lengths, so that different fields cannot produce the same concatenation.
func writeLength(digest hash.Hash, length int) {
	var encoded [8]byte
	binary.BigEndian.PutUint64(encoded[:], uint64(length))
	_, _ = digest.Write(encoded[:])
}

package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
	"io"
)

// Key names a message: a digest of what its attempts share.
type Key [16]byte

// String returns the key as it stands in the log.
func (k Key) String() string { return hex.EncodeToString(k[:6]) }

// Message is what the attempts of one message share, whoever sends them: callers that try again, callers with the same prompt, a resumed
// stream, an item of a batch job. The id of a request is no part of it, nor is its tenant: the same prompt ends the same replicas.
type Message struct {
	Method string
	Host   string
	// Target is the path and query.
	Target string
	// PromptParts is the list of the prompt's parts as the caller sent it, which names all that the engine reads, the part of the request
	// itself too; empty where the caller names none.
	PromptParts string
	Body        []byte
}

// Key returns the digest of the message. Where the caller names its prompt, what else the body holds is no part of it.
func (m Message) Key() Key {
	digest := sha256.New()
	for _, text := range []string{m.Method, m.Host, m.Target, m.PromptParts} {
		writeLength(digest, len(text))
		_, _ = io.WriteString(digest, text)
	}
	if m.PromptParts == "" {
		_, _ = digest.Write(m.Body)
	}
	return Key(digest.Sum(nil)[:len(Key{})])
}

// writeLength keeps apart what would read alike when joined.
func writeLength(digest hash.Hash, length int) {
	var encoded [8]byte
	binary.BigEndian.PutUint64(encoded[:], uint64(length))
	_, _ = digest.Write(encoded[:])
}

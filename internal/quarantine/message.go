package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
	"io"
	"strings"
)

// Key names a message: a digest of what its attempts share.
type Key [16]byte

// String returns the key as it stands in the log.
func (k Key) String() string { return hex.EncodeToString(k[:6]) }

// Message is what the attempts of one message share, whoever sends them: callers that try again, a resumed stream, an item of a batch job.
// Headers of one attempt are no part of it: its id, its tenant, and beside a body the prompt parts, which may name one of the attempt's own.
type Message struct {
	Method string
	Host   string
	// Target is the path and query.
	Target string
	Body   []byte
	// PromptParts is the list of the prompt's parts. It counts where Body is empty, as the query does.
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

// writeLength keeps apart what would read alike when joined.
func writeLength(digest hash.Hash, length int) {
	var encoded [8]byte
	binary.BigEndian.PutUint64(encoded[:], uint64(length))
	_, _ = digest.Write(encoded[:])
}

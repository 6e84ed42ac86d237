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
// Headers of one attempt are no part of it: its id, its tenant, and the prompt parts, which may name one of the attempt's own.
type Message struct {
	Method string
	Host   string
	// Target is the path and query. The query counts where Content is empty.
	Target string
	// Content is what the engine makes its answer from: the body of a request.
	Content []byte
}

// Key returns the digest of the message.
func (m Message) Key() Key {
	target := m.Target
	if len(m.Content) > 0 {
		target, _, _ = strings.Cut(target, "?")
	}
	digest := sha256.New()
	for _, text := range []string{m.Method, strings.ToLower(m.Host), target} {
		writeLength(digest, len(text))
		_, _ = io.WriteString(digest, text)
	}
	_, _ = digest.Write(m.Content)
	return Key(digest.Sum(nil)[:len(Key{})])
}

// writeLength keeps apart what would read alike when joined.
func writeLength(digest hash.Hash, length int) {
	var encoded [8]byte
	binary.BigEndian.PutUint64(encoded[:], uint64(length))
	_, _ = digest.Write(encoded[:])
}

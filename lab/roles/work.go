package roles

import (
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"strings"
)

// work is the body of a request or item. The response depends on it and on the version of the replica alone, so that all replicas of one
// version produce the same one.
type work struct {
	// Events is the number of events of the stream.
	Events int `json:"events"`
	// Fail is the status with which every run fails after the time for its prompt, 0 if it succeeds.
	Fail int `json:"fail,omitempty"`
	// EndsReplicaAt is the number of the event at which every run crashes its replica, 0 for none.
	EndsReplicaAt int `json:"ends_replica_at,omitempty"`
	// Mark identifies the work and determines the data of its events.
	Mark string `json:"mark"`
	// Padding makes the body as long as real ones.
	Padding string `json:"padding,omitempty"`
}

func (w work) encode() []byte {
	encoded, err := json.Marshal(w)
	if err != nil {
		panic("encode work: " + err.Error())
	}
	return encoded
}

// event returns the data of an event as a replica of the given version writes it; numbers start at 1.
func (w work) event(version string, number int) string {
	hash := fnv.New64a()
	fmt.Fprint(hash, w.Mark, "/", version, "/", number)
	return hex.EncodeToString(binary.BigEndian.AppendUint64(nil, hash.Sum64()))
}

// versionOf returns which of the versions writes data as the event with the given number.
func (w work) versionOf(versions []string, number int, data string) (version string, found bool) {
	for _, candidate := range versions {
		if w.event(candidate, number) == data {
			return candidate, true
		}
	}
	return "", false
}

// text returns the data of all events joined by line feeds, which is also the text of a batch job's result.
func (w work) text(version string) string {
	var parts []string
	for number := 1; number <= w.Events; number++ {
		parts = append(parts, w.event(version, number))
	}
	return strings.Join(parts, "\n")
}

// textVersions returns the versions that wrote the lines of a text, in order and each once; whole is false if a line is of none of them or
// the number of lines is wrong.
func (w work) textVersions(versions []string, text string) (writers []string, whole bool) {
	lines := strings.Split(text, "\n")
	for index, line := range lines {
		version, found := w.versionOf(versions, index+1, line)
		if !found {
			return writers, false
		}
		if !slices.Contains(writers, version) {
			writers = append(writers, version)
		}
	}
	return writers, len(lines) == w.Events
}

func newID(random *rand.Rand) string { return fmt.Sprintf("%016x", random.Uint64()) }

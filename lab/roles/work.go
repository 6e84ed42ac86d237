package roles

import (
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"strings"
)

// work is the body of a request or item. The response depends on it alone, so that every replica produces the same one.
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

// event returns the data of an event; numbers start at 1.
func (w work) event(number int) string {
	hash := fnv.New64a()
	fmt.Fprint(hash, w.Mark, "/", number)
	return hex.EncodeToString(binary.BigEndian.AppendUint64(nil, hash.Sum64()))
}

// text returns the data of all events joined by line feeds, which is also the text of a batch job's result.
func (w work) text() string {
	var parts []string
	for number := 1; number <= w.Events; number++ {
		parts = append(parts, w.event(number))
	}
	return strings.Join(parts, "\n")
}

func newID(random *rand.Rand) string { return fmt.Sprintf("%016x", random.Uint64()) }

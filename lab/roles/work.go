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

// work is the body of a request or of an item: what a replica makes of it follows from it alone, so that each replica makes the same.
type work struct {
	// Events is the number of events of the stream.
	Events int `json:"events"`
	// Fail is the status that each run is answered with after its work; 0 where it is done.
	Fail int `json:"fail,omitempty"`
	// EndsReplicaAt is the number of the event at which each run ends its replica; 0 for none.
	EndsReplicaAt int    `json:"ends_replica_at,omitempty"`
	Mark          string `json:"mark"`
	// Padding makes the body as long as real ones.
	Padding string `json:"padding,omitempty"`
}

func (w work) encode() []byte {
	encoded, err := json.Marshal(w)
	if err != nil {
		panic("encode a body: " + err.Error())
	}
	return encoded
}

// event returns the data of the event with number, which is 1 or more.
func (w work) event(number int) string {
	hash := fnv.New64a()
	fmt.Fprint(hash, w.Mark, "/", number)
	return hex.EncodeToString(binary.BigEndian.AppendUint64(nil, hash.Sum64()))
}

// text is all data with line feeds between, as a batch job's result has it.
func (w work) text() string {
	var parts []string
	for number := 1; number <= w.Events; number++ {
		parts = append(parts, w.event(number))
	}
	return strings.Join(parts, "\n")
}

func newID(random *rand.Rand) string { return fmt.Sprintf("%016x", random.Uint64()) }

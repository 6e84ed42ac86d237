package engine

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// PrefixBlockBytes is the length in bytes of prompt text that one cache block
// covers. Engines hash prompt text in blocks, each hash chained to the one before.
const PrefixBlockBytes = 64

// PrefixBlocks returns the chained hashes of the full blocks of prompt for a
// model and adapter. Two prompts share a cached prefix of as many blocks as
// their results agree from the start.
func PrefixBlocks(model, adapter, prompt string) []uint64 {
	previous := xxhash.Sum64String(model + "\x00" + adapter)
	count := len(prompt) / PrefixBlockBytes
	blocks := make([]uint64, 0, count)
	var chained [8 + PrefixBlockBytes]byte
	for index := range count {
		binary.LittleEndian.PutUint64(chained[:8], previous)
		copy(chained[8:], prompt[index*PrefixBlockBytes:])
		previous = xxhash.Sum64(chained[:])
		blocks = append(blocks, previous)
	}
	return blocks
}

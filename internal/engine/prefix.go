package engine

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// PrefixBlockBytes is the number of bytes of prompt text in one cache block. Engines hash prompt
// text in blocks, each hash chained to the previous one.
const PrefixBlockBytes = 64

// PrefixBlocks returns the chained hashes of the full blocks of prompt for a model and adapter. The
// number of leading hashes that two prompts have in common is the length of their shared prefix in
// blocks.
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

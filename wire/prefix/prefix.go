// Package prefix hashes prompts into chains of blocks, so that instances and engines name equal prompt
// prefixes alike.
package prefix

import (
	"encoding/binary"
	"encoding/json"

	"github.com/cespare/xxhash/v2"
)

// BlockBytes is the length of a prompt block in bytes. A shorter rest at the end is no block.
const BlockBytes = 64

// MaxBlocks bounds the blocks of one prompt that are hashed.
const MaxBlocks = 1024

// hashMask keeps hashes exact in JSON numbers.
const hashMask = 1<<53 - 1

// Blocks returns the chained hashes of prompt's whole blocks for model, given as name@version. Hash i
// stands for the prompt up to and including block i; prompts for different models share none.
func Blocks(model string, prompt []byte) []uint64 {
	n := min(len(prompt)/BlockBytes, MaxBlocks)
	hashes := make([]uint64, 0, n)
	h := xxhash.Sum64String(model)
	var link [8 + BlockBytes]byte
	for i := range n {
		binary.LittleEndian.PutUint64(link[:], h)
		copy(link[8:], prompt[i*BlockBytes:])
		h = xxhash.Sum64(link[:])
		hashes = append(hashes, h&hashMask)
	}
	return hashes
}

// Prompt returns the text of a stage's input that an engine caches by prefix: its member prompt if the
// input is an object with such a string, else the whole input.
func Prompt(input []byte) []byte {
	var in struct {
		Prompt *string `json:"prompt"`
	}
	if err := json.Unmarshal(input, &in); err == nil && in.Prompt != nil {
		return []byte(*in.Prompt)
	}
	return input
}

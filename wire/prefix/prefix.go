// Package prefix hashes the blocks of a prompt. Instances and engines compute the same hashes for the same prompt, so
// that an instance can tell which prompt prefixes an engine has cached.
package prefix

import (
	"encoding/binary"
	"encoding/json"

	"github.com/cespare/xxhash/v2"
)

// BlockBytes is the length of a prompt block in bytes. A shorter remainder at the end of a prompt isn't hashed.
const BlockBytes = 64

// MaxBlocks is the largest number of blocks of one prompt that are hashed.
const MaxBlocks = 1024

// hashMask limits hashes to 53 bits, which a JSON number represents exactly.
const hashMask = 1<<53 - 1

// Blocks returns the hashes of the prompt's complete blocks for a model, given as name@version. Each hash includes the
// previous one: hash i identifies the model and the prompt up to and including block i.
func Blocks(model string, prompt []byte) []uint64 {
	n := min(len(prompt)/BlockBytes, MaxBlocks)
	hashes := make([]uint64, 0, n)
	h := xxhash.Sum64String(model)
	var buf [8 + BlockBytes]byte
	for i := range n {
		binary.LittleEndian.PutUint64(buf[:], h)
		copy(buf[8:], prompt[i*BlockBytes:])
		h = xxhash.Sum64(buf[:])
		hashes = append(hashes, h&hashMask)
	}
	return hashes
}

// Prompt returns the part of a stage's input that an engine caches by prefix: the string "prompt" if the input is a
// JSON object with that member, otherwise the whole input.
func Prompt(input []byte) []byte {
	var in struct {
		Prompt *string `json:"prompt"`
	}
	if err := json.Unmarshal(input, &in); err == nil && in.Prompt != nil {
		return []byte(*in.Prompt)
	}
	return input
}

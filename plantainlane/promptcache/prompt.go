package promptcache

import "github.com/cespare/xxhash/v2"

const (
	// maxParts bounds the parts of a prompt that are told apart. The further ones count as one part.
	maxParts = 32
	// MinSharedTokens is the total size of a prompt's shared parts from which the prompt is placed by a shared part. Below
	// this size it is placed by its last part, which belongs to one request or session.
	MinSharedTokens = 64
	// maxPartTokens bounds the size of a part, which callers state. Larger ones count as this, which no engine has room for.
	maxPartTokens = 1 << 30
)

// Part is a part of a prompt that requests may share.
type Part struct {
	ID     string
	Tokens int
}

// Prompt is a prompt as a sequence of prefixes. It is immutable.
type Prompt struct {
	prefixes []prefix
	// tokens is the size of the whole prompt.
	tokens int
}

// prefix is the beginning of a prompt up to the end of one of its parts.
type prefix struct {
	// hash identifies the parts up to this one, in order, without their sizes.
	hash uint64
	// tokens is the size of the last part of the prefix.
	tokens int
}

// NewPrompt returns a prompt of the given parts. It returns nil if its size is 0 or not known.
func NewPrompt(parts []Part) *Prompt {
	p := &Prompt{prefixes: make([]prefix, 0, min(len(parts), maxParts))}
	hash := uint64(0)
	for i := range parts {
		tokens := min(max(parts[i].Tokens, 0), maxPartTokens)
		p.tokens += tokens
		hash = mix(hash, xxhash.Sum64String(parts[i].ID))
		if i < maxParts {
			p.prefixes = append(p.prefixes, prefix{hash, tokens})
			continue
		}
		last := &p.prefixes[maxParts-1]
		last.hash, last.tokens = hash, last.tokens+tokens
	}
	if p.tokens == 0 {
		return nil
	}
	return p
}

// lastShared returns the index of the last part that other requests may share; -1 if the shared parts are smaller than
// MinSharedTokens.
func (p *Prompt) lastShared() int {
	last := len(p.prefixes) - 2
	if last < 0 || p.tokens-p.prefixes[last+1].tokens < MinSharedTokens {
		return -1
	}
	return last
}

// mix returns a hash of two hashes by the finalizer of SplitMix64, which takes a nanosecond.
func mix(a, b uint64) uint64 {
	x := a*0x9e3779b97f4a7c15 + b
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

package engine

import "github.com/cockroachdb/errors"

// MaxResumes bounds the resumptions of one attempt on its engine.
const MaxResumes = 3

// ErrGap reports a token that is not the next one of its stream, or an end before the last token.
var ErrGap = errors.New("engine: token is missing from the stream")

// Progress is how far a stream has come at its reader.
type Progress struct {
	text []byte
	next int
}

// Next is the offset of the next token.
func (p *Progress) Next() int { return p.next }

// Text is that of the tokens so far.
func (p *Progress) Text() string { return string(p.text) }

// Add adds a token and reports whether it is new. It returns ErrGap for one that is not the next; a token taken
// before is not new.
func (p *Progress) Add(offset int, text string) (bool, error) {
	switch {
	case offset < p.next:
		return false, nil
	case offset > p.next:
		return false, errors.Wrapf(ErrGap, "token %d in place of %d", offset, p.next)
	}
	p.next++
	p.text = append(p.text, text...)
	return true, nil
}

// CheckEnd checks the number of tokens that the end of a stream names. It returns ErrGap for any but those taken.
func (p *Progress) CheckEnd(tokens int) error {
	if tokens != p.next {
		return errors.Wrapf(ErrGap, "%d of %d tokens", p.next, tokens)
	}
	return nil
}

// Clone returns a copy that goes on by itself.
func (p *Progress) Clone() Progress {
	return Progress{text: append([]byte(nil), p.text...), next: p.next}
}

// Recovery says how a broken stream goes on.
type Recovery int

const (
	// Regenerate has another engine compute the tokens so far and go on.
	Regenerate Recovery = iota
	// Resume goes on from the last token on the same engine.
	Resume
	// Import has another engine import the KV cache and go on; where it can't be had, Regenerate.
	Import
)

// Interruption is a stream that broke.
type Interruption struct {
	// Reachable says that the engine may still hold the attempt: the stream has brought tokens since it was last
	// resumed.
	Reachable bool
	// Leaving says that the engine takes no new work.
	Leaving bool
	// Resumed counts the resumptions of this attempt.
	Resumed int
}

// ChooseRecovery decides how a broken stream goes on.
func ChooseRecovery(b Interruption) Recovery {
	switch {
	case !b.Reachable:
		return Regenerate
	case b.Leaving || b.Resumed >= MaxResumes:
		return Import
	}
	return Resume
}

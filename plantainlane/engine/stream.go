package engine

import "github.com/cockroachdb/errors"

// MaxResumes bounds how often one attempt is resumed on its engine.
const MaxResumes = 3

// ErrGap reports a token that isn't the next one of its stream, or an end of the stream that names another number of
// tokens than the number received.
var ErrGap = errors.New("engine: stream has a missing or unexpected token")

// Progress is the part of a stream of tokens that was received so far. The zero value is an empty stream. It isn't
// safe for concurrent use.
type Progress struct {
	// text is the text of the tokens received, next their number.
	text []byte
	next int
}

// Next returns the offset of the next token, which is the number of tokens received.
func (p *Progress) Next() int { return p.next }

// Text returns the text of the tokens received.
func (p *Progress) Text() string { return string(p.text) }

// Add appends the token at an offset and reports whether it is new. A token that was received before isn't new and is
// ignored. Add returns ErrGap for a token beyond the next one.
func (p *Progress) Add(offset int, text string) (bool, error) {
	switch {
	case offset < p.next:
		return false, nil
	case offset > p.next:
		return false, errors.Wrapf(ErrGap, "received token %d, expected token %d", offset, p.next)
	}
	p.next++
	p.text = append(p.text, text...)
	return true, nil
}

// CheckEnd returns ErrGap unless tokens, the number that the end of the stream names, is the number received.
func (p *Progress) CheckEnd(tokens int) error {
	if tokens != p.next {
		return errors.Wrapf(ErrGap, "stream ended after %d of %d tokens", p.next, tokens)
	}
	return nil
}

// Clone returns an independent copy.
func (p *Progress) Clone() Progress {
	return Progress{text: append([]byte(nil), p.text...), next: p.next}
}

// Recovery is the way in which an interrupted stream continues.
type Recovery int

const (
	// Regenerate continues on another engine, which first recomputes the KV cache of the prompt and of the tokens so
	// far.
	Regenerate Recovery = iota
	// Resume continues after the last token on the same engine.
	Resume
	// Import continues on another engine, which imports the KV cache. If the KV cache can't be exported, Regenerate
	// applies.
	Import
)

// Interruption describes an interrupted stream.
type Interruption struct {
	// Reachable is set if the engine may still hold the attempt: the stream has received tokens since it was last
	// resumed, or hasn't been resumed.
	Reachable bool
	// Leaving is set if the engine accepts no new work.
	Leaving bool
	// Resumed is how often this attempt has been resumed.
	Resumed int
}

// ChooseRecovery returns how an interrupted stream continues. An unreachable engine can't export its KV cache. An
// engine that is leaving, or on which the attempt was resumed MaxResumes times, exports it to another engine.
func ChooseRecovery(i Interruption) Recovery {
	switch {
	case !i.Reachable:
		return Regenerate
	case i.Leaving || i.Resumed >= MaxResumes:
		return Import
	}
	return Resume
}

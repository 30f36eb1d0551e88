package engine

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"plantainlane/standin/chain"
	"plantainlane/wire"
)

// Errors of calls to an engine.
var (
	ErrUnknownAttempt = errors.New("engine: unknown attempt")
	ErrOffset         = errors.New("engine: offset is outside the generated tokens")
	ErrBusy           = errors.New("engine: queue is full")
	ErrModel          = errors.New("engine: model is not loaded or engine is leaving")
	ErrEnded          = errors.New("engine: attempt was cancelled, exported or dropped")
)

// Call is a request to generate tokens.
type Call struct {
	// Attempt is the ID of the attempt.
	Attempt string
	// Model is the model as name@version.
	Model string
	// Blocks are the hashes of the prompt's blocks.
	Blocks []uint64
	// Digest determines the generated text, see chain.Token.
	Digest string
	// Priority is 0 to 9.
	Priority int
	// Tokens is the length of the whole answer in tokens, with those before Offset.
	Tokens int
	// Offset is the offset of the first token to generate. It is more than 0 if the call continues a stream that
	// another attempt started.
	Offset int
	// ExtraBlocks is the length of the text before Offset in blocks, which prefill computes after the prompt.
	ExtraBlocks int
	// Imported is set if the KV cache up to Offset has been imported, so that no prefill is needed.
	Imported bool
}

// attempt is a sequence of the engine. It waits in the queue, runs in the batch, is detached for lack of a reader, has
// generated all of its tokens, or is ended. Engine.mu guards its fields.
type attempt struct {
	Call
	arrived time.Time
	// cached is the number of prompt blocks that were in the prefix cache when the attempt started.
	cached int
	// prefill is the number of blocks still to compute.
	prefill int
	// prefilled is set once the prompt is computed and in the prefix cache.
	prefilled bool
	// generated is the number of generated tokens of the whole stream, with those before Offset.
	generated int
	// running is set while the attempt is in the batch.
	running bool
	// started is set once the attempt has entered the batch for the first time.
	started bool
	// ended is set once the attempt has been cancelled, exported or dropped.
	ended bool
	// readers is the number of open streams of the attempt.
	readers int
	// unreadSince is the time at which the last reader left. It is valid if readers is 0.
	unreadSince time.Time
	// changed is closed and replaced by notify, so that readers can wait for the next change.
	changed chan struct{}
}

// done reports whether all tokens are generated.
func (a *attempt) done() bool { return a.generated >= a.Tokens }

// notify wakes the readers, which check the attempt's fields again.
func (a *attempt) notify() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// token returns the token at an offset, which must have been generated.
func (a *attempt) token(offset int) wire.Token {
	return wire.Token{Offset: offset, Text: chain.Token(a.Digest, offset)}
}

// Stream reads the tokens of an attempt. Its methods are for one goroutine.
type Stream struct {
	engine     *Engine
	attempt    *attempt
	nextOffset int // Offset of the token that Next returns next.
	closed     bool
}

// Cached returns the number of prompt blocks that were in the prefix cache. It returns 0 until the attempt starts.
func (s *Stream) Cached() int {
	s.engine.mu.Lock()
	defer s.engine.mu.Unlock()
	return s.attempt.cached
}

// Next waits for the next token. It reports false after the last one, and returns ErrEnded for an attempt that
// was cancelled, exported or dropped, or the error of ctx.
func (s *Stream) Next(ctx context.Context) (wire.Token, bool, error) {
	for {
		s.engine.mu.Lock()
		a := s.attempt
		changed := a.changed
		available, done, ended := s.nextOffset < a.generated, a.done(), a.ended
		s.engine.mu.Unlock()
		switch {
		case available:
			t := a.token(s.nextOffset)
			s.nextOffset++
			return t, true, nil
		case done:
			return wire.Token{}, false, nil
		case ended:
			return wire.Token{}, false, ErrEnded
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return wire.Token{}, false, ctx.Err()
		}
	}
}

// End returns the data of the end event, which follows the last token.
func (s *Stream) End() wire.StreamEnd {
	return wire.StreamEnd{Tokens: s.attempt.Tokens, CostUnits: s.Cost()}
}

// Cost returns the cost units of the attempt so far.
func (s *Stream) Cost() float64 {
	s.engine.mu.Lock()
	defer s.engine.mu.Unlock()
	return s.attempt.cost()
}

// cost returns the attempt's cost units so far, for the prompt blocks that are neither in the prefix cache nor still
// to be computed, and for the tokens generated from Offset on.
func (a *attempt) cost() float64 {
	computed := len(a.Blocks) - a.cached - a.prefill
	return blockUnits*float64(max(computed, 0)) + tokenUnits*float64(a.generated-a.Offset)
}

// Close stops reading the stream. If this was the attempt's last reader, the attempt can be resumed for
// Config.ResumeWindow. Further calls do nothing.
func (s *Stream) Close() {
	s.engine.mu.Lock()
	defer s.engine.mu.Unlock()
	if s.closed {
		return
	}
	s.closed = true
	s.attempt.readers--
	if s.attempt.readers == 0 {
		s.attempt.unreadSince = time.Now()
		s.engine.wakeUp()
	}
}

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
	ErrOffset         = errors.New("engine: offset not yet generated")
	ErrBusy           = errors.New("engine: queue is full")
	ErrModel          = errors.New("engine: model not loaded")
	ErrEnded          = errors.New("engine: attempt was ended")
)

// Call asks an engine to generate.
type Call struct {
	// Attempt identifies the call.
	Attempt string
	// Model as name@version.
	Model string
	// Blocks are the hashes of the prompt.
	Blocks []uint64
	// Digest determines the text.
	Digest string
	// Priority is 0 to 9.
	Priority int
	// Tokens is the length of the whole answer.
	Tokens int
	// Offset is that of the first token wanted, in a stream that another attempt began.
	Offset int
	// ExtraBlocks is the length of the text before Offset in blocks.
	ExtraBlocks int
	// Imported says that KV cache up to Offset has been imported.
	Imported bool
}

// attempt is a sequence on the engine, waiting, running, held or ended.
type attempt struct {
	Call
	arrived time.Time
	// cached is the number of prompt blocks found in the prefix cache.
	cached int
	// prefill is the number of blocks still to compute.
	prefill   int
	prefilled bool
	// generated is the number of tokens of the whole stream that exist.
	generated int
	running   bool
	started   bool
	ended     bool
	readers   int
	// unread is since when there is no reader.
	unread  time.Time
	changed chan struct{}
}

func (a *attempt) done() bool { return a.generated >= a.Tokens }

// notify wakes the readers.
func (a *attempt) notify() {
	close(a.changed)
	a.changed = make(chan struct{})
}

func (a *attempt) token(offset int) wire.Token {
	return wire.Token{Offset: offset, Text: chain.Token(a.Digest, offset)}
}

// Stream reads the tokens of an attempt. Its methods are for one goroutine.
type Stream struct {
	engine  *Engine
	attempt *attempt
	next    int
	closed  bool
}

// Cached returns how many prompt blocks were found in the prefix cache. It is 0 before the sequence has started.
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
		available, done, ended := s.next < a.generated, a.done(), a.ended
		s.engine.mu.Unlock()
		switch {
		case available:
			t := a.token(s.next)
			s.next++
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

// End returns the event that closes the whole stream.
func (s *Stream) End() wire.StreamEnd {
	return wire.StreamEnd{Tokens: s.attempt.Tokens, CostUnits: s.Cost()}
}

// Cost returns the cost units of the attempt so far.
func (s *Stream) Cost() float64 {
	s.engine.mu.Lock()
	defer s.engine.mu.Unlock()
	return s.attempt.cost()
}

func (a *attempt) cost() float64 {
	computed := len(a.Blocks) - a.cached - a.prefill
	return blockUnits*float64(max(computed, 0)) + tokenUnits*float64(a.generated-a.Offset)
}

// Close leaves the stream. An attempt without a reader can be resumed for a while.
func (s *Stream) Close() {
	s.engine.mu.Lock()
	defer s.engine.mu.Unlock()
	if s.closed {
		return
	}
	s.closed = true
	s.attempt.readers--
	if s.attempt.readers == 0 {
		s.attempt.unread = time.Now()
		s.engine.wakeUp()
	}
}

package pipeline

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"plantainlane/plantainlane/engine"
	"plantainlane/plantainlane/route"
	"plantainlane/plantainlane/upstream"
	"plantainlane/wire"
)

const (
	// exportTimeout bounds the export of a KV cache; computing it anew takes no longer than a few of these.
	exportTimeout = 250 * time.Millisecond
	// cancelTimeout bounds the word to an engine that an attempt is over.
	cancelTimeout = time.Second
	// engineSilence is how long a stream from an engine may be silent at most; it sends a comment each 500 ms.
	engineSilence = 1500 * time.Millisecond
	// resumeHaste divides the time that a resumption may be silent: its engine has the next token at hand.
	resumeHaste = 2
	// resumePause is the time between a break and a second or later resumption.
	resumePause = 100 * time.Millisecond
)

// Engines is what stages use of model engines beside calls.
type Engines interface {
	// Declared returns a model as name@version, at the declared version if it names none.
	Declared(model string) string
	// Hints names engines that hold the beginning of an input in their prefix cache.
	Hints(model string, input []byte) []route.Hint
	// Sent notes that an engine was sent an input.
	Sent(id, model string, input []byte)
	// Leaving reports whether an engine takes no new work.
	Leaving(id string) bool
	// Cancel ends an attempt on an engine.
	Cancel(ctx context.Context, address, attempt string) error
	// Export stops an attempt and has its KV cache kept for another engine.
	Export(ctx context.Context, address, attempt string) (*wire.KVHandle, error)
}

// query describes the next attempt of a stage to the balancer. A stream that has begun stays with its model
// version while any engine serves that.
func (x *execution) query(s *stageRun) route.Query {
	q := route.Query{Service: s.stage.Service, Avoid: s.tried}
	if !s.stage.UsesModel {
		return q
	}
	q.Model = x.Model
	if s.progress.Next() > 0 {
		q.Model = s.model
	}
	if x.Engines != nil && q.Model != "" {
		q.Hints = x.Engines.Hints(x.Engines.Declared(q.Model), s.body)
	}
	return q
}

// aim fits a call to the upstream that was chosen: the version it serves, and the tokens that there are already.
// It returns ErrNoUpstream if the caller has tokens and the upstream can't go on from them.
func (x *execution) aim(s *stageRun, a *attempt) error {
	if a.target.Role == "" || x.Engines == nil {
		if s.progress.Next() > 0 && x.OnToken != nil {
			return errors.Wrap(ErrNoUpstream, "none can continue the stream")
		}
		return nil
	}
	a.progress, a.tokenAt = s.progress.Clone(), s.tokenAt
	if s.stage.Streams && (a.call.SilentAfter == 0 || a.call.SilentAfter > engineSilence) {
		a.call.SilentAfter = engineSilence
	}
	if a.call.Model != "" {
		a.call.Model = versionOn(a.target.Models, a.call.Model, x.Engines.Declared(a.call.Model))
		x.Engines.Sent(a.target.ID, a.call.Model, s.body)
	}
	if s.progress.Next() == 0 {
		return nil
	}
	kv := s.kv
	if kv != nil && kv.Model != a.call.Model {
		kv = nil
	}
	body, err := json.Marshal(wire.Continuation{
		Input: s.body, Offset: s.progress.Next(), Text: s.progress.Text(), Import: kv,
	})
	a.call.Body, a.call.Continued, a.call.Offset = body, true, s.progress.Next()
	return errors.Wrap(err, "encode continuation")
}

// versionOn returns the version of a model that an upstream serves: the declared one if it does.
func versionOn(models []string, wanted, declared string) string {
	if strings.Contains(wanted, "@") {
		return wanted
	}
	if slices.Contains(models, declared) {
		return declared
	}
	for _, m := range models {
		if name, _, _ := strings.Cut(m, "@"); name == wanted {
			return m
		}
	}
	return declared
}

// stream runs a streamed call, and resumes it on its engine after a break. Tokens go to the caller as they come,
// each once, or are collected as a whole answer.
func (x *execution) stream(ctx context.Context, a *attempt) (upstream.Answer, error) {
	begun := a.progress.Next()
	defer func() { a.tokens = a.progress.Next() - begun }()
	call := a.call
	for resumed := 0; ; resumed++ {
		before := a.progress.Next()
		end, err := x.Caller.Stream(ctx, call, func(t upstream.Token) error { return x.takeToken(a, t) })
		if err == nil {
			err = a.progress.End(end.Tokens)
		}
		if err == nil {
			return collected(&a.progress, end)
		}
		if resumed > 0 && errors.Is(err, upstream.ErrNotRun) {
			// Only the resumption did not run.
			err = errors.Wrapf(upstream.ErrTruncated, "not resumed: %v", err)
			return upstream.Answer{}, err
		}
		if !isBreak(ctx, err) || a.target.Role == "" || x.Engines == nil || a.progress.Next() == 0 {
			return upstream.Answer{}, err
		}
		move := engine.ChooseRecovery(engine.Interruption{
			Reachable: resumed == 0 || a.progress.Next() > before,
			Leaving:   x.Engines.Leaving(a.target.ID), Resumed: resumed,
		})
		if move != engine.Resume {
			a.export = move == engine.Import
			return upstream.Answer{}, err
		}
		x.record("streamResumed", call.Attempt, a.target.ID, kindOf(err))
		call.Offset, call.Continued = a.progress.Next(), false
		call.SilentAfter = a.call.SilentAfter / resumeHaste
		if resumed > 0 && !pause(ctx, resumePause) {
			return upstream.Answer{}, context.Cause(ctx)
		}
	}
}

func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// isBreak reports whether a stream ended before its time for a reason that its engine may not know of.
func isBreak(ctx context.Context, err error) bool {
	return ctx.Err() == nil && (errors.Is(err, upstream.ErrTruncated) || errors.Is(err, upstream.ErrSilent) ||
		errors.Is(err, engine.ErrGap))
}

func (x *execution) takeToken(a *attempt, t upstream.Token) error {
	fresh, err := a.progress.Take(t.Offset, t.Text)
	if err != nil || !fresh {
		return err
	}
	a.observeToken(x.Started)
	if x.OnToken == nil {
		return nil
	}
	return x.OnToken(t.Offset, t.Text)
}

// observeToken notes the wait for a token that just came.
func (a *attempt) observeToken(started time.Time) {
	now := time.Now()
	switch {
	case !a.tokenAt.IsZero():
		a.times.Gaps = append(a.times.Gaps, now.Sub(a.tokenAt))
	case a.progress.Next() == 1:
		a.times.First = now.Sub(started)
	}
	a.tokenAt = now
}

func collected(p *engine.Progress, end upstream.End) (upstream.Answer, error) {
	out, err := json.Marshal(streamOutput{Text: p.Text(), Tokens: p.Next()})
	return upstream.Answer{Output: out, Cost: end.CostUnits, Reported: true}, err
}

// abandon ends a failed attempt on its engine. A stream that can go on elsewhere has its KV cache exported if the
// engine still answers; any other is cancelled, so that the engine is free at once.
func (x *execution) abandon(ctx context.Context, s *stageRun, a *attempt) {
	if a.target.Role == "" || x.Engines == nil || errors.Is(a.err, upstream.ErrNotRun) {
		return
	}
	if a.export {
		ctx, cancel := context.WithTimeout(ctx, exportTimeout)
		defer cancel()
		if kv, err := x.Engines.Export(ctx, a.target.Address, a.call.Attempt); err == nil {
			a.kv = kv
			x.record("kvExported", a.call.Attempt, a.target.ID, s.stage.Name)
			return
		}
	}
	go func() {
		ctx, cancel := context.WithTimeout(x.Background, cancelTimeout)
		defer cancel()
		if x.Engines.Cancel(ctx, a.target.Address, a.call.Attempt) == nil {
			x.record("attemptCancelled", a.call.Attempt, a.target.ID, s.stage.Name)
		}
	}()
}

// keep notes how far the longest failed attempt of a stage came.
func (s *stageRun) keep(a *attempt) {
	if a.progress.Next() > s.progress.Next() {
		s.progress, s.model, s.kv, s.tokenAt = a.progress, a.call.Model, a.kv, a.tokenAt
	}
	s.onEngine = a.target.Role != ""
}

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
	// exportTimeout bounds the export of a KV cache. It is short because the next attempt waits for the export, and
	// recomputing the cache takes no longer than a few times this timeout.
	exportTimeout = 250 * time.Millisecond
	// cancelTimeout bounds the call that cancels an attempt on an engine.
	cancelTimeout = time.Second
	// maxEngineSilence is the longest time a stream from an engine may receive no data. An engine sends at least a
	// comment every 500 ms.
	maxEngineSilence = 1500 * time.Millisecond
	// resumeSilenceDivisor divides the silence timeout of a resumed stream. The timeout can be shorter because the
	// engine already holds the next token.
	resumeSilenceDivisor = 2
	// resumeDelay is the delay before the second and each later resumption of a stream. The first resumption has no
	// delay.
	resumeDelay = 100 * time.Millisecond
)

// Engines gives access to the functions of model engines that are not calls of a stage.
type Engines interface {
	// Declared returns a model as name@version. A model without a version gets the declared version.
	Declared(model string) string
	// Hints returns the engines that are expected to hold the beginning of an input in their prefix cache.
	Hints(model string, input []byte) []route.Hint
	// Sent records that an input is sent to an engine, so that Hints can expect it in the engine's prefix cache.
	Sent(id, model string, input []byte)
	// Leaving reports whether an engine accepts no new work.
	Leaving(id string) bool
	// Cancel cancels an attempt on an engine.
	Cancel(ctx context.Context, address, attempt string) error
	// Export stops an attempt and makes its KV cache available for import by another engine.
	Export(ctx context.Context, address, attempt string) (*wire.KVHandle, error)
}

// query returns the balancer's query for the next attempt of a stage. A stream that already has tokens keeps its model
// version; prepare falls back to the requested model if no upstream serves that version.
func (x *execution) query(s *stageRun) route.Query {
	q := route.Query{Service: s.stage.Service, Avoid: s.tried}
	if !s.stage.UsesModel {
		return q
	}
	q.Model = x.Model
	if s.progress.Next() > 0 {
		q.Model = s.streamModel
	}
	if x.Engines != nil && q.Model != "" {
		q.Hints = x.Engines.Hints(x.Engines.Declared(q.Model), s.body)
	}
	return q
}

// adaptCall adapts the call of an attempt to a chosen engine: it sets the model version that the engine serves and, if
// the stream already has tokens, sends a continuation that starts after them. Other upstreams get the call unchanged.
// It returns an error that wraps ErrNoUpstream if the caller already has tokens and the chosen upstream is no engine,
// since only engines can continue a stream.
func (x *execution) adaptCall(s *stageRun, a *attempt) error {
	if a.target.Role == "" || x.Engines == nil {
		if s.progress.Next() > 0 && x.OnToken != nil {
			return errors.Wrapf(ErrNoUpstream, "stage %q: stream was interrupted after %d tokens and no engine can continue it",
				s.stage.Name, s.progress.Next())
		}
		return nil
	}
	a.progress, a.lastTokenAt = s.progress.Clone(), s.lastTokenAt
	if s.stage.Streams && (a.call.SilentAfter == 0 || a.call.SilentAfter > maxEngineSilence) {
		a.call.SilentAfter = maxEngineSilence
	}
	if a.call.Model != "" {
		a.call.Model = servedVersion(a.target.Models, a.call.Model, x.Engines.Declared(a.call.Model))
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
	return errors.Wrapf(err, "stage %q: encode continuation at token %d", s.stage.Name, s.progress.Next())
}

// servedVersion returns the model as name@version to request from an upstream that serves the given versions. A model
// that names a version stays as it is. Otherwise the result is the declared version if the upstream serves that
// version, else another version that the upstream serves, else the declared version.
func servedVersion(served []string, model, declared string) string {
	if strings.Contains(model, "@") {
		return model
	}
	if slices.Contains(served, declared) {
		return declared
	}
	for _, m := range served {
		if name, _, _ := strings.Cut(m, "@"); name == model {
			return m
		}
	}
	return declared
}

// stream runs a streamed call and resumes the stream on the same engine after an interruption. Each token is passed to
// the caller exactly once as it is received; the answer holds all tokens of the stream.
func (x *execution) stream(ctx context.Context, a *attempt) (upstream.Answer, error) {
	firstOffset := a.progress.Next()
	defer func() { a.tokens = a.progress.Next() - firstOffset }()
	call := a.call
	for resumed := 0; ; resumed++ {
		previousNext := a.progress.Next()
		end, err := x.Client.Stream(ctx, call, func(t upstream.Token) error { return x.handleToken(a, t) })
		if err == nil {
			err = a.progress.CheckEnd(end.Tokens)
		}
		if err == nil {
			return collectedAnswer(&a.progress, end)
		}
		if resumed > 0 && errors.Is(err, upstream.ErrNotRun) {
			// Only the resumption did not run: the attempt itself ran, so the error must not be ErrNotRun.
			err = errors.Wrapf(upstream.ErrTruncated, "stream not resumed at token %d: %v", call.Offset, err)
			return upstream.Answer{}, err
		}
		if !isInterruption(ctx, err) || a.target.Role == "" || x.Engines == nil || a.progress.Next() == 0 {
			return upstream.Answer{}, err
		}
		// The engine counts as reachable unless a resumption received no new token.
		recovery := engine.ChooseRecovery(engine.Interruption{
			Reachable: resumed == 0 || a.progress.Next() > previousNext,
			Leaving:   x.Engines.Leaving(a.target.ID), Resumed: resumed,
		})
		if recovery != engine.Resume {
			a.exportKV = recovery == engine.Import
			return upstream.Answer{}, err
		}
		x.record("streamResumed", call.Attempt, a.target.ID, errorKind(err))
		call.Offset, call.Continued = a.progress.Next(), false
		call.SilentAfter = a.call.SilentAfter / resumeSilenceDivisor
		if resumed > 0 && !sleep(ctx, resumeDelay) {
			return upstream.Answer{}, context.Cause(ctx)
		}
	}
}

// sleep waits for d. It returns false as soon as ctx ends.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// isInterruption reports whether a stream ended early because of its connection, so that the engine may still be
// generating and the stream can be resumed there.
func isInterruption(ctx context.Context, err error) bool {
	return ctx.Err() == nil && (errors.Is(err, upstream.ErrTruncated) || errors.Is(err, upstream.ErrSilent) ||
		errors.Is(err, engine.ErrGap))
}

// handleToken records a received token and passes it to the caller. Tokens received before are ignored.
func (x *execution) handleToken(a *attempt, t upstream.Token) error {
	isNew, err := a.progress.Add(t.Offset, t.Text)
	if err != nil || !isNew {
		return err
	}
	a.observeToken(x.Started)
	if x.OnToken == nil {
		return nil
	}
	return x.OnToken(t.Offset, t.Text)
}

// observeToken records the wait time of the token that was just received: since the previous token, or since the start
// of the request for the first token of a stream.
func (a *attempt) observeToken(started time.Time) {
	now := time.Now()
	switch {
	case !a.lastTokenAt.IsZero():
		a.streamTimes.Gaps = append(a.streamTimes.Gaps, now.Sub(a.lastTokenAt))
	case a.progress.Next() == 1:
		a.streamTimes.First = now.Sub(started)
	}
	a.lastTokenAt = now
}

// collectedAnswer returns the answer of a stream that ended: the text, the number of tokens and the reported cost.
func collectedAnswer(p *engine.Progress, end upstream.End) (upstream.Answer, error) {
	out, err := json.Marshal(streamOutput{Text: p.Text(), Tokens: p.Next()})
	return upstream.Answer{Output: out, Cost: end.CostUnits, Reported: true}, err
}

// stopOnEngine stops a failed attempt on its engine, if the attempt may have run. If exportKV is set, it exports the KV
// cache for the next attempt. Otherwise, or if the export fails, it cancels the attempt in the background, so that the
// engine stops generating tokens that nobody reads.
func (x *execution) stopOnEngine(ctx context.Context, s *stageRun, a *attempt) {
	if a.target.Role == "" || x.Engines == nil || errors.Is(a.err, upstream.ErrNotRun) {
		return
	}
	if a.exportKV {
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

// recordProgress stores the state of a failed attempt in the stage if the attempt received more tokens than any before
// it, so that the next attempt can continue from there.
func (s *stageRun) recordProgress(a *attempt) {
	if a.progress.Next() > s.progress.Next() {
		s.progress, s.streamModel, s.kv, s.lastTokenAt = a.progress, a.call.Model, a.kv, a.lastTokenAt
	}
	s.failedOnEngine = a.target.Role != ""
}

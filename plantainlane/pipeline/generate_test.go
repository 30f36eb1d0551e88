package pipeline

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"plantainlane/plantainlane/engine"
	"plantainlane/plantainlane/metric"
	"plantainlane/plantainlane/route"
	"plantainlane/plantainlane/upstream"
	chain "plantainlane/standin/chain"
	fake "plantainlane/standin/engine"
	"plantainlane/wire"
)

const answerTokens = 40

// engineWorld is fake engines behind connections that break.
type engineWorld struct {
	*world
	engines map[string]*fake.Engine
	// breakAfter returns after how many tokens a call breaks and how; no break for a nil error.
	breakAfter func(call upstream.Call) (int, error)
	// dead engines can't be reached.
	dead map[string]bool
	// frozen engines take connections and bring nothing.
	frozen map[string]bool
	// leaving engines take no new work.
	leaving map[string]bool
	// mute loses words to engines that an attempt is over.
	mute bool
}

func newEngineWorld(ctx context.Context) *engineWorld {
	w := &engineWorld{
		world: newWorld(), engines: map[string]*fake.Engine{}, dead: map[string]bool{},
		frozen: map[string]bool{}, leaving: map[string]bool{},
		breakAfter: func(upstream.Call) (int, error) { return 0, nil },
	}
	for i := range 3 {
		cfg := fake.DefaultConfig(fmt.Sprint("u", i))
		cfg.Models = []string{"m@1"}
		e := fake.New(cfg, nil)
		w.engines[cfg.ID] = e
		go e.Run(ctx)
	}
	return w
}

// announce gives an instance an announcement of an engine, and the engine the announced model.
func (w *engineWorld) announce(ctx context.Context, e *entry, id string, sequence int, model string) {
	w.engines[id].Order(ctx, wire.Order{
		ID: fmt.Sprint(sequence), Upstream: id, Kind: "load", Model: model, Adapters: []string{}, Incarnation: 1,
		ExpiresMs: int(time.Now().Add(time.Hour).UnixMilli()),
	})
	time.Sleep(3 * time.Second)
	e.Services.Apply(time.Now().Add(-time.Hour), wire.Announcement{
		ID: id, Address: id, Service: "s", Region: "r", Zone: "z", Capacity: 8, Incarnation: 1, Sequence: sequence,
		Role: "both", Models: []string{model},
	})
}

// open starts, resumes or continues a stream on the called engine.
func (w *engineWorld) open(call upstream.Call) (*fake.Stream, error) {
	e := w.engines[call.Address]
	if call.Offset > 0 && !call.Continued {
		return e.Resume(call.Attempt, call.Offset)
	}
	in := fake.Call{Attempt: call.Attempt, Model: call.Model, Digest: "00112233", Tokens: answerTokens}
	if !call.Continued {
		return e.Generate(in)
	}
	var c wire.Continuation
	if err := json.Unmarshal(call.Body, &c); err != nil {
		return nil, err
	}
	if c.Text != chain.Text(in.Digest, c.Offset) {
		panic("continuation of another text")
	}
	if c.Import != nil {
		_, in.Imported = w.engines[c.Import.Address].Exported(c.Import.Export)
	}
	in.Offset = c.Offset
	return e.Generate(in)
}

func (w *engineWorld) Stream(ctx context.Context, call upstream.Call, token func(upstream.Token) error) (upstream.End, error) {
	if w.dead[call.Address] {
		return upstream.End{}, errors.Wrap(upstream.ErrNotRun, "connection refused")
	}
	if w.frozen[call.Address] {
		if err := sleepOr(ctx, call.SilentAfter); err != nil {
			return upstream.End{}, err
		}
		return upstream.End{}, errors.Wrap(upstream.ErrSilent, "test")
	}
	s, err := w.open(call)
	if err != nil {
		return upstream.End{}, &upstream.StatusError{Status: 404}
	}
	defer s.Close()
	limit, broken := w.breakAfter(call)
	for n := 0; ; n++ {
		if broken != nil && n == limit {
			return upstream.End{}, errors.Wrap(broken, "test")
		}
		t, more, err := s.Next(ctx)
		switch {
		case errors.Is(err, fake.ErrEnded):
			return upstream.End{}, errors.Wrap(upstream.ErrTruncated, "ended")
		case err != nil:
			return upstream.End{}, err
		case !more:
			end := s.End()
			return upstream.End{Tokens: end.Tokens, CostUnits: end.CostUnits}, nil
		}
		if err := token(upstream.Token{Offset: t.Offset, Text: t.Text}); err != nil {
			return upstream.End{}, err
		}
	}
}

func (w *engineWorld) Declared(model string) string { return model + "@1" }

func (w *engineWorld) Hints(string, []byte) []route.Hint { return nil }

func (w *engineWorld) Sent(string, string, []byte) {}

func (w *engineWorld) Leaving(id string) bool { return w.leaving[id] }

func (w *engineWorld) Cancel(_ context.Context, address, attempt string) error {
	if w.mute || w.dead[address] {
		return errors.New("lost")
	}
	w.engines[address].Cancel(attempt)
	return nil
}

func (w *engineWorld) Export(_ context.Context, address, attempt string) (*wire.KVHandle, error) {
	if w.dead[address] {
		return nil, errors.New("lost")
	}
	h, err := w.engines[address].Export(attempt, address)
	return &h, err
}

// sum adds up the ledgers of all engines.
func (w *engineWorld) sum() fake.Ledger {
	var all fake.Ledger
	for _, e := range w.engines {
		l := e.Ledger()
		all.Executions += l.Executions
		all.Continued += l.Continued
		all.Imported += l.Imported
		all.Resumed += l.Resumed
		all.Cancelled += l.Cancelled
	}
	return all
}

// inEngineWorld runs f beside an instance that knows the engines.
func inEngineWorld(t *testing.T, f func(is *is.I, ctx context.Context, w *engineWorld, e *entry)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		w := newEngineWorld(ctx)
		policy := hedged
		policy.HedgeQuantile, policy.MaxAttempts, policy.RetryBudget = 0, 4, 1
		e := w.newEntry(t, "a", 0, policy)
		for id := range w.engines {
			w.announce(ctx, e, id, 1, "m@1")
		}
		e.Services.Review(time.Now())
		e.Caller, e.Engines = w, w
		f(is.New(t), ctx, w, e)
		e.kill()
		cancel()
		synctest.Wait()
	})
}

var speak = pipelineOf(wire.Stage{Name: "speak", Idempotent: true, Streams: true, UsesModel: true})

// reader collects what a caller gets.
type reader struct {
	text string
	next int
}

func (r *reader) request(is *is.I) *Request {
	req := newRequest(speak, "", 30*time.Second)
	req.Model = "m"
	req.OnToken = func(offset int, text string) error {
		is.Equal(offset, r.next) // no token doubled, none missing
		r.next++
		r.text += text
		return nil
	}
	return req
}

func TestBrokenStreamResumesOnItsEngine(t *testing.T) {
	for _, kind := range []error{upstream.ErrTruncated, upstream.ErrSilent} {
		inEngineWorld(t, func(is *is.I, ctx context.Context, w *engineWorld, e *entry) {
			breaks := 0
			w.breakAfter = func(upstream.Call) (int, error) {
				if breaks++; breaks > engine.MaxResumes {
					return 0, nil
				}
				return 5, kind
			}
			var r reader
			answer, err := e.Run(ctx, r.request(is))
			is.NoErr(err)
			is.Equal(r.text, chain.Text("00112233", answerTokens))
			is.Equal(w.sum().Executions, 1)
			is.Equal(w.sum().Resumed, engine.MaxResumes)
			is.Equal(answer.Cost[0].Attempts, 1)
		})
	}
}

// waits records what is observed of streams.
type waits struct {
	metric.StreamTimes
	streams int
}

func (*waits) Observe(metric.Stage, time.Duration, bool) {}

func (w *waits) ObserveStream(_ metric.Stage, t metric.StreamTimes) {
	w.streams++
	w.First = max(w.First, t.First)
	w.Gaps = append(w.Gaps, t.Gaps...)
}

func TestStreamOfADeadEngineIsRegenerated(t *testing.T) {
	inEngineWorld(t, func(is *is.I, ctx context.Context, w *engineWorld, e *entry) {
		w.breakAfter = func(call upstream.Call) (int, error) {
			if len(w.dead) > 0 {
				return 0, nil
			}
			w.dead[call.Address] = true
			return 7, upstream.ErrTruncated
		}
		var r reader
		seen := &waits{}
		e.Observer = seen
		answer, err := e.Run(ctx, r.request(is))
		is.NoErr(err)
		is.Equal(r.text, chain.Text("00112233", answerTokens))
		is.Equal(w.sum().Continued, 1)
		is.Equal(seen.streams, 2)
		is.Equal(seen.First, 20*time.Millisecond)
		is.Equal(len(seen.Gaps), answerTokens-1) // the move is one of the caller's gaps
		is.Equal(answer.Cost[0].Attempts, 2)
		is.True(answer.Cost[0].WastedUnits > 0)
	})
}

func TestStreamOfAFrozenEngineMovesAfterOneResumption(t *testing.T) {
	inEngineWorld(t, func(is *is.I, ctx context.Context, w *engineWorld, e *entry) {
		w.breakAfter = func(call upstream.Call) (int, error) {
			if len(w.frozen) > 0 {
				return 0, nil
			}
			w.frozen[call.Address] = true
			return 7, upstream.ErrSilent
		}
		var r reader
		seen := &waits{}
		e.Observer = seen
		_, err := e.Run(ctx, r.request(is))
		is.NoErr(err)
		is.Equal(r.text, chain.Text("00112233", answerTokens))
		silent := time.Duration(hedged.SilentAfterMs) * time.Millisecond
		longest := slices.Max(seen.Gaps)
		is.True(longest > silent/2 && longest < silent) // one resumption, at half the patience
	})
}

func TestStreamGoesOnAtAnotherVersionIfItsOwnIsGone(t *testing.T) {
	inEngineWorld(t, func(is *is.I, ctx context.Context, w *engineWorld, e *entry) {
		w.breakAfter = func(call upstream.Call) (int, error) {
			if len(w.dead) > 0 {
				is.Equal(call.Model, "m@2")
				return 0, nil
			}
			is.Equal(call.Model, "m@1")
			w.dead[call.Address] = true
			for id := range w.engines {
				w.announce(ctx, e, id, 2, "m@2")
			}
			return 7, upstream.ErrTruncated
		}
		var r reader
		_, err := e.Run(ctx, r.request(is))
		is.NoErr(err)
		is.Equal(r.text, chain.Text("00112233", answerTokens))
	})
}

func TestStreamOfALeavingEngineMovesWithItsCache(t *testing.T) {
	inEngineWorld(t, func(is *is.I, ctx context.Context, w *engineWorld, e *entry) {
		w.breakAfter = func(call upstream.Call) (int, error) {
			if len(w.leaving) > 0 {
				return 0, nil
			}
			w.leaving[call.Address] = true
			return 7, upstream.ErrTruncated
		}
		var r reader
		_, err := e.Run(ctx, r.request(is))
		is.NoErr(err)
		is.Equal(r.text, chain.Text("00112233", answerTokens))
		is.Equal(w.sum().Imported, 1)
	})
}

func TestNoTokenDoubledOrMissingWhateverBreaks(t *testing.T) {
	whole := 0
	for seed := range uint64(30) {
		inEngineWorld(t, func(is *is.I, ctx context.Context, w *engineWorld, e *entry) {
			random := rand.New(rand.NewPCG(seed, 5))
			w.breakAfter = func(call upstream.Call) (int, error) {
				switch random.IntN(6) {
				case 0:
					if len(w.dead) == 0 {
						w.dead[call.Address] = true
					}
				case 1:
					w.leaving[call.Address] = true
				case 2, 3:
					return 0, nil
				}
				return random.IntN(12), upstream.ErrTruncated
			}
			for i := range 10 {
				var r reader
				req := r.request(is)
				collect := i%2 == 0
				if collect {
					req.OnToken = nil
				}
				answer, err := e.Run(ctx, req)
				text := chain.Text("00112233", answerTokens)
				switch {
				case err == nil && collect:
					whole++
					is.Equal(string(*answer.Output), fmt.Sprintf(`{"text":%q,"tokens":%d}`, text, answerTokens))
				case err == nil:
					whole++
					is.Equal(r.text, text)
				default:
					is.True(strings.HasPrefix(text, r.text)) // given up, with nothing wrong before
				}
			}
		})
	}
	t.Logf("%d of 300 streams came whole", whole)
	if whole < 150 {
		t.Error("most streams were given up")
	}
}

func TestCallerThatLeavesFreesTheEngineWithinASecond(t *testing.T) {
	for _, mute := range []bool{false, true} {
		inEngineWorld(t, func(is *is.I, ctx context.Context, w *engineWorld, e *entry) {
			w.mute = mute
			var r reader
			callerCtx, leave := context.WithCancel(ctx)
			time.AfterFunc(200*time.Millisecond, leave)
			_, err := e.Run(callerCtx, r.request(is))
			is.True(errors.Is(err, ErrCancelled))
			time.Sleep(time.Second)
			for _, x := range w.engines {
				is.True(!x.Busy())
			}
			if !mute {
				is.Equal(w.sum().Cancelled, 1) // the engine keeps nothing to resume
			}
		})
	}
}

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

// answerTokens is the number of tokens of each stream.
const answerTokens = 40

// engineCluster is a cluster with three fake engines behind connections that can be interrupted.
type engineCluster struct {
	*cluster
	// engines holds the engines by ID, which is also their address.
	engines map[string]*fake.Engine
	// interruptAfter returns the number of tokens after which a call is interrupted and the error it fails with. A nil
	// error means no interruption.
	interruptAfter func(call upstream.Call) (int, error)
	// unreachable engines refuse connections.
	unreachable map[string]bool
	// frozen engines accept connections and send nothing.
	frozen map[string]bool
	// leaving engines accept no new work.
	leaving map[string]bool
	// loseCancels is set if calls that cancel an attempt on an engine are lost.
	loseCancels bool
}

func newEngineCluster(ctx context.Context) *engineCluster {
	cl := &engineCluster{
		cluster: newCluster(), engines: map[string]*fake.Engine{}, unreachable: map[string]bool{},
		frozen: map[string]bool{}, leaving: map[string]bool{},
		interruptAfter: func(upstream.Call) (int, error) { return 0, nil },
	}
	for i := range 3 {
		cfg := fake.DefaultConfig(fmt.Sprint("u", i))
		cfg.Models = []string{"m@1"}
		eng := fake.New(cfg, nil)
		cl.engines[cfg.ID] = eng
		go eng.Run(ctx)
	}
	return cl
}

// announce loads a model on an engine and announces the engine with that model to an instance.
func (cl *engineCluster) announce(ctx context.Context, inst *instance, id string, sequence int, model string) {
	cl.engines[id].Order(ctx, wire.Order{
		ID: fmt.Sprint(sequence), Upstream: id, Kind: "load", Model: model, Adapters: []string{}, Incarnation: 1,
		ExpiresMs: int(time.Now().Add(time.Hour).UnixMilli()),
	})
	time.Sleep(3 * time.Second)
	inst.Services.Apply(time.Now().Add(-time.Hour), wire.Announcement{
		ID: id, Address: id, Service: "s", Region: "r", Zone: "z", Capacity: 8, Incarnation: 1, Sequence: sequence,
		Role: "both", Models: []string{model},
	})
}

// open starts, resumes or continues a stream on the called engine.
func (cl *engineCluster) open(call upstream.Call) (*fake.Stream, error) {
	eng := cl.engines[call.Address]
	if call.Offset > 0 && !call.Continued {
		return eng.Resume(call.Attempt, call.Offset)
	}
	in := fake.Call{Attempt: call.Attempt, Model: call.Model, Digest: "00112233", Tokens: answerTokens}
	if !call.Continued {
		return eng.Generate(in)
	}
	var c wire.Continuation
	if err := json.Unmarshal(call.Body, &c); err != nil {
		return nil, err
	}
	if c.Text != chain.Text(in.Digest, c.Offset) {
		panic("continuation does not match the text generated so far")
	}
	if c.Import != nil {
		_, in.Imported = cl.engines[c.Import.Address].Exported(c.Import.Export)
	}
	in.Offset = c.Offset
	return eng.Generate(in)
}

func (cl *engineCluster) Stream(ctx context.Context, call upstream.Call, token func(upstream.Token) error) (upstream.End, error) {
	if cl.unreachable[call.Address] {
		return upstream.End{}, errors.Wrap(upstream.ErrNotRun, "connection refused")
	}
	if cl.frozen[call.Address] {
		if err := sleepContext(ctx, call.SilentAfter); err != nil {
			return upstream.End{}, err
		}
		return upstream.End{}, errors.Wrap(upstream.ErrSilent, "test")
	}
	s, err := cl.open(call)
	if err != nil {
		return upstream.End{}, &upstream.StatusError{Status: 404}
	}
	defer s.Close()
	limit, interruption := cl.interruptAfter(call)
	for n := 0; ; n++ {
		if interruption != nil && n == limit {
			return upstream.End{}, errors.Wrap(interruption, "test")
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

func (cl *engineCluster) Declared(model string) string { return model + "@1" }

func (cl *engineCluster) Hints(string, []byte) []route.Hint { return nil }

func (cl *engineCluster) Sent(string, string, []byte) {}

func (cl *engineCluster) Leaving(id string) bool { return cl.leaving[id] }

func (cl *engineCluster) Cancel(_ context.Context, address, attempt string) error {
	if cl.loseCancels || cl.unreachable[address] {
		return errors.New("lost")
	}
	cl.engines[address].Cancel(attempt)
	return nil
}

func (cl *engineCluster) Export(_ context.Context, address, attempt string) (*wire.KVHandle, error) {
	if cl.unreachable[address] {
		return nil, errors.New("lost")
	}
	h, err := cl.engines[address].Export(attempt, address)
	return &h, err
}

// totalLedger adds up the ledgers of all engines.
func (cl *engineCluster) totalLedger() fake.Ledger {
	var all fake.Ledger
	for _, eng := range cl.engines {
		l := eng.Ledger()
		all.Executions += l.Executions
		all.Continued += l.Continued
		all.Imported += l.Imported
		all.Resumed += l.Resumed
		all.Cancelled += l.Cancelled
	}
	return all
}

// runWithEngines runs f in simulated time with an instance that knows three engines, all with model m@1.
func runWithEngines(t *testing.T, f func(is *is.I, ctx context.Context, cl *engineCluster, inst *instance)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		cl := newEngineCluster(ctx)
		policy := hedgePolicy
		policy.HedgeQuantile, policy.MaxAttempts, policy.RetryBudget = 0, 4, 1
		inst := cl.newInstance(t, "a", 0, policy)
		for id := range cl.engines {
			cl.announce(ctx, inst, id, 1, "m@1")
		}
		inst.Services.Review(time.Now())
		inst.Client, inst.Engines = cl, cl
		f(is.New(t), ctx, cl, inst)
		inst.kill()
		cancel()
		synctest.Wait()
	})
}

// speak streams the output of a model.
var speak = pipelineOf(wire.Stage{Name: "speak", Idempotent: true, Streams: true, UsesModel: true})

// callerStream collects the tokens that a caller receives.
type callerStream struct {
	text string
	// next is the offset of the next expected token.
	next int
}

// request returns a request whose tokens are collected. It checks that no token is repeated or missing.
func (r *callerStream) request(is *is.I) *Request {
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

// TestInterruptedStreamResumesOnItsEngine guards against generating a stream again, at its full cost, when only the
// connection was lost and the engine still holds the attempt.
func TestInterruptedStreamResumesOnItsEngine(t *testing.T) {
	for _, kind := range []error{upstream.ErrTruncated, upstream.ErrSilent} {
		runWithEngines(t, func(is *is.I, ctx context.Context, cl *engineCluster, inst *instance) {
			interruptions := 0
			cl.interruptAfter = func(upstream.Call) (int, error) {
				if interruptions++; interruptions > engine.MaxResumes {
					return 0, nil
				}
				return 5, kind
			}
			var r callerStream
			answer, err := inst.Run(ctx, r.request(is))
			is.NoErr(err)
			is.Equal(r.text, chain.Text("00112233", answerTokens))
			is.Equal(cl.totalLedger().Executions, 1)
			is.Equal(cl.totalLedger().Resumed, engine.MaxResumes)
			is.Equal(answer.Cost[0].Attempts, 1)
		})
	}
}

// observedStreams is an Observer that merges the times of all streams.
type observedStreams struct {
	metric.StreamTimes
	streams int
}

func (*observedStreams) Observe(metric.Stage, time.Duration, bool) {}

func (o *observedStreams) ObserveStream(_ metric.Stage, t metric.StreamTimes) {
	o.streams++
	o.First = max(o.First, t.First)
	o.Gaps = append(o.Gaps, t.Gaps...)
}

// TestStreamOfUnreachableEngineIsRegenerated guards against a stream that fails or starts over when its engine can't be
// reached any more: another engine continues it after the tokens that the caller has.
func TestStreamOfUnreachableEngineIsRegenerated(t *testing.T) {
	runWithEngines(t, func(is *is.I, ctx context.Context, cl *engineCluster, inst *instance) {
		cl.interruptAfter = func(call upstream.Call) (int, error) {
			if len(cl.unreachable) > 0 {
				return 0, nil
			}
			cl.unreachable[call.Address] = true
			return 7, upstream.ErrTruncated
		}
		var r callerStream
		observed := &observedStreams{}
		inst.Observer = observed
		answer, err := inst.Run(ctx, r.request(is))
		is.NoErr(err)
		is.Equal(r.text, chain.Text("00112233", answerTokens))
		is.Equal(cl.totalLedger().Continued, 1)
		is.Equal(observed.streams, 2)
		is.Equal(observed.First, 20*time.Millisecond)
		is.Equal(len(observed.Gaps), answerTokens-1) // the time to continue on another engine counts as a gap
		is.Equal(answer.Cost[0].Attempts, 2)
		is.True(answer.Cost[0].WastedUnits > 0)
	})
}

// TestStreamOfFrozenEngineMovesAfterOneResume guards against a caller that waits for several silence timeouts: the
// engine accepts the connection but sends nothing, so the stream is resumed once and then continued on another engine.
func TestStreamOfFrozenEngineMovesAfterOneResume(t *testing.T) {
	runWithEngines(t, func(is *is.I, ctx context.Context, cl *engineCluster, inst *instance) {
		cl.interruptAfter = func(call upstream.Call) (int, error) {
			if len(cl.frozen) > 0 {
				return 0, nil
			}
			cl.frozen[call.Address] = true
			return 7, upstream.ErrSilent
		}
		var r callerStream
		observed := &observedStreams{}
		inst.Observer = observed
		_, err := inst.Run(ctx, r.request(is))
		is.NoErr(err)
		is.Equal(r.text, chain.Text("00112233", answerTokens))
		silent := time.Duration(hedgePolicy.SilentAfterMs) * time.Millisecond
		longest := slices.Max(observed.Gaps)
		is.True(longest > silent/2 && longest < silent) // one resumption, with half the silence timeout
	})
}

// TestStreamContinuesOnAnotherModelVersion guards against a stream that fails because a deployment replaced its model
// version on all engines after the stream started.
func TestStreamContinuesOnAnotherModelVersion(t *testing.T) {
	runWithEngines(t, func(is *is.I, ctx context.Context, cl *engineCluster, inst *instance) {
		cl.interruptAfter = func(call upstream.Call) (int, error) {
			if len(cl.unreachable) > 0 {
				is.Equal(call.Model, "m@2")
				return 0, nil
			}
			is.Equal(call.Model, "m@1")
			cl.unreachable[call.Address] = true
			for id := range cl.engines {
				cl.announce(ctx, inst, id, 2, "m@2")
			}
			return 7, upstream.ErrTruncated
		}
		var r callerStream
		_, err := inst.Run(ctx, r.request(is))
		is.NoErr(err)
		is.Equal(r.text, chain.Text("00112233", answerTokens))
	})
}

// TestStreamOfLeavingEngineMovesWithItsKVCache guards against recomputing the KV cache of a stream whose engine leaves
// but can still export the cache.
func TestStreamOfLeavingEngineMovesWithItsKVCache(t *testing.T) {
	runWithEngines(t, func(is *is.I, ctx context.Context, cl *engineCluster, inst *instance) {
		cl.interruptAfter = func(call upstream.Call) (int, error) {
			if len(cl.leaving) > 0 {
				return 0, nil
			}
			cl.leaving[call.Address] = true
			return 7, upstream.ErrTruncated
		}
		var r callerStream
		_, err := inst.Run(ctx, r.request(is))
		is.NoErr(err)
		is.Equal(r.text, chain.Text("00112233", answerTokens))
		is.Equal(cl.totalLedger().Imported, 1)
	})
}

// TestStreamHasEachTokenOnceAfterInterruptions interrupts streams at random, with engines that become unreachable or
// leave. It guards against a caller that receives a token twice or misses one when a stream is resumed, continued or
// regenerated.
func TestStreamHasEachTokenOnceAfterInterruptions(t *testing.T) {
	complete := 0
	for seed := range uint64(30) {
		runWithEngines(t, func(is *is.I, ctx context.Context, cl *engineCluster, inst *instance) {
			random := rand.New(rand.NewPCG(seed, 5))
			cl.interruptAfter = func(call upstream.Call) (int, error) {
				switch random.IntN(6) {
				case 0:
					if len(cl.unreachable) == 0 {
						cl.unreachable[call.Address] = true
					}
				case 1:
					cl.leaving[call.Address] = true
				case 2, 3:
					return 0, nil
				}
				return random.IntN(12), upstream.ErrTruncated
			}
			for i := range 10 {
				var r callerStream
				req := r.request(is)
				collect := i%2 == 0
				if collect {
					req.OnToken = nil
				}
				answer, err := inst.Run(ctx, req)
				text := chain.Text("00112233", answerTokens)
				switch {
				case err == nil && collect:
					complete++
					is.Equal(string(*answer.Output), fmt.Sprintf(`{"text":%q,"tokens":%d}`, text, answerTokens))
				case err == nil:
					complete++
					is.Equal(r.text, text)
				default:
					is.True(strings.HasPrefix(text, r.text)) // failed, but all tokens received before are right
				}
			}
		})
	}
	t.Logf("%d of 300 streams were complete", complete)
	if complete < 150 {
		t.Error("fewer than half of the 300 streams were complete")
	}
}

// TestCallerThatLeavesFreesTheEngineWithinASecond guards against an engine that generates tokens for a caller that
// disconnected. If the call that cancels the attempt is lost, the engine must stop by itself.
func TestCallerThatLeavesFreesTheEngineWithinASecond(t *testing.T) {
	for _, loseCancels := range []bool{false, true} {
		runWithEngines(t, func(is *is.I, ctx context.Context, cl *engineCluster, inst *instance) {
			cl.loseCancels = loseCancels
			var r callerStream
			callerCtx, disconnect := context.WithCancel(ctx)
			time.AfterFunc(200*time.Millisecond, disconnect)
			_, err := inst.Run(callerCtx, r.request(is))
			is.True(errors.Is(err, ErrCancelled))
			time.Sleep(time.Second)
			for _, eng := range cl.engines {
				is.True(!eng.Busy())
			}
			if !loseCancels {
				is.Equal(cl.totalLedger().Cancelled, 1) // the engine keeps nothing to resume
			}
		})
	}
}

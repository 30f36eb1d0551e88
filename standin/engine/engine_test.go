package engine

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"plantainlane/standin/chain"
	"plantainlane/wire"
)

// testConfig returns a configuration with a small batch and prefix cache.
func testConfig() Config {
	cfg := DefaultConfig("e1")
	cfg.BatchLimit, cfg.CacheBlocks = 2, 8
	return cfg
}

// withEngine runs f with a running engine on a fake clock.
func withEngine(t *testing.T, cfg Config, weights WeightSource, f func(*is.I, context.Context, *Engine)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		e := New(cfg, weights)
		go e.Run(ctx)
		f(is.New(t), ctx, e)
		cancel()
		synctest.Wait()
	})
}

// promptBlocks returns n consecutive block hashes.
func promptBlocks(first, n int) []uint64 {
	blocks := make([]uint64, n)
	for i := range blocks {
		blocks[i] = uint64(first + i)
	}
	return blocks
}

// readTokens reads count tokens, or all of them if count is 0. It returns their text, the time to the first token and
// the time to the last one.
func readTokens(is *is.I, ctx context.Context, s *Stream, count int) (text string, first, total time.Duration) {
	startedAt := time.Now()
	for i := 0; count == 0 || i < count; i++ {
		token, more, err := s.Next(ctx)
		is.NoErr(err)
		if !more {
			break
		}
		if i == 0 {
			first = time.Since(startedAt)
		}
		text += token.Text
	}
	return text, first, time.Since(startedAt)
}

// A repeated prompt is served from the prefix cache: the first token comes without the time to compute the prompt, and
// with the same text. A full cache evicts the last blocks of the least recently used prompt first.
func TestCachedPromptBlocksAreNotComputedAgain(t *testing.T) {
	withEngine(t, testConfig(), nil, func(is *is.I, ctx context.Context, e *Engine) {
		call := Call{Attempt: "a1", Digest: "00112233", Blocks: promptBlocks(1, 6), Tokens: 3}
		s, err := e.Generate(call)
		is.NoErr(err)
		text, cold, _ := readTokens(is, ctx, s, 0)
		is.Equal(text, chain.Text("00112233", 3))
		is.Equal(cold, 20*time.Millisecond+6*4*time.Millisecond)
		s.Close()

		call.Attempt = "a2"
		s, err = e.Generate(call)
		is.NoErr(err)
		_, warm, _ := readTokens(is, ctx, s, 0)
		is.Equal(warm, 20*time.Millisecond)
		is.Equal(s.Cached(), 6)
		s.Close()

		// The new prompt needs three more blocks than are free, so the last three blocks of the other are evicted.
		call.Attempt, call.Blocks = "a3", promptBlocks(100, 5)
		s, err = e.Generate(call)
		is.NoErr(err)
		readTokens(is, ctx, s, 0)
		s.Close()
		is.Equal(e.cache.cachedPrefix(promptBlocks(1, 6)), 3)
	})
}

// Sequences of higher priority enter the batch first. Under a steady load of such sequences one of low priority
// would wait forever; aging raises its priority until it runs.
func TestHigherPriorityRunsFirstWithoutStarvation(t *testing.T) {
	cfg := testConfig()
	cfg.BatchLimit = 1
	withEngine(t, cfg, nil, func(is *is.I, ctx context.Context, e *Engine) {
		finished := make(chan string, 64)
		start := func(id string, priority int) {
			s, err := e.Generate(Call{Attempt: id, Digest: "00112233", Priority: priority, Tokens: 5})
			is.NoErr(err)
			go func() {
				defer s.Close()
				readTokens(is, ctx, s, 0)
				finished <- id
			}()
		}
		start("running", 0)
		synctest.Wait()
		start("low", 0)
		start("flow", 9)
		start("flow", 9)
		is.Equal(<-finished, "running")
		// New sequences of higher priority fill the whole batch, yet the sequence of low priority runs in the end.
		startedAt := time.Now()
		finishedFlows := 0
		for <-finished != "low" {
			finishedFlows++
			start("flow", 9)
		}
		is.True(finishedFlows > 10)
		is.True(time.Since(startedAt) < 9*cfg.AgingInterval+time.Second)
		for range 2 {
			<-finished
		}
	})
}

// A caller that disconnects must not keep a slot in the batch: its sequence leaves the batch within a second. The
// attempt can be resumed until ResumeWindow is over, and is unknown after a cancellation or after ResumeWindow.
func TestUnreadAttemptLeavesTheBatchAndCanBeResumed(t *testing.T) {
	withEngine(t, testConfig(), nil, func(is *is.I, ctx context.Context, e *Engine) {
		s, err := e.Generate(Call{Attempt: "a1", Digest: "00112233", Tokens: 1000})
		is.NoErr(err)
		readTokens(is, ctx, s, 3)
		s.Close()
		time.Sleep(time.Second)
		is.True(!e.Busy())
		generated := e.Ledger().Tokens

		// Within ResumeWindow the attempt is resumed from its offset. No token is lost or generated twice.
		s, err = e.Resume("a1", 3)
		is.NoErr(err)
		text, _, _ := readTokens(is, ctx, s, 10)
		is.Equal(chain.Text("00112233", 3)+text, chain.Text("00112233", 13))
		is.True(e.Ledger().Tokens <= max(generated, 13)+1)

		e.Cancel("a1")
		is.True(!e.Busy())
		_, _, err = s.Next(ctx)
		for err == nil {
			_, _, err = s.Next(ctx)
		}
		is.True(errors.Is(err, ErrEnded))
		_, err = e.Resume("a1", 3)
		is.True(errors.Is(err, ErrUnknownAttempt))

		s, err = e.Generate(Call{Attempt: "a2", Digest: "00112233", Tokens: 1000})
		is.NoErr(err)
		s.Close()
		time.Sleep(testConfig().ResumeWindow + time.Second)
		_, err = e.Resume("a2", 0)
		is.True(errors.Is(err, ErrUnknownAttempt)) // ResumeWindow is over
	})
}

// An exported KV cache lets another engine continue the stream without computing the prompt. The exporting engine stops
// the attempt, and a KV cache of another prompt is rejected.
func TestImportedKVCacheSkipsThePrefill(t *testing.T) {
	withEngine(t, testConfig(), nil, func(is *is.I, ctx context.Context, e *Engine) {
		call := Call{Attempt: "a1", Model: "m@1", Digest: "00112233", Blocks: promptBlocks(1, 6), Tokens: 50}
		s, err := e.Generate(call)
		is.NoErr(err)
		readTokens(is, ctx, s, 10)
		handle, err := e.Export("a1", "127.0.0.1:1")
		is.NoErr(err)
		is.True(!e.Busy()) // the export has ended the attempt
		data, ok := e.Exported(handle.Export)
		is.True(ok)
		call.Attempt, call.Offset = "a2", 10
		is.NoErr(checkKVCache(data, call))
		other := call
		other.Digest = "another"
		is.True(errors.Is(checkKVCache(data, other), ErrKVMismatch))

		target := New(testConfig(), nil)
		go target.Run(ctx)
		call.Imported = true
		s, err = target.Generate(call)
		is.NoErr(err)
		text, first, _ := readTokens(is, ctx, s, 0)
		is.Equal(first, 20*time.Millisecond)
		is.Equal(chain.Text("00112233", 10)+text, chain.Text("00112233", 50))
	})
}

// Cache events are published EventDelay after the change, in batches of consecutive sequence numbers with gaps for lost
// events.
func TestCacheEventsAreDelayedAndHaveGaps(t *testing.T) {
	cfg := testConfig()
	cfg.EventDelay, cfg.EventLoss, cfg.BatchLimit, cfg.CacheBlocks = time.Second, 0.3, 8, 1000
	withEngine(t, cfg, nil, func(is *is.I, ctx context.Context, e *Engine) {
		for i := range 40 {
			s, err := e.Generate(Call{
				Attempt: string(rune('a' + i)), Digest: "00112233", Blocks: promptBlocks(100*i, 2), Tokens: 1,
			})
			is.NoErr(err)
			readTokens(is, ctx, s, 0)
			s.Close()
		}
		last := e.CacheBlocks().Sequence
		time.Sleep(cfg.EventDelay - 10*time.Millisecond)
		published, next := 0, 1
		gaps := 0
		count := func(batches []wire.CacheEvents) {
			for _, batch := range batches {
				if batch.FirstSequence != next {
					gaps++
				}
				next = batch.FirstSequence + len(batch.Events)
				published += len(batch.Events)
			}
		}
		count(e.DueEvents())
		is.True(next <= last) // the latest event isn't due yet
		time.Sleep(10 * time.Millisecond)
		count(e.DueEvents())
		is.Equal(last, 40)
		is.True(gaps > 0)
		is.True(published >= 20 && published <= 35)
	})
}

// An engine applies an order once even if it is sent twice, and refuses expired orders, orders for another incarnation
// and, if it checks fencing numbers, orders with an old one. A load that the weight store refuses fails with a time for
// the next try.
func TestOrdersAreCheckedAndAppliedOnce(t *testing.T) {
	for _, checks := range []bool{true, false} {
		cfg := testConfig()
		cfg.ChecksFencing, cfg.Models = checks, []string{"m@1"}
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			store := NewWeightStore(wire.Rate{PerSecond: 0.1, Burst: 1})
			e := New(cfg, store)
			go e.Run(ctx)
			order := wire.Order{
				ID: "o1", Upstream: "e1", Incarnation: 1, Kind: orderLoad, Model: "m@2", Fencing: 5,
				ExpiresMs: int(time.Now().Add(time.Minute).UnixMilli()),
			}
			is.Equal(e.Order(ctx, order).State, orderTaken)
			is.Equal(e.Order(ctx, order).State, orderTaken) // the same order, sent again
			is.Equal(len(e.Ledger().Orders), 1)
			time.Sleep(cfg.LoadTime + time.Millisecond)
			is.Equal(e.Announcement().Models, []string{"m@1", "m@2"})

			stale := order
			stale.ID, stale.Fencing, stale.Kind, stale.Model = "o2", 4, orderUnload, "m@1"
			if answer := e.Order(ctx, stale); checks {
				is.Equal(answer.Reason, "staleFencing")
			} else {
				is.Equal(answer.State, orderTaken)
			}
			invalid := order
			invalid.ID, invalid.ExpiresMs = "o3", int(time.Now().UnixMilli())
			is.Equal(e.Order(ctx, invalid).Reason, "expired")
			invalid = order
			invalid.ID, invalid.Incarnation = "o4", 2
			is.Equal(e.Order(ctx, invalid).Reason, "incarnation")

			if checks {
				unloadOld := order
				unloadOld.ID, unloadOld.Kind, unloadOld.Model = "o5", orderUnload, "m@1"
				is.Equal(e.Order(ctx, unloadOld).State, orderTaken)
			}
			time.Sleep(time.Second)
			is.Equal(e.Announcement().Models, []string{"m@2"})
			_, err := e.Generate(Call{Attempt: "a", Model: "m@1", Digest: "00112233", Tokens: 1})
			is.True(errors.Is(err, ErrModel))

			refusedLoad := order
			refusedLoad.ID, refusedLoad.Model = "o6", "m@3"
			is.Equal(e.Order(ctx, refusedLoad).State, orderTaken)
			synctest.Wait()
			failedModel := e.State().Models[1]
			is.Equal(failedModel.State, modelFailed)
			is.Equal(failedModel.Reason, "weightStore")
			is.True(failedModel.RetryAfterMs > 0)
		})
	}
}

// An unload lets the running sequences of the model finish before the model is removed.
func TestUnloadWaitsForRunningSequences(t *testing.T) {
	cfg := testConfig()
	cfg.Models = []string{"m@1"}
	withEngine(t, cfg, nil, func(is *is.I, ctx context.Context, e *Engine) {
		s, err := e.Generate(Call{Attempt: "a1", Model: "m@1", Digest: "00112233", Tokens: 50})
		is.NoErr(err)
		readTokens(is, ctx, s, 5)
		e.Order(ctx, wire.Order{
			ID: "o1", Upstream: "e1", Incarnation: 1, Kind: orderUnload, Model: "m@1",
			ExpiresMs: int(time.Now().Add(time.Minute).UnixMilli()),
		})
		text, _, _ := readTokens(is, ctx, s, 0)
		is.Equal(chain.Text("00112233", 5)+text, chain.Text("00112233", 50))
		time.Sleep(time.Second)
		is.Equal(len(e.State().Models), 0)
	})
}

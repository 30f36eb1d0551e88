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

func testConfig() Config {
	cfg := DefaultConfig("e1")
	cfg.BatchLimit, cfg.CacheBlocks = 2, 8
	return cfg
}

// inBubble runs f beside a running engine on a paused clock.
func inBubble(t *testing.T, cfg Config, weights WeightSource, f func(*is.I, context.Context, *Engine)) {
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

func prompt(first, n int) []uint64 {
	blocks := make([]uint64, n)
	for i := range blocks {
		blocks[i] = uint64(first + i)
	}
	return blocks
}

// read returns the text and how long the first token and the end took.
func read(is *is.I, ctx context.Context, s *Stream, count int) (text string, first, all time.Duration) {
	began := time.Now()
	for i := 0; count == 0 || i < count; i++ {
		token, more, err := s.Next(ctx)
		is.NoErr(err)
		if !more {
			break
		}
		if i == 0 {
			first = time.Since(began)
		}
		text += token.Text
	}
	return text, first, time.Since(began)
}

func TestCachedPromptStartsSooner(t *testing.T) {
	inBubble(t, testConfig(), nil, func(is *is.I, ctx context.Context, e *Engine) {
		call := Call{Attempt: "a1", Digest: "00112233", Blocks: prompt(1, 6), Tokens: 3}
		s, err := e.Generate(call)
		is.NoErr(err)
		text, cold, _ := read(is, ctx, s, 0)
		is.Equal(text, chain.Text("00112233", 3))
		is.Equal(cold, 20*time.Millisecond+6*4*time.Millisecond)
		s.Close()

		call.Attempt = "a2"
		s, err = e.Generate(call)
		is.NoErr(err)
		_, warm, _ := read(is, ctx, s, 0)
		is.Equal(warm, 20*time.Millisecond)
		is.Equal(s.Cached(), 6)
		s.Close()

		// Three more blocks than fit drop the ends of the least recently used prompt.
		call.Attempt, call.Blocks = "a3", prompt(100, 5)
		s, err = e.Generate(call)
		is.NoErr(err)
		read(is, ctx, s, 0)
		s.Close()
		is.Equal(e.cache.prefix(prompt(1, 6)), 3)
	})
}

func TestHigherPriorityFirstAndNoneStarves(t *testing.T) {
	cfg := testConfig()
	cfg.BatchLimit = 1
	inBubble(t, cfg, nil, func(is *is.I, ctx context.Context, e *Engine) {
		order := make(chan string, 64)
		start := func(id string, priority int) {
			s, err := e.Generate(Call{Attempt: id, Digest: "00112233", Priority: priority, Tokens: 5})
			is.NoErr(err)
			go func() {
				defer s.Close()
				read(is, ctx, s, 0)
				order <- id
			}()
		}
		start("running", 0)
		synctest.Wait()
		start("low", 0)
		start("flow", 9)
		start("flow", 9)
		is.Equal(<-order, "running")
		// A steady flow of higher priority takes the whole capacity; the low one has its turn all the same.
		began := time.Now()
		flows := 0
		for <-order != "low" {
			flows++
			start("flow", 9)
		}
		is.True(flows > 10)
		is.True(time.Since(began) < 9*cfg.AgeEvery+time.Second)
		for range 2 {
			<-order
		}
	})
}

func TestCallerThatLeavesFreesTheBatchWithinASecond(t *testing.T) {
	inBubble(t, testConfig(), nil, func(is *is.I, ctx context.Context, e *Engine) {
		s, err := e.Generate(Call{Attempt: "a1", Digest: "00112233", Tokens: 1000})
		is.NoErr(err)
		read(is, ctx, s, 3)
		s.Close()
		time.Sleep(time.Second)
		is.True(!e.Busy())
		made := e.Ledger().Tokens

		// Within the hold it resumes where it was, with no token lost or made twice.
		s, err = e.Resume("a1", 3)
		is.NoErr(err)
		text, _, _ := read(is, ctx, s, 10)
		is.Equal(chain.Text("00112233", 3)+text, chain.Text("00112233", 13))
		is.True(e.Ledger().Tokens <= max(made, 13)+1)

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
		time.Sleep(testConfig().HoldFor + time.Second)
		_, err = e.Resume("a2", 0)
		is.True(errors.Is(err, ErrUnknownAttempt)) // the hold is over
	})
}

func TestExportedCacheSavesThePrefill(t *testing.T) {
	inBubble(t, testConfig(), nil, func(is *is.I, ctx context.Context, e *Engine) {
		call := Call{Attempt: "a1", Model: "m@1", Digest: "00112233", Blocks: prompt(1, 6), Tokens: 50}
		s, err := e.Generate(call)
		is.NoErr(err)
		read(is, ctx, s, 10)
		handle, err := e.Export("a1", "127.0.0.1:1")
		is.NoErr(err)
		is.True(!e.Busy()) // an exported attempt stops
		data, ok := e.Exported(handle.Export)
		is.True(ok)
		call.Attempt, call.Offset = "a2", 10
		is.NoErr(fits(data, call))
		other := call
		other.Digest = "another"
		is.True(errors.Is(fits(data, other), ErrKVMismatch))

		target := New(testConfig(), nil)
		go target.Run(ctx)
		call.Imported = true
		s, err = target.Generate(call)
		is.NoErr(err)
		text, first, _ := read(is, ctx, s, 0)
		is.Equal(first, 20*time.Millisecond)
		is.Equal(chain.Text("00112233", 10)+text, chain.Text("00112233", 50))
	})
}

func TestCacheEventsAreLateAndHaveGaps(t *testing.T) {
	cfg := testConfig()
	cfg.EventDelay, cfg.EventLoss, cfg.BatchLimit, cfg.CacheBlocks = time.Second, 0.3, 8, 1000
	inBubble(t, cfg, nil, func(is *is.I, ctx context.Context, e *Engine) {
		for i := range 40 {
			s, err := e.Generate(Call{Attempt: string(rune('a' + i)), Digest: "00112233", Blocks: prompt(100*i, 2), Tokens: 1})
			is.NoErr(err)
			read(is, ctx, s, 0)
			s.Close()
		}
		last := e.CacheBlocks().Sequence
		time.Sleep(cfg.EventDelay - 10*time.Millisecond)
		published, next := 0, 1
		gaps := 0
		count := func(runs []wire.CacheEvents) {
			for _, run := range runs {
				if run.FirstSequence != next {
					gaps++
				}
				next = run.FirstSequence + len(run.Events)
				published += len(run.Events)
			}
		}
		count(e.DueEvents())
		is.True(next <= last) // the newest events are not due yet
		time.Sleep(10 * time.Millisecond)
		count(e.DueEvents())
		is.Equal(last, 40)
		is.True(gaps > 0)
		is.True(published >= 20 && published <= 35)
	})
}

func TestOrders(t *testing.T) {
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
				ID: "o1", Upstream: "e1", Incarnation: 1, Kind: load, Model: "m@2", Fencing: 5,
				ExpiresMs: int(time.Now().Add(time.Minute).UnixMilli()),
			}
			is.Equal(e.Order(ctx, order).State, taken)
			is.Equal(e.Order(ctx, order).State, taken) // sent again
			is.Equal(len(e.Ledger().Orders), 1)
			time.Sleep(cfg.LoadTime + time.Millisecond)
			is.Equal(e.Announcement().Models, []string{"m@1", "m@2"})

			stale := order
			stale.ID, stale.Fencing, stale.Kind, stale.Model = "o2", 4, unload, "m@1"
			if answer := e.Order(ctx, stale); checks {
				is.Equal(answer.Reason, "staleFencing")
			} else {
				is.Equal(answer.State, taken)
			}
			void := order
			void.ID, void.ExpiresMs = "o3", int(time.Now().UnixMilli())
			is.Equal(e.Order(ctx, void).Reason, "expired")
			void = order
			void.ID, void.Incarnation = "o4", 2
			is.Equal(e.Order(ctx, void).Reason, "incarnation")

			if checks {
				unloadOld := order
				unloadOld.ID, unloadOld.Kind, unloadOld.Model = "o5", unload, "m@1"
				is.Equal(e.Order(ctx, unloadOld).State, taken)
			}
			time.Sleep(time.Second)
			is.Equal(e.Announcement().Models, []string{"m@2"})
			_, err := e.Generate(Call{Attempt: "a", Model: "m@1", Digest: "00112233", Tokens: 1})
			is.True(errors.Is(err, ErrModel))

			refusedLoad := order
			refusedLoad.ID, refusedLoad.Model = "o6", "m@3"
			is.Equal(e.Order(ctx, refusedLoad).State, taken)
			synctest.Wait()
			failedModel := e.State().Models[1]
			is.Equal(failedModel.State, failed)
			is.Equal(failedModel.Reason, "weightStore")
			is.True(failedModel.RetryAfterMs > 0)
		})
	}
}

func TestUnloadFinishesWhatRuns(t *testing.T) {
	cfg := testConfig()
	cfg.Models = []string{"m@1"}
	inBubble(t, cfg, nil, func(is *is.I, ctx context.Context, e *Engine) {
		s, err := e.Generate(Call{Attempt: "a1", Model: "m@1", Digest: "00112233", Tokens: 50})
		is.NoErr(err)
		read(is, ctx, s, 5)
		e.Order(ctx, wire.Order{
			ID: "o1", Upstream: "e1", Incarnation: 1, Kind: unload, Model: "m@1",
			ExpiresMs: int(time.Now().Add(time.Minute).UnixMilli()),
		})
		text, _, _ := read(is, ctx, s, 0)
		is.Equal(chain.Text("00112233", 5)+text, chain.Text("00112233", 50))
		time.Sleep(time.Second)
		is.Equal(len(e.State().Models), 0)
	})
}

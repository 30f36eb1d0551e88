package engine

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"github.com/matryer/is"

	"plantainlane/wire"
)

var start = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// sequentialBlocks returns n consecutive blocks, which stand for a prompt.
func sequentialBlocks(first, n int) []uint64 {
	blocks := make([]uint64, n)
	for i := range blocks {
		blocks[i] = uint64(first + i)
	}
	return blocks
}

func storedEvents(engine string, sequence int, blocks ...uint64) *wire.CacheEvents {
	ev := wire.CacheEvent{Kind: kindStored}
	for _, b := range blocks {
		ev.Blocks = append(ev.Blocks, int(b))
	}
	return &wire.CacheEvents{Upstream: engine, Incarnation: 1, FirstSequence: sequence, Events: []wire.CacheEvent{ev}}
}

func evictedEvents(engine string, sequence int, blocks ...uint64) *wire.CacheEvents {
	m := storedEvents(engine, sequence, blocks...)
	m.Events[0].Kind = kindEvicted
	return m
}

func TestMatchPrefersLongerPrefixes(t *testing.T) {
	is := is.New(t)
	x := NewIndex(start)
	prompt := sequentialBlocks(100, 10)
	x.Apply(storedEvents("e1", 1, prompt[:4]...))
	x.Apply(storedEvents("e2", 1, prompt[:8]...))
	is.Equal(x.Match(start, prompt), []Match{{"e2", 8}, {"e1", 4}})
	is.Equal(len(x.Match(start, sequentialBlocks(900, 5))), 0)
	x.Apply(evictedEvents("e2", 2, prompt[2:8]...))
	is.Equal(x.Match(start, prompt), []Match{{"e1", 4}, {"e2", 2}})
	x.Forget("e1")
	is.Equal(x.Match(start, prompt), []Match{{"e2", 2}})
}

// A missing event may be the eviction of any confirmed block, so none of them counts until the list of blocks is read.
func TestGapMakesViewUncertainUntilResync(t *testing.T) {
	is := is.New(t)
	x := NewIndex(start)
	random := rand.New(rand.NewPCG(1, 1))
	a, b, c := sequentialBlocks(100, 4), sequentialBlocks(200, 4), sequentialBlocks(300, 4)
	x.Apply(storedEvents("e1", 1, a...))
	is.Equal(len(x.NeedResync(start, 8, random)), 0)
	x.Apply(storedEvents("e1", 3, b...)) // event 2 is missing, which may have evicted a
	is.Equal(len(x.Match(start, a)), 0)
	is.Equal(x.Stats().Uncertain, 1)
	x.Sent(start, "e1", c)
	is.Equal(x.Match(start, c), []Match{{"e1", 4}}) // predicted blocks still count
	is.Equal(x.NeedResync(start, 8, random), []string{"e1"})
	// The engine isn't returned again before the backoff is over, which is at least half of minResyncBackoff.
	is.Equal(len(x.NeedResync(start.Add(minResyncBackoff/2-time.Millisecond), 8, random)), 0)

	// A list older than the missing event leaves the view uncertain.
	x.Resync(&wire.CacheBlocks{Upstream: "e1", Incarnation: 1, Sequence: 1, Blocks: ints(a)})
	is.Equal(len(x.Match(start, a)), 0)
	// A list that covers the missing event makes the view certain, and event 3 is applied again after it.
	x.Resync(&wire.CacheBlocks{Upstream: "e1", Incarnation: 1, Sequence: 2, Blocks: []int{}})
	is.Equal(len(x.Match(start, a)), 0)
	is.Equal(x.Match(start, b), []Match{{"e1", 4}})
	is.Equal(x.Stats().Uncertain, 0)
	x.Apply(storedEvents("e1", 3, a...)) // a late repetition of a sequence already received
	is.Equal(len(x.Match(start, a)), 0)
}

func ints(blocks []uint64) []int {
	list := make([]int, len(blocks))
	for i, b := range blocks {
		list[i] = int(b)
	}
	return list
}

// If the last events of an engine are lost, no later event shows that they are missing, but the announced sequence
// does.
func TestLostLastEventsAreDetectedByAnnouncedSequence(t *testing.T) {
	is := is.New(t)
	x := NewIndex(start)
	a := sequentialBlocks(100, 4)
	x.Apply(storedEvents("e1", 1, a...))
	ahead := &wire.Announcement{ID: "e1", Incarnation: 1, CacheSequence: 2}
	x.Announced(start, ahead)
	x.Announced(start.Add(maxEventDelay-time.Millisecond), ahead)
	is.Equal(len(x.Match(start, a)), 1) // the event may still arrive
	x.Announced(start.Add(maxEventDelay), ahead)
	is.Equal(len(x.Match(start, a)), 0)
}

// A restarted engine has an empty cache; a late event of the old incarnation must not fill its view.
func TestNewIncarnationHasEmptyCache(t *testing.T) {
	is := is.New(t)
	x := NewIndex(start)
	a := sequentialBlocks(100, 4)
	x.Apply(storedEvents("e1", 1, a...))
	x.Announced(start, &wire.Announcement{ID: "e1", Incarnation: 2})
	is.Equal(len(x.Match(start, a)), 0)
	x.Apply(storedEvents("e1", 2, a...)) // a late event of the old incarnation
	is.Equal(len(x.Match(start, a)), 0)
}

// A sent block that no event confirms might not be in the cache, so it counts only for predictionTTL.
func TestPredictionExpiresUnlessConfirmed(t *testing.T) {
	is := is.New(t)
	x := NewIndex(start)
	a, b := sequentialBlocks(100, 4), sequentialBlocks(200, 4)
	x.Announced(start, &wire.Announcement{ID: "e1", Incarnation: 1})
	x.Sent(start, "e1", a)
	x.Sent(start, "e1", b)
	x.Apply(storedEvents("e1", 1, b...))
	is.Equal(len(x.Match(start, a)), 1)
	expired := start.Add(predictionTTL)
	is.Equal(len(x.Match(expired, a)), 0)
	is.Equal(len(x.Match(expired, b)), 1)
}

func TestMemoryIsBoundedPerEngineAndOverall(t *testing.T) {
	is := is.New(t)
	const total, each = 1000, 300
	x := NewIndex(start, WithTotalBlocks(total), WithEngineBlocks(each))
	random := rand.New(rand.NewPCG(7, 7))
	for i := range 20000 {
		engine := fmt.Sprintf("e%d", random.IntN(2+i/500))
		x.Sent(start, engine, sequentialBlocks(random.IntN(5000), 1+random.IntN(20)))
		is.True(len(x.entries)-len(x.freeEntries) <= total)
		if random.IntN(200) == 0 {
			x.Forget(engine)
		}
	}
	blocks := 0
	for _, n := range x.engineByID {
		is.True(x.engines[n].blocks <= each)
		blocks += x.engines[n].blocks
	}
	is.Equal(blocks, len(x.entryOf))
	is.Equal(blocks, len(x.entries)-len(x.freeEntries))
}

const conversations = 12000

// conversation returns a prompt of a system prompt's 4 blocks, the same for all, and 16 blocks of its own.
func conversation(i int) []uint64 {
	return append(sequentialBlocks(1, 4), sequentialBlocks(1000+i*16, 16)...)
}

// newFilledIndex returns an index in which engines hold 12,000 conversations that begin with the same system prompt.
func newFilledIndex(engines int) *Index {
	x := NewIndex(start, WithTotalBlocks(1<<18))
	for i := range conversations {
		x.Sent(start, fmt.Sprintf("e%d", i%engines), conversation(i))
	}
	return x
}

func BenchmarkMatch(b *testing.B) {
	for _, engines := range []int{100, 12000} {
		x := newFilledIndex(engines)
		prompts := make([][]uint64, conversations)
		for i := range prompts {
			prompts[i] = conversation(i)
		}
		b.Run(fmt.Sprintf("engines=%d", engines), func(b *testing.B) {
			i := 0
			for b.Loop() {
				i = (i + 7919) % len(prompts)
				x.Match(start, prompts[i])
			}
		})
	}
}

func BenchmarkBytesPerBlock(b *testing.B) {
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		x := newFilledIndex(12000)
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(x.Stats().Blocks), "B/block")
	}
}

// TestEmptyIndexTakesMemoryOfFullOne guards against instances that serve no engines and hold the memory for all of their
// blocks all the same: the collector runs the more often, the less is left.
func TestEmptyIndexTakesMemoryOfFullOne(t *testing.T) {
	is := is.New(t)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	x := NewIndex(time.Now())
	runtime.ReadMemStats(&after)
	is.True(after.TotalAlloc-before.TotalAlloc < uint64(DefaultTotalBlocks))
	runtime.KeepAlive(x)
}

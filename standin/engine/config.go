package engine

import "time"

// Config shapes a fake engine.
type Config struct {
	// ID is the upstream ID.
	ID string
	// Incarnation grows with each start.
	Incarnation int
	// Role is both, prefill or decode.
	Role string
	// Models are loaded at the start, as name@version.
	Models []string
	// Slots is the number of models that fit. At least len(Models).
	Slots int
	// ChecksFencing makes the engine refuse orders with an old fencing number.
	ChecksFencing bool

	// BatchLimit is the number of sequences that run at once. At least 1.
	BatchLimit int
	// StepTime is the time in which each running sequence generates a token.
	StepTime time.Duration
	// PrefillBlock is the time to compute one uncached prompt block.
	PrefillBlock time.Duration
	// ChunkBlocks bounds the prompt blocks computed in one step. At least 1.
	ChunkBlocks int
	// CacheBlocks bounds the prefix cache.
	CacheBlocks int
	// MeanTokens is the mean length of an answer.
	MeanTokens int
	// QueueLimit is the number of sequences that may wait.
	QueueLimit int
	// AgeEvery raises the priority of a waiting sequence by one for each such time that it waits.
	AgeEvery time.Duration
	// DetachAfter is how long a sequence without a reader stays in the batch.
	DetachAfter time.Duration
	// HoldFor is how long an unread sequence can be resumed.
	HoldFor time.Duration

	// LoadTime is the time to load a model once its weights are there.
	LoadTime time.Duration
	// WeightUnits is what a load takes from the weight store.
	WeightUnits float64

	// EventDelay is how late cache events are published.
	EventDelay time.Duration
	// EventLoss is the part of cache events that is never published, 0 to 1.
	EventLoss float64
	// EventEvery is the least time between two publications.
	EventEvery time.Duration
	// LoadLag is how old the reported load is.
	LoadLag time.Duration
	// Seed makes losses reproducible.
	Seed uint64
}

// DefaultConfig returns a small engine that checks fencing numbers and loses no event.
func DefaultConfig(id string) Config {
	return Config{
		ID: id, Incarnation: 1, Role: "both", Slots: 2, ChecksFencing: true,
		BatchLimit: 8, StepTime: 20 * time.Millisecond, PrefillBlock: 4 * time.Millisecond, ChunkBlocks: 16,
		CacheBlocks: 4096, MeanTokens: 24, QueueLimit: 64, AgeEvery: 500 * time.Millisecond,
		DetachAfter: 500 * time.Millisecond, HoldFor: 5 * time.Second,
		LoadTime: 2 * time.Second, WeightUnits: 1, EventEvery: 100 * time.Millisecond, Seed: 1,
	}
}

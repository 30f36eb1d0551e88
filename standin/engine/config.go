package engine

import "time"

// Config describes a fake engine.
type Config struct {
	// ID is the upstream ID.
	ID string
	// Incarnation grows with each start.
	Incarnation int
	// Role is "both", "prefill" or "decode".
	Role string
	// Models are the models that are loaded at the start, as name@version.
	Models []string
	// Slots is the number of models that fit into the engine's memory, at least len(Models).
	Slots int
	// ChecksFencing is set if the engine refuses orders with a lower fencing number than it has seen.
	ChecksFencing bool

	// BatchLimit is the maximum number of sequences that run at the same time, at least 1.
	BatchLimit int
	// StepTime is the duration of a step of the batch, in which each running sequence generates one token. The
	// prefill of the step is added to it.
	StepTime time.Duration
	// PrefillBlock is the time to compute one uncached prompt block.
	PrefillBlock time.Duration
	// ChunkBlocks is the maximum number of prompt blocks that are computed in one step, at least 1.
	ChunkBlocks int
	// CacheBlocks is the maximum number of blocks in the prefix cache.
	CacheBlocks int
	// MeanTokens is the mean length of an answer in tokens.
	MeanTokens int
	// QueueLimit is the maximum number of waiting sequences.
	QueueLimit int
	// AgingInterval is the waiting time after which the priority of a sequence has risen by one, so that
	// sequences of low priority don't starve.
	AgingInterval time.Duration
	// DetachAfter is how long a sequence without a reader stays in the batch or the queue.
	DetachAfter time.Duration
	// ResumeWindow is how long a sequence without a reader can be resumed. Afterwards the engine drops the sequence.
	ResumeWindow time.Duration

	// LoadTime is the time to load a model after its weights have been fetched.
	LoadTime time.Duration
	// WeightUnits is the number of units of the weight store's rate that loading a model uses.
	WeightUnits float64

	// EventDelay is the time from a change of the prefix cache to the publication of its event.
	EventDelay time.Duration
	// EventLoss is the fraction of cache events that are never published, 0 to 1.
	EventLoss float64
	// EventInterval is the interval at which cache events are published, more than 0.
	EventInterval time.Duration
	// LoadLag is the age of the load in announcements.
	LoadLag time.Duration
	// Seed is the seed of the random choice of lost cache events.
	Seed uint64
}

// DefaultConfig returns the configuration of a small engine that checks fencing numbers and loses no cache events.
func DefaultConfig(id string) Config {
	return Config{
		ID: id, Incarnation: 1, Role: "both", Slots: 2, ChecksFencing: true,
		BatchLimit: 8, StepTime: 20 * time.Millisecond, PrefillBlock: 4 * time.Millisecond, ChunkBlocks: 16,
		CacheBlocks: 4096, MeanTokens: 24, QueueLimit: 64, AgingInterval: 500 * time.Millisecond,
		DetachAfter: 500 * time.Millisecond, ResumeWindow: 5 * time.Second,
		LoadTime: 2 * time.Second, WeightUnits: 1, EventInterval: 100 * time.Millisecond, Seed: 1,
	}
}

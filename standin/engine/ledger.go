package engine

import "plantainlane/wire"

// AppliedOrder is an order that changed the engine.
type AppliedOrder struct {
	Order wire.Order `json:"order"`
	// AtMs is the time at which the order was applied, in milliseconds since 1970.
	AtMs int `json:"atMs"`
}

// Ledger holds counts of an engine's work since its start.
type Ledger struct {
	// Executions counts sequences that entered the batch for the first time.
	Executions int `json:"executions"`
	// Tokens counts generated tokens.
	Tokens int `json:"tokens"`
	// PromptBlocks counts the prompt blocks of all executions.
	PromptBlocks int `json:"promptBlocks"`
	// CachedBlocks counts the prompt blocks of all executions that were in the prefix cache.
	CachedBlocks int `json:"cachedBlocks"`
	// Completed counts sequences that generated all of their tokens.
	Completed int `json:"completed"`
	// Cancelled counts sequences ended by a cancellation.
	Cancelled int `json:"cancelled"`
	// Dropped counts unfinished sequences that were dropped because no reader resumed them in time.
	Dropped int `json:"dropped"`
	// Resumed counts attempts resumed from an offset on this engine.
	Resumed int `json:"resumed"`
	// Continued counts calls that continue a stream which another attempt started.
	Continued int `json:"continued"`
	// Imported counts KV caches imported.
	Imported int `json:"imported"`
	// Exported counts KV caches exported.
	Exported int `json:"exported"`
	// Refused counts calls that weren't run.
	Refused int `json:"refused"`
	// Orders are the applied orders, oldest first.
	Orders []AppliedOrder `json:"orders"`
	// RefusedOrders counts refused orders.
	RefusedOrders int `json:"refusedOrders"`
	// WeightRefusals counts loads that the weight store refused.
	WeightRefusals int `json:"weightRefusals"`
}

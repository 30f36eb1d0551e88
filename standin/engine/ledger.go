package engine

import "plantainlane/wire"

// AppliedOrder is an order that changed the engine.
type AppliedOrder struct {
	Order wire.Order `json:"order"`
	// AtMs is when it was applied, in milliseconds since 1970.
	AtMs int `json:"atMs"`
}

// Ledger counts what an engine has done since its start.
type Ledger struct {
	// Executions counts sequences that entered the batch for the first time.
	Executions int `json:"executions"`
	// Tokens counts generated tokens.
	Tokens int `json:"tokens"`
	// PromptBlocks counts the prompt blocks of all executions.
	PromptBlocks int `json:"promptBlocks"`
	// CachedBlocks counts those found in the prefix cache.
	CachedBlocks int `json:"cachedBlocks"`
	// Completed counts streams generated to their end.
	Completed int `json:"completed"`
	// Cancelled counts sequences ended by a cancellation.
	Cancelled int `json:"cancelled"`
	// Dropped counts sequences whose reader didn't come back.
	Dropped int `json:"dropped"`
	// Resumed counts streams resumed by offset.
	Resumed int `json:"resumed"`
	// Continued counts streams that another attempt began.
	Continued int `json:"continued"`
	// Imported counts KV caches imported.
	Imported int `json:"imported"`
	// Exported counts KV caches exported.
	Exported int `json:"exported"`
	// Refused counts calls that didn't run.
	Refused int `json:"refused"`
	// Orders are the orders applied, in order.
	Orders []AppliedOrder `json:"orders"`
	// RefusedOrders counts orders refused.
	RefusedOrders int `json:"refusedOrders"`
	// WeightRefusals counts loads that the weight store refused.
	WeightRefusals int `json:"weightRefusals"`
}

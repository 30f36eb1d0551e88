package declaration

import (
	"plantainlane/wire"
	"plantainlane/wire/jsonc"
)

// DefaultContract holds the default values of a contract. Workspace, keys, pipelines, rate and concurrency have no
// default and must be declared.
var DefaultContract = wire.Contract{
	Keys:              []wire.ContractKey{},
	Pipelines:         []string{},
	Models:            []string{},
	Tokens:            wire.Rate{PerSecond: 1000, Burst: 2000},
	Priority:          5,
	DefaultDeadlineMs: 6000,
	MaxDeadlineMs:     30_000,
	Budget:            wire.Budget{Units: 0, PeriodHours: 720},
	MaxBodyBytes:      1 << 20,
	MaxResultBytes:    64 << 10,
}

// DefaultStage holds the default values of a stage. Name, service and path have no default and must be declared. A
// stage is only idempotent if it is declared so.
var DefaultStage = wire.Stage{CostUnits: 1}

// DefaultModel holds the default values of a model. Name and version have no default and must be declared.
var DefaultModel = wire.Model{Adapters: []string{}, Replicas: 1, LoadCost: 1}

// DefaultUpstreamPolicy holds the default values of an upstream policy. It is also the policy of a service without a
// declared policy.
var DefaultUpstreamPolicy = wire.UpstreamPolicy{
	RetryBudget:        0.1,
	MaxAttempts:        2,
	HedgeQuantile:      0,
	EjectAfterFailures: 5,
	EjectForMs:         2000,
	MaxEjectedShare:    0.5,
	SilentAfterMs:      5000,
	QueueLimit:         1000,
}

// Defaults returns the options with which jsonc.Read fills in the default values of declarations.
func Defaults() []jsonc.Option {
	return []jsonc.Option{
		jsonc.Default(DefaultContract),
		jsonc.Default(wire.Pipeline{Stages: []wire.Stage{}}),
		jsonc.Default(DefaultStage),
		jsonc.Default(DefaultUpstreamPolicy),
		jsonc.Default(DefaultModel),
	}
}

// Empty returns an empty set of declarations. Its lists are not nil, so that they are encoded as empty arrays.
func Empty() wire.Declarations {
	return wire.Declarations{
		Contracts:        []wire.Contract{},
		Models:           []wire.Model{},
		Pipelines:        []wire.Pipeline{},
		UpstreamPolicies: []wire.UpstreamPolicy{},
	}
}

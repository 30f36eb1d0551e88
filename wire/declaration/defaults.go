package declaration

import (
	"plantainlane/wire"
	"plantainlane/wire/jsonc"
)

// DefaultContract holds the values of a contract that leaves them out. A contract always states its
// workspace, keys, pipelines, rate and concurrency.
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

// DefaultStage holds the values of a stage that leaves them out. It always states its name, service and
// path. A stage that doesn't say so isn't idempotent.
var DefaultStage = wire.Stage{CostUnits: 1}

// DefaultModel holds the values of a model that leaves them out. It always states its name and version.
var DefaultModel = wire.Model{Adapters: []string{}, Replicas: 1, LoadCost: 1}

// DefaultUpstreamPolicy holds the values of an upstream policy that leaves them out, and of a service
// without a policy.
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

// Defaults returns the options that make jsonc.Read fill in the defaults of declarations.
func Defaults() []jsonc.Option {
	return []jsonc.Option{
		jsonc.Default(DefaultContract),
		jsonc.Default(wire.Pipeline{Stages: []wire.Stage{}}),
		jsonc.Default(DefaultStage),
		jsonc.Default(DefaultUpstreamPolicy),
		jsonc.Default(DefaultModel),
	}
}

// Empty returns a set without declarations whose lists are not nil.
func Empty() wire.Declarations {
	return wire.Declarations{
		Contracts:        []wire.Contract{},
		Models:           []wire.Model{},
		Pipelines:        []wire.Pipeline{},
		UpstreamPolicies: []wire.UpstreamPolicy{},
	}
}

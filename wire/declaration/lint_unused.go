package declaration

import (
	"encoding/json"
	"fmt"
	"slices"

	"plantainlane/wire"
)

// lintModel finds models that no request can use.
func (l *linter) lintModel(d *wire.Model) {
	contracts := l.requestedBy[d.Name]
	if len(contracts) == 0 {
		l.warn(RuleUnusedModel, "name", "a model that a contract allows", quoted(d.Name)+", which no contract allows")
		return
	}
	if d.Replicas == 0 {
		l.warn(RuleNoReplicas, "replicas", "at least 1, since contract "+quoted(contracts[0].Workspace)+" allows the model", "0")
	}
}

// lintPipeline finds pipelines that no request can use, and deadline shares that leave a stage nothing.
func (l *linter) lintPipeline(d *wire.Pipeline) {
	if len(l.allowedBy[d.Name]) == 0 {
		l.warn(RuleUnusedPipeline, "name", "a pipeline that a contract allows", quoted(d.Name)+", which no contract allows")
	}
	// Two pipelines with the same stages are one under two names: a change of one is easily missed in the other.
	text, err := json.Marshal(d.Stages)
	if err == nil {
		if other, ok := l.sameStages[string(text)]; ok {
			l.warn(RuleDuplicatePipeline, "stages", "stages that differ from those of other pipelines", "the stages of pipeline "+quoted(other))
		} else {
			l.sameStages[string(text)] = d.Name
		}
	}
	share := 0.0
	for _, s := range d.Stages {
		share += s.DeadlineShare
	}
	for i, s := range d.Stages {
		if s.DeadlineShare == 0 && share >= 1-shareTolerance {
			l.warn(RuleDeadlineShare, fmt.Sprintf("stages[%d].deadlineShare", i),
				"more than 0, since the other stages plan the whole deadline", "0")
		}
	}
}

// lintUnusedValues finds values of a contract that affect no request. Token limits are not among them: a request may state
// maxTokens on any pipeline.
func (l *linter) lintUnusedValues(d *wire.Contract) {
	usesModel, idempotent, atMostOnce := false, false, false
	for _, name := range d.Pipelines {
		p := l.pipelines[name]
		usesModel = usesModel || slices.ContainsFunc(p.Stages, func(s wire.Stage) bool { return s.UsesModel })
		isIdempotent := !slices.ContainsFunc(p.Stages, func(s wire.Stage) bool { return !s.Idempotent })
		idempotent, atMostOnce = idempotent || isIdempotent, atMostOnce || !isIdempotent
	}
	if !usesModel && len(d.Models) > 0 {
		l.warn(RuleUnusedModel, "models", "none, since no pipeline of the contract uses a model", quoted(d.Models[0]))
	}
	if !atMostOnce && d.MaxResultBytes != DefaultContract.MaxResultBytes {
		l.warn(RuleUnusedLimit, "maxResultBytes", "none, since all pipelines of the contract are idempotent and store no result", fmt.Sprint(d.MaxResultBytes))
	}
	if !idempotent && d.ServeIdempotentWhenCutOff {
		l.warn(RuleNoEffect, "serveIdempotentWhenCutOff", "false, since no pipeline of the contract is idempotent", "true")
	}
}

// lintPolicyUse finds policies that apply to no request. It reports whether the policy applies.
func (l *linter) lintPolicyUse(d *wire.UpstreamPolicy) bool {
	pipeline := l.declaredFor[d.Service]
	switch {
	case pipeline == "":
		l.warn(RuleUnusedPolicy, "service", "a service that a stage names", quoted(d.Service)+", which no stage names")
		return false
	case len(l.uses[d.Service]) == 0:
		l.warn(RuleUnusedPolicy, "service", "a service of a pipeline that a contract allows",
			quoted(d.Service)+", which only pipelines such as "+quoted(pipeline)+" name, that no contract allows")
		return false
	}
	defaults := DefaultUpstreamPolicy
	defaults.Service = d.Service
	if *d == defaults {
		l.warn(RuleNoEffect, "", "a value that differs from the defaults", "only default values")
	}
	return true
}

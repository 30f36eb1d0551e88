package declaration

import (
	"fmt"
	"strconv"

	"plantainlane/wire"
)

// Severity tells errors from warnings.
type Severity string

const (
	// SeverityError marks a declaration that an instance refuses, or under which a declared request can never be served.
	SeverityError Severity = "error"
	// SeverityWarning marks a declaration that takes effect although part of it has none, or although its limits
	// contradict each other.
	SeverityWarning Severity = "warning"
)

// Rules of findings, the values of Finding.Rule.
const (
	RuleSyntax            = "syntax"
	RuleInvalid           = "invalid"
	RuleBudgetStep        = "budget-below-request"
	RuleUnusedPipeline    = "unused-pipeline"
	RuleUnusedModel       = "unused-model"
	RuleUnusedPolicy      = "unused-policy"
	RuleUnusedLimit       = "unused-limit"
	RuleDuplicatePipeline = "duplicate-pipeline"
	RuleNoReplicas        = "no-replicas"
	RuleNoEffect          = "no-effect"
	RuleDeadlineShare     = "deadline-share"
	RuleDeadlineTimeout   = "deadline-below-timeout"
	RuleRetryDeadline     = "retry-exceeds-deadline"
	RuleNoRetry           = "no-retry"
	RuleNoHedge           = "no-hedge"
	RuleNoEjection        = "no-ejection"
)

// BudgetStepFraction is the largest fraction of a contract's budget that is granted to an instance at a time. A request
// that costs more is never admitted.
const BudgetStepFraction = 0.02

// Finding is an error or a warning about a set of declarations.
type Finding struct {
	Problem
	// Severity is SeverityError or SeverityWarning.
	Severity Severity
	// Rule is the rule that found it, such as RuleUnusedPipeline.
	Rule string
}

// String formats the finding on one line, without its position in a file.
func (f Finding) String() string {
	return fmt.Sprintf("%s: %s [%s]", f.Severity, f.Problem, f.Rule)
}

// Lint returns the errors and warnings about a complete configuration. Defaults must have been filled in. Warnings are
// searched only if Check finds no problem, since the rules assume valid values and references.
func Lint(set wire.Declarations) []Finding {
	var findings []Finding
	for _, p := range Check(set) {
		findings = append(findings, Finding{p, SeverityError, RuleInvalid})
	}
	if len(findings) > 0 {
		return findings
	}
	l := newLinter(set)
	for i := range set.Contracts {
		l.setDeclaration(KindContract, set.Contracts[i].Workspace, i)
		l.lintContract(&set.Contracts[i])
	}
	for i := range set.Models {
		l.setDeclaration(KindModel, set.Models[i].Name, i)
		l.lintModel(&set.Models[i])
	}
	for i := range set.Pipelines {
		l.setDeclaration(KindPipeline, set.Pipelines[i].Name, i)
		l.lintPipeline(&set.Pipelines[i])
	}
	for i := range set.UpstreamPolicies {
		l.setDeclaration(KindUpstreamPolicy, set.UpstreamPolicies[i].Service, i)
		l.lintPolicy(&set.UpstreamPolicies[i])
	}
	return l.findings
}

// LintChange returns the errors and warnings about the configuration that results if set is applied to base: the
// declarations of base that set doesn't replace stay in force. Positions below the length of a list in set are positions
// in set. Of the declarations in base that stay, only findings that base alone doesn't have are returned.
func LintChange(base, set wire.Declarations) []Finding {
	known := make(map[string]bool)
	for _, f := range Lint(base) {
		known[f.String()] = true
	}
	var findings []Finding
	for _, f := range Lint(merge(set, base)) {
		if f.Index < count(set, f.Kind) || !known[f.String()] {
			findings = append(findings, f)
		}
	}
	return findings
}

// merge returns set followed by the declarations of base whose names set lacks. Repeated names in set are kept, so that
// Check finds them.
func merge(set, base wire.Declarations) wire.Declarations {
	return wire.Declarations{
		Contracts:        mergeKind(set.Contracts, base.Contracts, contractName),
		Models:           mergeKind(set.Models, base.Models, modelName),
		Pipelines:        mergeKind(set.Pipelines, base.Pipelines, pipelineName),
		UpstreamPolicies: mergeKind(set.UpstreamPolicies, base.UpstreamPolicies, policyName),
	}
}

// mergeKind does the work of merge for the declarations of one kind.
func mergeKind[T any](set, base []T, name func(T) string) []T {
	replaced := indexByName(set, name)
	list := append([]T{}, set...)
	for _, d := range base {
		if _, ok := replaced[name(d)]; !ok {
			list = append(list, d)
		}
	}
	return list
}

// stageUse is a stage of a pipeline that at least one contract allows, seen from the service that runs it.
type stageUse struct {
	pipeline   string
	idempotent bool
}

// linter collects findings. Each is added to the declaration that was set last with setDeclaration.
type linter struct {
	checker
	findings []Finding

	pipelines map[string]*wire.Pipeline
	models    map[string]*wire.Model
	policies  map[string]*wire.UpstreamPolicy
	// allowedBy holds the contracts that allow a pipeline, by its name; requestedBy those that allow a model.
	allowedBy, requestedBy map[string][]*wire.Contract
	// declaredFor holds the name of the first pipeline that has a stage of a service, by the service.
	declaredFor map[string]string
	// uses holds the stages that requests can reach, by service.
	uses map[string][]stageUse
	// sameStages holds the name of the first pipeline with the same stages, by their description.
	sameStages map[string]string
}

func newLinter(set wire.Declarations) *linter {
	l := &linter{
		pipelines: map[string]*wire.Pipeline{}, models: map[string]*wire.Model{}, policies: map[string]*wire.UpstreamPolicy{},
		allowedBy: map[string][]*wire.Contract{}, requestedBy: map[string][]*wire.Contract{},
		declaredFor: map[string]string{}, uses: map[string][]stageUse{}, sameStages: map[string]string{},
	}
	for i := range set.Contracts {
		d := &set.Contracts[i]
		for _, p := range d.Pipelines {
			l.allowedBy[p] = append(l.allowedBy[p], d)
		}
		for _, m := range d.Models {
			l.requestedBy[m] = append(l.requestedBy[m], d)
		}
	}
	for i := range set.Models {
		l.models[set.Models[i].Name] = &set.Models[i]
	}
	for i := range set.UpstreamPolicies {
		l.policies[set.UpstreamPolicies[i].Service] = &set.UpstreamPolicies[i]
	}
	for i := range set.Pipelines {
		p := &set.Pipelines[i]
		l.pipelines[p.Name] = p
		for _, s := range p.Stages {
			if l.declaredFor[s.Service] == "" {
				l.declaredFor[s.Service] = p.Name
			}
			if len(l.allowedBy[p.Name]) > 0 {
				l.uses[s.Service] = append(l.uses[s.Service], stageUse{p.Name, s.Idempotent})
			}
		}
	}
	return l
}

// warn adds a warning.
func (l *linter) warn(rule, field, expected, found string) {
	l.add(SeverityWarning, rule, field, expected, found)
}

func (l *linter) add(severity Severity, rule, field, expected, found string) {
	l.findings = append(l.findings, Finding{Problem{l.kind, l.name, l.index, field, expected, found}, severity, rule})
}

// policy returns the policy of a service: the declared one, or the default.
func (l *linter) policy(service string) *wire.UpstreamPolicy {
	if p := l.policies[service]; p != nil {
		return p
	}
	return &DefaultUpstreamPolicy
}

func quoted(name string) string { return strconv.Quote(name) }

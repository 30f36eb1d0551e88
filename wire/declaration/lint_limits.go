package declaration

import (
	"fmt"
	"slices"
	"strconv"

	"plantainlane/wire"
)

// lintContract finds limits of a contract that contradict each other or those of its pipelines.
func (l *linter) lintContract(d *wire.Contract) {
	l.lintUnusedValues(d)
	for i, name := range d.Pipelines {
		l.lintBudget(d, i, l.pipelines[name])
	}
	l.lintDeadline(d)
}

// lintBudget finds pipelines whose requests cost more than an instance is ever granted of the budget.
func (l *linter) lintBudget(d *wire.Contract, index int, p *wire.Pipeline) {
	if d.Budget.Units == 0 {
		return
	}
	units := 0.0
	for _, s := range p.Stages {
		units += s.CostUnits
	}
	if units > d.Budget.Units*BudgetStepFraction {
		l.add(SeverityError, RuleBudgetStep, fmt.Sprintf("pipelines[%d]", index),
			fmt.Sprintf("a pipeline of at most %g cost units, %g%% of budget.units (%g)", d.Budget.Units*BudgetStepFraction, BudgetStepFraction*100, d.Budget.Units),
			fmt.Sprintf("%s of %g", quoted(p.Name), units))
	}
}

// lintDeadline finds deadlines that end before a silent upstream is noticed. It reports one pipeline for each field.
func (l *linter) lintDeadline(d *wire.Contract) {
	var slowest wire.Stage
	longest, sum, of := 0, 0, ""
	for _, name := range d.Pipelines {
		total := 0
		for _, s := range l.pipelines[name].Stages {
			silent := l.policy(s.Service).SilentAfterMs
			total += silent
			if silent > longest {
				longest, slowest = silent, s
			}
		}
		if total > sum {
			sum, of = total, name
		}
	}
	if d.DefaultDeadlineMs <= longest {
		l.warn(RuleDeadlineTimeout, "defaultDeadlineMs",
			fmt.Sprintf("more than %d, silentAfterMs of service %s: a silent upstream is otherwise not noticed before the deadline", longest, quoted(slowest.Service)),
			strconv.Itoa(d.DefaultDeadlineMs))
	}
	if d.MaxDeadlineMs < sum {
		l.warn(RuleDeadlineTimeout, "maxDeadlineMs",
			fmt.Sprintf("at least %d, the sum of silentAfterMs over the stages of pipeline %s", sum, quoted(of)), strconv.Itoa(d.MaxDeadlineMs))
	}
}

// lintPolicy finds policies that apply to no request, and values that contradict each other.
func (l *linter) lintPolicy(d *wire.UpstreamPolicy) {
	if !l.lintPolicyUse(d) {
		return
	}
	if d.MaxEjectedShare == 0 {
		l.warn(RuleNoEjection, "maxEjectedShare", "more than 0: with 0, no upstream is ever ejected", "0")
	}
	l.lintRetries(d)
	l.lintHedges(d)
}

// lintRetries finds retries that are declared and can't happen. A retry budget of 0 only leaves each instance the few
// retries that a new budget holds.
func (l *linter) lintRetries(d *wire.UpstreamPolicy) {
	switch {
	case d.MaxAttempts > 1 && d.RetryBudget == 0:
		l.warn(RuleNoRetry, "retryBudget", fmt.Sprintf("more than 0, since maxAttempts is %d", d.MaxAttempts), "0")
	case d.MaxAttempts == 1 && d.RetryBudget != 0 && d.RetryBudget != DefaultUpstreamPolicy.RetryBudget:
		l.warn(RuleNoRetry, "maxAttempts", fmt.Sprintf("more than 1, since retryBudget is %g", d.RetryBudget), "1")
	}
	deadline, workspace := l.longestDeadline(d.Service)
	if needed := (d.MaxAttempts - 1) * d.SilentAfterMs; needed >= deadline {
		l.warn(RuleRetryDeadline, "maxAttempts",
			fmt.Sprintf("attempts that fit the longest deadline, %d ms of contract %s", deadline, quoted(workspace)),
			fmt.Sprintf("%d, of which the last starts %d ms after the first if upstreams are silent", d.MaxAttempts, needed))
	}
}

// longestDeadline returns the longest deadline that a request with a stage of the service may state, and the contract
// that allows it.
func (l *linter) longestDeadline(service string) (ms int, workspace string) {
	for _, use := range l.uses[service] {
		for _, d := range l.allowedBy[use.pipeline] {
			if d.MaxDeadlineMs > ms {
				ms, workspace = d.MaxDeadlineMs, d.Workspace
			}
		}
	}
	return ms, workspace
}

// lintHedges finds hedges that are declared and can't happen.
func (l *linter) lintHedges(d *wire.UpstreamPolicy) {
	if d.HedgeQuantile == 0 {
		return
	}
	found := fmt.Sprintf("%g", d.HedgeQuantile)
	switch {
	case d.MaxAttempts < 2:
		l.warn(RuleNoHedge, "hedgeQuantile", "0, since maxAttempts is 1", found)
	case d.RetryBudget == 0:
		l.warn(RuleNoHedge, "hedgeQuantile", "0, since retryBudget is 0", found)
	case !slices.ContainsFunc(l.uses[d.Service], func(u stageUse) bool { return u.idempotent }):
		l.warn(RuleNoHedge, "hedgeQuantile", "0, since no stage of the service is idempotent", found)
	}
}

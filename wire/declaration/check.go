package declaration

import (
	"fmt"
	"math"
	"strconv"
	"strings"

	"plantainlane/wire"
)

// Bounds of declared values.
const (
	MaxStages        = 16
	MaxKeys          = 64
	MaxDeadlineMs    = 3_600_000
	MaxRate          = 1e9
	MaxConcurrency   = 1_000_000
	MaxBodyBytes     = 1 << 30
	MaxResultBytes   = 1 << 20
	MaxPriority      = 9
	MaxPeriodHours   = 24 * 366
	MaxAttempts      = 10
	MaxReplicas      = 100_000
	MaxPathLength    = 256
	MaxVersionLength = 64
	maxQueueLimit    = 1_000_000
)

// shareTolerance absorbs rounding in sums of shares.
const shareTolerance = 1e-9

// Check returns every problem of a whole configuration: values, names and references between
// declarations. Defaults must have been filled in.
func Check(set wire.Declarations) []Problem {
	return append(CheckValues(set), CheckReferences(set)...)
}

// CheckValues returns the problems that show without the other declarations of the configuration.
func CheckValues(set wire.Declarations) []Problem {
	c := &checker{}
	for i, d := range set.Contracts {
		c.at(KindContract, d.Workspace, i)
		c.contract(d)
	}
	for i, d := range set.Models {
		c.at(KindModel, d.Name, i)
		c.model(d)
	}
	for i, d := range set.Pipelines {
		c.at(KindPipeline, d.Name, i)
		c.pipeline(d)
	}
	for i, d := range set.UpstreamPolicies {
		c.at(KindUpstreamPolicy, d.Service, i)
		c.policy(d)
	}
	return c.problems
}

// checker gathers the problems of the declaration that at named last.
type checker struct {
	kind, name string
	index      int
	problems   []Problem
}

func (c *checker) at(kind, name string, index int) {
	c.kind, c.name, c.index = kind, name, index
}

func (c *checker) fail(field, expected, found string) {
	c.problems = append(c.problems, Problem{c.kind, c.name, c.index, field, expected, found})
}

func (c *checker) identifier(field, value string) {
	if !IsName(value) {
		c.fail(field, NameRule, strconv.Quote(value))
	}
}

func (c *checker) integer(field string, value, least, most int) {
	if value < least || value > most {
		c.fail(field, fmt.Sprintf("%d to %d", least, most), strconv.Itoa(value))
	}
}

func (c *checker) number(field string, value, least, most float64) {
	if math.IsNaN(value) || value < least || value > most {
		c.fail(field, fmt.Sprintf("%g to %g", least, most), fmt.Sprintf("%g", value))
	}
}

func (c *checker) rate(field string, r wire.Rate) {
	if !(r.PerSecond > 0 && r.PerSecond <= MaxRate) {
		c.fail(field+".perSecond", fmt.Sprintf("more than 0, at most %g", MaxRate), fmt.Sprintf("%g", r.PerSecond))
	}
	c.number(field+".burst", r.Burst, 1, MaxRate)
}

// unique checks that every name is one, and stands once.
func (c *checker) unique(field string, names []string) {
	seen := make(map[string]bool, len(names))
	for i, n := range names {
		path := fmt.Sprintf("%s[%d]", field, i)
		c.identifier(path, n)
		if seen[n] {
			c.fail(path, "each name once", "a second "+strconv.Quote(n))
		}
		seen[n] = true
	}
}

func (c *checker) contract(d wire.Contract) {
	c.identifier("workspace", d.Workspace)
	c.keys(d.Keys)
	if len(d.Pipelines) == 0 {
		c.fail("pipelines", "at least one pipeline", "none")
	}
	c.unique("pipelines", d.Pipelines)
	c.unique("models", d.Models)
	c.rate("rate", d.Rate)
	c.rate("tokens", d.Tokens)
	c.integer("concurrency", d.Concurrency, 1, MaxConcurrency)
	c.integer("priority", d.Priority, 0, MaxPriority)
	c.integer("maxDeadlineMs", d.MaxDeadlineMs, 1, MaxDeadlineMs)
	c.integer("defaultDeadlineMs", d.DefaultDeadlineMs, 1, min(MaxDeadlineMs, max(1, d.MaxDeadlineMs)))
	c.number("budget.units", d.Budget.Units, 0, math.MaxFloat64)
	c.integer("budget.periodHours", d.Budget.PeriodHours, 1, MaxPeriodHours)
	c.integer("maxBodyBytes", d.MaxBodyBytes, 1, MaxBodyBytes)
	c.integer("maxResultBytes", d.MaxResultBytes, 1, MaxResultBytes)
}

func (c *checker) keys(keys []wire.ContractKey) {
	if len(keys) == 0 || len(keys) > MaxKeys {
		c.fail("keys", fmt.Sprintf("1 to %d keys", MaxKeys), strconv.Itoa(len(keys)))
	}
	ids, hashes := map[string]bool{}, map[string]bool{}
	for i, k := range keys {
		path := fmt.Sprintf("keys[%d]", i)
		c.identifier(path+".id", k.ID)
		if ids[k.ID] {
			c.fail(path+".id", "each key ID once", "a second "+strconv.Quote(k.ID))
		}
		if !IsHash(k.Sha256) {
			c.fail(path+".sha256", HashRule, "")
		} else if hashes[k.Sha256] {
			c.fail(path+".sha256", "each key once", "the hash of another key of the contract")
		}
		ids[k.ID], hashes[k.Sha256] = true, true
	}
}

func (c *checker) model(d wire.Model) {
	c.identifier("name", d.Name)
	if d.Version == "" || len(d.Version) > MaxVersionLength || strings.ContainsFunc(d.Version, isNotVersion) {
		c.fail("version", "1 to 64 printable characters without space or '@'", strconv.Quote(d.Version))
	}
	c.unique("adapters", d.Adapters)
	c.integer("replicas", d.Replicas, 0, MaxReplicas)
	c.number("loadCost", d.LoadCost, 0, MaxRate)
}

func isNotVersion(r rune) bool { return r <= ' ' || r > '~' || r == '@' }

func (c *checker) pipeline(d wire.Pipeline) {
	c.identifier("name", d.Name)
	if n := len(d.Stages); n == 0 || n > MaxStages {
		c.fail("stages", fmt.Sprintf("1 to %d stages", MaxStages), strconv.Itoa(n))
	}
	seen, share := make(map[string]bool, len(d.Stages)), 0.0
	for i, s := range d.Stages {
		path := fmt.Sprintf("stages[%d]", i)
		c.stage(path, s)
		if seen[s.Name] {
			c.fail(path+".name", "each stage name once", "a second "+strconv.Quote(s.Name))
		}
		if s.Streams && i < len(d.Stages)-1 {
			c.fail(path+".streams", "false, since only the last stage may stream", "true")
		}
		seen[s.Name] = true
		share += s.DeadlineShare
	}
	if share > 1+shareTolerance {
		c.fail("stages", "deadline shares of at most 1 together", fmt.Sprintf("%g", share))
	}
}

func (c *checker) stage(path string, s wire.Stage) {
	c.identifier(path+".name", s.Name)
	c.identifier(path+".service", s.Service)
	if !strings.HasPrefix(s.Path, "/") || len(s.Path) > MaxPathLength || strings.ContainsFunc(s.Path, isNotPath) {
		c.fail(path+".path", "an HTTP path such as \"/generate\", without query", strconv.Quote(s.Path))
	}
	c.number(path+".deadlineShare", s.DeadlineShare, 0, 1)
	c.number(path+".costUnits", s.CostUnits, 0, MaxRate)
}

func isNotPath(r rune) bool { return r <= ' ' || r > '~' || r == '?' || r == '#' }

func (c *checker) policy(d wire.UpstreamPolicy) {
	c.identifier("service", d.Service)
	c.number("retryBudget", d.RetryBudget, 0, 4)
	c.integer("maxAttempts", d.MaxAttempts, 1, MaxAttempts)
	if d.HedgeQuantile != 0 {
		c.number("hedgeQuantile", d.HedgeQuantile, 0.5, 0.9999)
	}
	c.integer("ejectAfterFailures", d.EjectAfterFailures, 1, MaxConcurrency)
	c.integer("ejectForMs", d.EjectForMs, 1, MaxDeadlineMs)
	c.number("maxEjectedShare", d.MaxEjectedShare, 0, 1)
	c.integer("silentAfterMs", d.SilentAfterMs, 1, MaxDeadlineMs)
	c.integer("queueLimit", d.QueueLimit, 0, maxQueueLimit)
}

package declaration

import (
	"fmt"
	"math"
	"strconv"
	"strings"

	"plantainlane/wire"
)

// Upper bounds of declared values.
const (
	MaxStages        = 16        // stages of a pipeline
	MaxKeys          = 64        // keys of a contract
	MaxDeadlineMs    = 3_600_000 // deadlines, ejections and idle timeouts, in milliseconds
	MaxRate          = 1e9       // requests or tokens per second, bursts, cost units of a stage or load
	MaxConcurrency   = 1_000_000 // requests in flight, failures before an ejection
	MaxBodyBytes     = 1 << 30   // request body
	MaxResultBytes   = 1 << 20   // stored answer
	MaxPriority      = 9         // highest priority
	MaxPeriodHours   = 24 * 366  // budget period
	MaxAttempts      = 10        // attempts at one stage of one request
	MaxReplicas      = 100_000   // engines of a model
	MaxPathLength    = 256       // bytes of a stage's path
	MaxVersionLength = 64        // bytes of a model's version
	maxQueueLimit    = 1_000_000 // waiting requests
)

// shareTolerance is the rounding error allowed in the sum of deadline shares.
const shareTolerance = 1e-9

// Check returns all problems of a complete configuration: invalid values, repeated names and invalid references between
// declarations. Defaults must have been filled in.
func Check(set wire.Declarations) []Problem {
	return append(CheckValues(set), CheckReferences(set)...)
}

// CheckValues returns the problems that can be found in each declaration alone. Defaults must have been filled in.
func CheckValues(set wire.Declarations) []Problem {
	c := &checker{}
	for i, d := range set.Contracts {
		c.setDeclaration(KindContract, d.Workspace, i)
		c.checkContract(d)
	}
	for i, d := range set.Models {
		c.setDeclaration(KindModel, d.Name, i)
		c.checkModel(d)
	}
	for i, d := range set.Pipelines {
		c.setDeclaration(KindPipeline, d.Name, i)
		c.checkPipeline(d)
	}
	for i, d := range set.UpstreamPolicies {
		c.setDeclaration(KindUpstreamPolicy, d.Service, i)
		c.checkPolicy(d)
	}
	return c.problems
}

// checker collects problems. Each problem is added to the declaration that was set last with setDeclaration.
type checker struct {
	kind, name string
	index      int
	problems   []Problem
}

func (c *checker) setDeclaration(kind, name string, index int) {
	c.kind, c.name, c.index = kind, name, index
}

func (c *checker) addProblem(field, expected, found string) {
	c.problems = append(c.problems, Problem{c.kind, c.name, c.index, field, expected, found})
}

func (c *checker) checkName(field, value string) {
	if !IsName(value) {
		c.addProblem(field, NameRule, strconv.Quote(value))
	}
}

func (c *checker) checkInt(field string, value, least, most int) {
	if value < least || value > most {
		c.addProblem(field, fmt.Sprintf("%d to %d", least, most), strconv.Itoa(value))
	}
}

func (c *checker) checkFloat(field string, value, least, most float64) {
	if math.IsNaN(value) || value < least || value > most {
		c.addProblem(field, fmt.Sprintf("%g to %g", least, most), fmt.Sprintf("%g", value))
	}
}

func (c *checker) checkRate(field string, r wire.Rate) {
	if !(r.PerSecond > 0 && r.PerSecond <= MaxRate) {
		c.addProblem(field+".perSecond", fmt.Sprintf("more than 0, at most %g", MaxRate), fmt.Sprintf("%g", r.PerSecond))
	}
	c.checkFloat(field+".burst", r.Burst, 1, MaxRate)
}

// checkNames checks that the names in a list are valid and that none is repeated.
func (c *checker) checkNames(field string, names []string) {
	seen := make(map[string]bool, len(names))
	for i, n := range names {
		path := fmt.Sprintf("%s[%d]", field, i)
		c.checkName(path, n)
		if seen[n] {
			c.addProblem(path, "each name once", "a second "+strconv.Quote(n))
		}
		seen[n] = true
	}
}

func (c *checker) checkContract(d wire.Contract) {
	c.checkName("workspace", d.Workspace)
	c.checkKeys(d.Keys)
	if len(d.Pipelines) == 0 {
		c.addProblem("pipelines", "at least one pipeline", "none")
	}
	c.checkNames("pipelines", d.Pipelines)
	c.checkNames("models", d.Models)
	c.checkRate("rate", d.Rate)
	c.checkRate("tokens", d.Tokens)
	c.checkInt("concurrency", d.Concurrency, 1, MaxConcurrency)
	c.checkInt("priority", d.Priority, 0, MaxPriority)
	c.checkInt("maxDeadlineMs", d.MaxDeadlineMs, 1, MaxDeadlineMs)
	c.checkInt("defaultDeadlineMs", d.DefaultDeadlineMs, 1, min(MaxDeadlineMs, max(1, d.MaxDeadlineMs)))
	c.checkFloat("budget.units", d.Budget.Units, 0, math.MaxFloat64)
	c.checkInt("budget.periodHours", d.Budget.PeriodHours, 1, MaxPeriodHours)
	c.checkInt("maxBodyBytes", d.MaxBodyBytes, 1, MaxBodyBytes)
	c.checkInt("maxResultBytes", d.MaxResultBytes, 1, MaxResultBytes)
}

// checkKeys checks the keys of one contract. It doesn't report the value of an invalid hash, which may be the key
// itself.
func (c *checker) checkKeys(keys []wire.ContractKey) {
	if len(keys) == 0 || len(keys) > MaxKeys {
		c.addProblem("keys", fmt.Sprintf("1 to %d keys", MaxKeys), strconv.Itoa(len(keys)))
	}
	ids, hashes := map[string]bool{}, map[string]bool{}
	for i, k := range keys {
		path := fmt.Sprintf("keys[%d]", i)
		c.checkName(path+".id", k.ID)
		if ids[k.ID] {
			c.addProblem(path+".id", "each key ID once", "a second "+strconv.Quote(k.ID))
		}
		if !IsHash(k.Sha256) {
			c.addProblem(path+".sha256", HashRule, "")
		} else if hashes[k.Sha256] {
			c.addProblem(path+".sha256", "each key once", "the hash of another key of the contract")
		}
		ids[k.ID], hashes[k.Sha256] = true, true
	}
}

func (c *checker) checkModel(d wire.Model) {
	c.checkName("name", d.Name)
	if d.Version == "" || len(d.Version) > MaxVersionLength || strings.ContainsFunc(d.Version, isInvalidInVersion) {
		c.addProblem("version", "1 to 64 printable characters without space or '@'", strconv.Quote(d.Version))
	}
	c.checkNames("adapters", d.Adapters)
	c.checkInt("replicas", d.Replicas, 0, MaxReplicas)
	c.checkFloat("loadCost", d.LoadCost, 0, MaxRate)
}

// isInvalidInVersion reports whether a model's version must not contain r. '@' separates name and version in
// name@version.
func isInvalidInVersion(r rune) bool { return r <= ' ' || r > '~' || r == '@' }

func (c *checker) checkPipeline(d wire.Pipeline) {
	c.checkName("name", d.Name)
	if n := len(d.Stages); n == 0 || n > MaxStages {
		c.addProblem("stages", fmt.Sprintf("1 to %d stages", MaxStages), strconv.Itoa(n))
	}
	seen, share := make(map[string]bool, len(d.Stages)), 0.0
	for i, s := range d.Stages {
		path := fmt.Sprintf("stages[%d]", i)
		c.checkStage(path, s)
		if seen[s.Name] {
			c.addProblem(path+".name", "each stage name once", "a second "+strconv.Quote(s.Name))
		}
		if s.Streams && i < len(d.Stages)-1 {
			c.addProblem(path+".streams", "false, since only the last stage may stream", "true")
		}
		seen[s.Name] = true
		share += s.DeadlineShare
	}
	if share > 1+shareTolerance {
		c.addProblem("stages", "deadline shares of at most 1 together", fmt.Sprintf("%g", share))
	}
}

func (c *checker) checkStage(path string, s wire.Stage) {
	c.checkName(path+".name", s.Name)
	c.checkName(path+".service", s.Service)
	if !strings.HasPrefix(s.Path, "/") || len(s.Path) > MaxPathLength || strings.ContainsFunc(s.Path, isInvalidInPath) {
		c.addProblem(path+".path", "an HTTP path such as \"/generate\", without query", strconv.Quote(s.Path))
	}
	c.checkFloat(path+".deadlineShare", s.DeadlineShare, 0, 1)
	c.checkFloat(path+".costUnits", s.CostUnits, 0, MaxRate)
}

// isInvalidInPath reports whether a stage's path must not contain r.
func isInvalidInPath(r rune) bool { return r <= ' ' || r > '~' || r == '?' || r == '#' }

func (c *checker) checkPolicy(d wire.UpstreamPolicy) {
	c.checkName("service", d.Service)
	c.checkFloat("retryBudget", d.RetryBudget, 0, 4)
	c.checkInt("maxAttempts", d.MaxAttempts, 1, MaxAttempts)
	if d.HedgeQuantile != 0 {
		c.checkFloat("hedgeQuantile", d.HedgeQuantile, 0.5, 0.9999)
	}
	c.checkInt("ejectAfterFailures", d.EjectAfterFailures, 1, MaxConcurrency)
	c.checkInt("ejectForMs", d.EjectForMs, 1, MaxDeadlineMs)
	c.checkFloat("maxEjectedShare", d.MaxEjectedShare, 0, 1)
	c.checkInt("silentAfterMs", d.SilentAfterMs, 1, MaxDeadlineMs)
	c.checkInt("queueLimit", d.QueueLimit, 0, maxQueueLimit)
}

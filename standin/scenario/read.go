package scenario

import (
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"

	"github.com/cockroachdb/errors"

	"plantainlane/standin/loopback"
	"plantainlane/wire"
	"plantainlane/wire/declaration"
	"plantainlane/wire/jsonc"
)

// Upper bounds of a scenario's values.
const (
	maxDurationMs = 10 * 60 * 1000
	maxPerSecond  = 20_000
	maxFactor     = 100 // of a phase's rate over the flow's mean rate
	maxSends      = 5   // of one request
)

// Read reads a scenario file and the pipelines of its declarations. A flow without a deadline gets 1000 ms, a flow
// without a number of sends 3. It returns a *jsonc.Error, which lists all invalid values with their place, and other
// errors for files that can't be read.
func Read(file string) (*Scenario, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "scenario")
	}
	doc, err := jsonc.Parse(file, data)
	if err != nil {
		return nil, err
	}
	var s Scenario
	if err := doc.Decode(&s, jsonc.Default(Flow{DeadlineMs: 1000, Sends: 3})); err != nil {
		return nil, err
	}
	if s.Pipelines, err = readDeclarations(filepath.Dir(file), s.Declarations); err != nil {
		return nil, err
	}
	c := checker{doc: doc}
	c.checkScenario(&s)
	return &s, jsonc.NewError(c.problems)
}

// readDeclarations reads the pipelines that several files or folders declare. Relative names start at dir. Of pipelines
// with the same name the last one is kept.
func readDeclarations(dir string, files []string) (map[string]wire.Pipeline, error) {
	pipelines := make(map[string]wire.Pipeline)
	for _, name := range files {
		if !filepath.IsAbs(name) {
			name = filepath.Join(dir, name)
		}
		pipelinesOfFile, err := ReadPipelines(name)
		if err != nil {
			return nil, err
		}
		maps.Copy(pipelines, pipelinesOfFile)
	}
	return pipelines, nil
}

// ReadPipelines reads a file or folder of declarations and returns its pipelines by name.
func ReadPipelines(path string) (map[string]wire.Pipeline, error) {
	source, err := declaration.Read(path)
	if err != nil {
		return nil, err
	}
	pipelines := make(map[string]wire.Pipeline)
	for _, p := range source.Set.Pipelines {
		pipelines[p.Name] = p
	}
	return pipelines, nil
}

// checker collects the problems of a scenario's values.
type checker struct {
	doc      *jsonc.Document
	problems []jsonc.Problem
}

// check adds a problem for the value at a path unless ok is set. The problem states what was expected and found.
func (c *checker) check(ok bool, path, expected string, found any) {
	if !ok {
		c.problems = append(c.problems, c.doc.Problem(path, expected, fmt.Sprint(found)))
	}
}

func (c *checker) checkScenario(s *Scenario) {
	c.check(s.DurationMs > 0 && s.DurationMs <= maxDurationMs, "durationMs",
		fmt.Sprintf("1 to %d", maxDurationMs), s.DurationMs)
	c.check(s.WarmUpMs >= 0 && s.WarmUpMs < max(s.DurationMs, 1), "warmUpMs", "at least 0 and less than durationMs", s.WarmUpMs)
	c.check(len(s.Entries) > 0, "entries", "at least one address", "none")
	c.checkAddresses("entries", s.Entries)
	c.checkAddresses("fakes", s.Fakes)
	if s.Operator != "" {
		c.checkAddresses("operator", []string{s.Operator})
	}
	c.check(len(s.Workspaces) > 0, "workspaces", "at least one workspace", "none")
	for i, w := range s.Workspaces {
		for j, f := range w.Flows {
			c.checkFlow(fmt.Sprintf("workspaces[%d].flows[%d]", i, j), s, f)
		}
	}
	for i, f := range s.Faults {
		path := fmt.Sprintf("faults[%d].fakes", i)
		c.check(slices.Contains(s.Fakes, f.Fakes), path, "one of the addresses in fakes", f.Fakes)
	}
	for i, t := range s.Targets {
		path := fmt.Sprintf("targets[%d]", i)
		c.check(slices.Contains(metrics, t.Metric), path+".metric", fmt.Sprint(metrics), t.Metric)
		c.check(t.AtLeast != nil || t.AtMost != nil, path, "atLeast, atMost or both", "neither")
	}
}

// metrics are the metrics that a target may name.
var metrics = []Metric{
	Attainment, AttainmentRatio, RecoveryMs, GoodputOfCapacity, Amplification, ExecutionsPerKey, FalseNotRun,
	WrongAnswers, CostDifference,
}

func (c *checker) checkAddresses(path string, addresses []string) {
	for i, a := range addresses {
		if err := loopback.Check(a); err != nil {
			c.check(false, fmt.Sprintf("%s[%d]", path, i), "a loopback IP address and a port", a)
		}
	}
}

func (c *checker) checkFlow(path string, s *Scenario, f Flow) {
	_, declared := s.Pipelines[f.Pipeline]
	c.check(declared, path+".pipeline", "a pipeline in the files of declarations", f.Pipeline)
	c.check(f.PerSecond > 0 && f.PerSecond <= maxPerSecond, path+".perSecond",
		fmt.Sprintf("more than 0, at most %d", maxPerSecond), f.PerSecond)
	c.check(f.DeadlineMs > 0 && f.DeadlineMs <= maxDurationMs, path+".deadlineMs",
		fmt.Sprintf("1 to %d", maxDurationMs), f.DeadlineMs)
	c.check(f.SendTimeoutMs >= 0, path+".sendTimeoutMs", "at least 0", f.SendTimeoutMs)
	c.check(f.Sends >= 1 && f.Sends <= maxSends, path+".sends", fmt.Sprintf("1 to %d", maxSends), f.Sends)
	c.check(f.LostAnswerShare >= 0 && f.LostAnswerShare <= 1, path+".lostAnswerShare", "0 to 1", f.LostAnswerShare)
	for i, p := range f.Phases {
		c.check(p.Factor >= 0 && p.Factor <= maxFactor, fmt.Sprintf("%s.phases[%d].factor", path, i),
			fmt.Sprintf("0 to %d", maxFactor), p.Factor)
	}
}

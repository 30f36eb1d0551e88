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

// Bounds on a scenario.
const (
	maxDurationMs = 10 * 60 * 1000
	maxPerSecond  = 20_000
	maxFactor     = 100
	maxSends      = 5
)

// Read reads a scenario and the pipelines it names. It returns a *jsonc.Error for bad values.
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
	if s.Pipelines, err = readPipelines(filepath.Dir(file), s.Declarations); err != nil {
		return nil, err
	}
	c := checker{doc: doc}
	c.scenario(&s)
	return &s, jsonc.NewError(c.problems)
}

func readPipelines(dir string, files []string) (map[string]wire.Pipeline, error) {
	pipelines := make(map[string]wire.Pipeline)
	for _, name := range files {
		if !filepath.IsAbs(name) {
			name = filepath.Join(dir, name)
		}
		more, err := ReadPipelines(name)
		if err != nil {
			return nil, err
		}
		maps.Copy(pipelines, more)
	}
	return pipelines, nil
}

// ReadPipelines reads the pipelines of a file or folder of declarations, by name.
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

type checker struct {
	doc      *jsonc.Document
	problems []jsonc.Problem
}

func (c *checker) check(ok bool, path, expected string, found any) {
	if !ok {
		c.problems = append(c.problems, c.doc.Problem(path, expected, fmt.Sprint(found)))
	}
}

func (c *checker) scenario(s *Scenario) {
	c.check(s.DurationMs > 0 && s.DurationMs <= maxDurationMs, "durationMs",
		fmt.Sprintf("1 to %d", maxDurationMs), s.DurationMs)
	c.check(s.WarmUpMs >= 0 && s.WarmUpMs < max(s.DurationMs, 1), "warmUpMs", "less than durationMs", s.WarmUpMs)
	c.check(len(s.Entries) > 0, "entries", "at least one address", "none")
	c.addresses("entries", s.Entries)
	c.addresses("fakes", s.Fakes)
	if s.Operator != "" {
		c.addresses("operator", []string{s.Operator})
	}
	c.check(len(s.Workspaces) > 0, "workspaces", "at least one workspace", "none")
	for i, w := range s.Workspaces {
		for j, f := range w.Flows {
			c.flow(fmt.Sprintf("workspaces[%d].flows[%d]", i, j), s, f)
		}
	}
	for i, f := range s.Faults {
		path := fmt.Sprintf("faults[%d].fakes", i)
		c.check(slices.Contains(s.Fakes, f.Fakes), path, "an address of fakes", f.Fakes)
	}
	for i, t := range s.Targets {
		path := fmt.Sprintf("targets[%d]", i)
		c.check(slices.Contains(metrics, t.Metric), path+".metric", fmt.Sprint(metrics), t.Metric)
		c.check(t.AtLeast != nil || t.AtMost != nil, path, "atLeast or atMost", "neither")
	}
}

var metrics = []Metric{
	Attainment, AttainmentRatio, RecoveryMs, GoodputOfCapacity, Amplification, ExecutionsPerKey, FalseNotRun,
	WrongAnswers, CostDifference,
}

func (c *checker) addresses(path string, addresses []string) {
	for i, a := range addresses {
		if err := loopback.Check(a); err != nil {
			c.check(false, fmt.Sprintf("%s[%d]", path, i), "a loopback IP number with a port", a)
		}
	}
}

func (c *checker) flow(path string, s *Scenario, f Flow) {
	_, known := s.Pipelines[f.Pipeline]
	c.check(known, path+".pipeline", "a pipeline of the declarations", f.Pipeline)
	c.check(f.PerSecond > 0 && f.PerSecond <= maxPerSecond, path+".perSecond",
		fmt.Sprintf("more than 0, at most %d", maxPerSecond), f.PerSecond)
	c.check(f.DeadlineMs > 0 && f.DeadlineMs <= maxDurationMs, path+".deadlineMs",
		fmt.Sprintf("1 to %d", maxDurationMs), f.DeadlineMs)
	c.check(f.SendTimeoutMs >= 0, path+".sendTimeoutMs", "0 or more", f.SendTimeoutMs)
	c.check(f.Sends >= 1 && f.Sends <= maxSends, path+".sends", fmt.Sprintf("1 to %d", maxSends), f.Sends)
	c.check(f.LostAnswerShare >= 0 && f.LostAnswerShare <= 1, path+".lostAnswerShare", "0 to 1", f.LostAnswerShare)
	for i, p := range f.Phases {
		c.check(p.Factor >= 0 && p.Factor <= maxFactor, fmt.Sprintf("%s.phases[%d].factor", path, i),
			fmt.Sprintf("0 to %d", maxFactor), p.Factor)
	}
}

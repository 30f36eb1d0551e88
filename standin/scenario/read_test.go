package scenario

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"plantainlane/wire/jsonc"
)

const declarations = `{"pipelines": [{"name": "tone", "stages": [
  {"name": "encode", "service": "encoder", "path": "/encode", "idempotent": true, "deadlineShare": 1},
]}]}`

const valid = `{
  "name": "n", "seed": 1, "durationMs": 1000, "entries": ["127.0.0.1:1"], "fakes": ["127.0.0.1:2"],
  "declarations": ["d.jsonc"],
  "workspaces": [{"name": "w", "key": "k", "flows": [{"pipeline": "tone", "perSecond": 10}]}],
  "faults": [{"atMs": 1, "fakes": "127.0.0.1:2", "order": {"fault": {"refuse": true}}}],
  "targets": [{"metric": "attainment", "atLeast": 0.9}],
}`

// writeScenario writes a scenario and its declarations into a new folder and returns the scenario's file.
func writeScenario(t *testing.T, text string) string {
	t.Helper()
	dir := t.TempDir()
	for name, content := range map[string]string{"d.jsonc": declarations, "s.jsonc": text} {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(content), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return filepath.Join(dir, "s.jsonc")
}

// A flow that sets only its pipeline and rate gets the default deadline and number of sends.
func TestReadSetsDefaults(t *testing.T) {
	is := is.New(t)
	s, err := Read(writeScenario(t, valid))
	is.NoErr(err)
	is.Equal(s.Workspaces[0].Flows[0].DeadlineMs, 1000)
	is.Equal(s.Workspaces[0].Flows[0].Sends, 3)
	is.True(Idempotent(s.Pipelines["tone"]))
	is.True(s.Faults[0].Order.Fault.Refuse)
}

// A misspelt or impossible value must be refused with its path, before any load is sent. Otherwise a run could go on
// without the faults or targets in the file, or send load to another machine.
func TestReadRefusesInvalidValues(t *testing.T) {
	tests := map[string]struct{ old, new, path string }{
		"unknown field":           {`"seed"`, `"sead"`, "sead"},
		"endless":                 {`"durationMs": 1000`, `"durationMs": 100000000`, "durationMs"},
		"address not on loopback": {`"entries": ["127.0.0.1:1"]`, `"entries": ["192.0.2.1:1"]`, "entries[0]"},
		"unknown pipeline":        {`"pipeline": "tone"`, `"pipeline": "tune"`, "workspaces[0].flows[0].pipeline"},
		"no rate":                 {`"perSecond": 10`, `"perSecond": 0`, "workspaces[0].flows[0].perSecond"},
		"fault at unknown fakes":  {`"fakes": "127.0.0.1:2"`, `"fakes": "127.0.0.1:3"`, "faults[0].fakes"},
		"unknown metric":          {`"metric": "attainment"`, `"metric": "speed"`, "targets[0].metric"},
		"target without bound":    {`, "atLeast": 0.9`, ``, "targets[0]"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := Read(writeScenario(t, strings.Replace(valid, tt.old, tt.new, 1)))
			is.True(errors.Is(err, jsonc.ErrInvalid))
			is.True(strings.Contains(err.Error(), tt.path+":"))
		})
	}
}

// Every scenario in bench/experiments must be readable, have the name of its file and set targets.
func TestExperimentsAreValid(t *testing.T) {
	is := is.New(t)
	files, err := filepath.Glob("../../bench/experiments/*.jsonc")
	is.NoErr(err)
	is.True(len(files) > 10)
	for _, f := range files {
		s, err := Read(f)
		is.NoErr(err)
		is.Equal(s.Name, strings.TrimSuffix(filepath.Base(f), ".jsonc"))
		is.True(len(s.Targets) > 0)
	}
}

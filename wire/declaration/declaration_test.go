package declaration

import (
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"plantainlane/wire"
	"plantainlane/wire/jsonc"
)

// sample is a valid set of declarations. Test cases replace parts of it and expect errors on certain lines.
const sample = `{
	"models": [{"name": "m", "version": "1"}],
	"pipelines": [
		{"name": "guide", "stages": [
			{"name": "encode", "service": "encoder", "path": "/encode", "idempotent": true, "deadlineShare": 0.2},
			{"name": "generate", "service": "phrase", "path": "/generate", "idempotent": true, "streams": true, "usesModel": true},
		]},
	],
	"upstreamPolicies": [{"service": "phrase", "hedgeQuantile": 0.95}],
	"contracts": [
		{
			"workspace": "hostel", // one of two
			"keys": [{"id": "k1", "sha256": "2c26b46b68ffc68ff99b453c1d30413413422d706483bfa0f98a5e886266e7ae"}],
			"pipelines": ["guide"], "models": ["m"],
			"rate": {"perSecond": 5, "burst": 10}, "concurrency": 4,
		},
	],
}`

// writeFiles writes files with the given names and texts into a new folder and returns its path.
func writeFiles(t *testing.T, files map[string]string) string {
	t.Helper()
	dir := t.TempDir()
	for name, text := range files {
		path := filepath.Join(dir, name)
		if err := os.MkdirAll(filepath.Dir(path), 0o700); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return dir
}

// A folder may contain other files and hidden folders, which must be skipped. Values that are left out must be filled
// in before the check, since zero is invalid for most of them.
func TestReadFillsDefaults(t *testing.T) {
	is := is.New(t)
	s, err := Read(writeFiles(t, map[string]string{"all.jsonc": sample, "README.md": "no declarations", ".hidden/x.json": "{"}))
	is.NoErr(err)
	is.NoErr(s.Locate(Check(s.Set)))
	c := s.Set.Contracts[0]
	is.Equal(c.Priority, DefaultContract.Priority)
	is.Equal(c.MaxDeadlineMs, DefaultContract.MaxDeadlineMs)
	is.Equal(s.Set.UpstreamPolicies[0].MaxAttempts, DefaultUpstreamPolicy.MaxAttempts)
	is.Equal(s.Set.Pipelines[0].Stages[0].CostUnits, 1.0)
}

// Each case replaces one part of the valid sample. The check must report the mistake with the line, the path and the
// valid values.
func TestCheckFindsBadValues(t *testing.T) {
	tests := map[string]struct{ old, text, want string }{
		"undeclared pipeline":      {`"pipelines": ["guide"]`, `"pipelines": ["guide", "tour"]`, `:14: contracts[0].pipelines[1]: expected a declared pipeline, found "tour"`},
		"undeclared model":         {`"models": ["m"]`, `"models": ["n"]`, `contracts[0].models[0]: expected a declared model, found "n"`},
		"no model":                 {`"models": ["m"]`, `"models": []`, `contracts[0].models: expected at least one model, since pipeline "guide" uses one`},
		"no pipeline":              {`"pipelines": ["guide"]`, `"pipelines": []`, `contracts[0].pipelines: expected at least one pipeline`},
		"rate":                     {`"perSecond": 5`, `"perSecond": -5`, `:15: contracts[0].rate.perSecond: expected more than 0, at most 1e+09, found -5`},
		"burst":                    {`"burst": 10`, `"burst": 0.5`, `contracts[0].rate.burst: expected 1 to 1e+09, found 0.5`},
		"concurrency":              {`"concurrency": 4,`, ``, `:11: contracts[0].concurrency: expected 1 to 1000000, found 0`},
		"priority":                 {`"concurrency": 4`, `"concurrency": 4, "priority": 10`, `contracts[0].priority: expected 0 to 9, found 10`},
		"deadline":                 {`"concurrency": 4`, `"concurrency": 4, "maxDeadlineMs": 5000`, `contracts[0].defaultDeadlineMs: expected 1 to 5000, found 6000`},
		"negative deadline":        {`"concurrency": 4`, `"concurrency": 4, "defaultDeadlineMs": -1`, `contracts[0].defaultDeadlineMs: expected 1 to 30000, found -1`},
		"result bound":             {`"concurrency": 4`, `"concurrency": 4, "maxResultBytes": 9999999`, `contracts[0].maxResultBytes: expected 1 to 1048576`},
		"hash":                     {`2c26b46b`, `2C26B46B`, `:13: contracts[0].keys[0].sha256: expected 64 lower-case hexadecimal digits`},
		"workspace name":           {`"hostel"`, `"Hostel A"`, `contracts[0].workspace: expected 1 to 64 of`},
		"stream before last stage": {`"deadlineShare": 0.2`, `"streams": true`, `:5: pipelines[0].stages[0].streams: expected false, since only the last stage may stream`},
		"shares":                   {`"deadlineShare": 0.2`, `"deadlineShare": 0.7}, {"name": "x", "service": "x", "path": "/x", "deadlineShare": 0.7`, `pipelines[0].stages: expected deadline shares of at most 1 together, found 1.4`},
		"repeated stage name":      {`"name": "generate"`, `"name": "encode"`, `:6: pipelines[0].stages[1].name: expected each stage name once`},
		"path":                     {`"/encode"`, `"encode"`, `pipelines[0].stages[0].path: expected an HTTP path`},
		"model version":            {`"version": "1"`, `"version": "1@2"`, `:2: models[0].version: expected 1 to 64 printable`},
		"hedge quantile":           {`0.95`, `95`, `upstreamPolicies[0].hedgeQuantile: expected 0.5 to 0.9999, found 95`},
		"repeated model name":      {`"models": [{`, `"models": [{"name": "m", "version": "2"}, {`, `models[1].name: expected each model once, found a second "m"`},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			text := strings.Replace(sample, tt.old, tt.text, 1)
			is.True(text != sample)
			s, err := Read(writeFiles(t, map[string]string{"a.json": text}))
			is.NoErr(err)
			err = s.Locate(Check(s.Set))
			is.True(errors.Is(err, jsonc.ErrInvalid))
			is.True(strings.Contains(err.Error(), tt.want)) // the expected problem
		})
	}
}

// Problems are found in the set that is merged from all files of a folder. They must be reported with the file and the
// position in it, and problems of several files must be reported together.
func TestReadFolderLocatesProblems(t *testing.T) {
	is := is.New(t)
	second := `{"contracts": [
		{"workspace": "museum", "keys": [{"id": "k1", "sha256": "2c26b46b68ffc68ff99b453c1d30413413422d706483bfa0f98a5e886266e7ae"}],
			"pipelines": ["guide"], "models": ["m"], "rate": {"perSecond": 5, "burst": 10}, "concurrency": 4}]}`
	s, err := Read(writeFiles(t, map[string]string{"a.json": sample, "sub/b.json": second}))
	is.NoErr(err)
	problems := Check(s.Set)
	is.Equal(len(problems), 1)
	is.Equal(problems[0].String(), `contract "museum": keys[0].sha256: expected a key of one workspace, found a key of "hostel"`)
	is.True(strings.HasSuffix(s.Locate(problems).Error(), `b.json:2: contracts[0].keys[0].sha256: expected a key of one workspace, found a key of "hostel"`))

	_, err = Read(writeFiles(t, map[string]string{"a.json": `{"contract": []}`, "b.json": `{"pipelines": 1}`}))
	var all *jsonc.Error
	is.True(errors.As(err, &all))
	is.Equal(len(all.Problems), 2)

	_, err = Read(t.TempDir())
	is.True(errors.Is(err, ErrNoFile))
}

// plantainctl shows the result of Diff to operators. It must report shortened lists and added and removed declarations.
// Apply must not modify the current configuration.
func TestDiffAndApply(t *testing.T) {
	is := is.New(t)
	pipeline := func(name, service string, stages ...string) wire.Pipeline {
		p := wire.Pipeline{Name: name}
		for _, s := range stages {
			p.Stages = append(p.Stages, wire.Stage{Name: s, Service: service})
		}
		return p
	}
	base := wire.Declarations{
		Pipelines: []wire.Pipeline{pipeline("b", "x", "s"), pipeline("a", "x", "s", "t"), pipeline("d", "x", "s")},
		Models:    []wire.Model{{Name: "m", Version: "1"}},
	}
	set := wire.Declarations{Pipelines: []wire.Pipeline{pipeline("a", "y", "s"), pipeline("c", "x", "s")}}
	after := Apply(base, set, []wire.DeclarationName{{Kind: KindPipeline, Name: "b"}, {Kind: KindModel, Name: "other"}})
	is.Equal(len(after.Models), 1)
	is.Equal(Diff(base, base), nil)
	is.Equal(Diff(base, after), []Change{
		{Kind: KindPipeline, Name: "a", Action: ActionChange, Fields: []FieldChange{
			{Field: "stages[0].service", Old: `"x"`, New: `"y"`},
			{Field: "stages[1]", Old: marshalText(reflect.ValueOf(base.Pipelines[1].Stages[1]))},
		}},
		{Kind: KindPipeline, Name: "b", Action: ActionRemove},
		{Kind: KindPipeline, Name: "c", Action: ActionAdd},
	})
	is.Equal(base.Pipelines[0].Name, "b") // base is not modified
}

package declaration

import (
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// lintSample is a set without findings. Test cases replace parts of it and expect findings on certain lines.
const lintSample = `{
	"models": [
		{"name": "m", "version": "1"},
	],
	"pipelines": [
		{"name": "guide", "stages": [
			{"name": "encode", "service": "encoder", "path": "/encode", "idempotent": true, "deadlineShare": 0.2},
			{"name": "generate", "service": "phrase", "path": "/generate", "idempotent": true, "streams": true, "usesModel": true, "deadlineShare": 0.7},
		]},
		{"name": "buy", "stages": [{"name": "charge", "service": "accounts", "path": "/charge"}]},
	],
	"upstreamPolicies": [
		{"service": "phrase", "hedgeQuantile": 0.95},
		{"service": "accounts", "queueLimit": 10},
	],
	"contracts": [
		{
			"workspace": "hostel",
			"keys": [{"id": "k1", "sha256": "2c26b46b68ffc68ff99b453c1d30413413422d706483bfa0f98a5e886266e7ae"}],
			"pipelines": ["guide", "buy"], "models": ["m"],
			"rate": {"perSecond": 5, "burst": 10}, "concurrency": 4,
			"budget": {"units": 100},
		},
	],
}`

// lintText returns the findings of a text, one per line with the line in the file.
func lintText(t *testing.T, text string) string {
	t.Helper()
	s, err := Read(writeFiles(t, map[string]string{"a.json": text}))
	is.New(t).NoErr(err)
	return locatedText(s, Lint(s.Set))
}

// locatedText formats findings as "LINE: SEVERITY: FIELD: expected EXPECTED, found FOUND [RULE]".
func locatedText(s *Source, findings []Finding) string {
	var out strings.Builder
	for _, f := range findings {
		p := s.LocateFinding(f)
		place := "in force " + f.Name
		if p.File != "" {
			place = strconv.Itoa(p.Line)
		}
		p.File = ""
		out.WriteString(place + ": " + string(f.Severity) + ": " + p.String() + " [" + f.Rule + "]\n")
	}
	return out.String()
}

// TestLintFindsContradictions replaces one part of a set without findings in each case. Lint must report exactly the
// expected finding with its line; a second one would bury it.
func TestLintFindsContradictions(t *testing.T) {
	is.New(t).Equal(lintText(t, lintSample), "")
	policy, contract := `"queueLimit": 10`, `"concurrency": 4`
	tests := map[string]struct{ old, text, want string }{
		"error of the check": {contract, `"concurrency": 0`, `21: error: contracts[0].concurrency: expected 1 to 1000000, found 0 [invalid]`},
		"burst below one":    {`"burst": 10`, `"burst": 0`, `21: error: contracts[0].rate.burst: expected 1 to 1e+09, found 0 [invalid]`},
		"unknown pipeline":   {`"guide", "buy"]`, `"guide", "buy", "tour"]`, `20: error: contracts[0].pipelines[2]: expected a declared pipeline, found "tour" [invalid]`},
		"budget":             {`"units": 100`, `"units": 99`, `20: error: contracts[0].pipelines[0]: expected a pipeline of at most 1.98 cost units, 2% of budget.units (99), found "guide" of 2 [budget-below-request]`},
		"unused pipeline": {`{"name": "buy", "stages"`, `{"name": "old", "stages": [{"name": "x", "service": "accounts", "path": "/x"}]},
			{"name": "buy", "stages"`, `10: warning: pipelines[1].name: expected a pipeline that a contract allows, found "old", which no contract allows [unused-pipeline]`},
		"unused model": {`"version": "1"},`, `"version": "1"},
			{"name": "n", "version": "1"},`, `4: warning: models[1].name: expected a model that a contract allows, found "n", which no contract allows [unused-model]`},
		"no replicas":        {`"version": "1"`, `"version": "1", "replicas": 0`, `3: warning: models[0].replicas: expected at least 1, since contract "hostel" allows the model, found 0 [no-replicas]`},
		"needless model":     {`"usesModel": true, `, ``, `20: warning: contracts[0].models: expected none, since no pipeline of the contract uses a model, found "m" [unused-model]`},
		"unused policy":      {`{"service": "accounts"`, `{"service": "account"`, `14: warning: upstreamPolicies[1].service: expected a service that a stage names, found "account", which no stage names [unused-policy]`},
		"default policy":     {policy, `"queueLimit": 1000`, `14: warning: upstreamPolicies[1]: expected a value that differs from the defaults, found only default values [no-effect]`},
		"share left":         {`"deadlineShare": 0.2`, `"deadlineShare": 0`, ``},
		"share of all":       {`"idempotent": true, "deadlineShare": 0.2},`, `"idempotent": true, "deadlineShare": 0.3}, {"name": "x", "service": "encoder", "path": "/x", "idempotent": true, "costUnits": 0},`, `7: warning: pipelines[0].stages[1].deadlineShare: expected more than 0, since the other stages plan the whole deadline, found 0 [deadline-share]`},
		"deadline":           {contract, contract + `, "defaultDeadlineMs": 5000`, `21: warning: contracts[0].defaultDeadlineMs: expected more than 5000, silentAfterMs of service "encoder": a silent upstream is otherwise not noticed before the deadline, found 5000 [deadline-below-timeout]`},
		"long deadline":      {contract, contract + `, "maxDeadlineMs": 9000`, `21: warning: contracts[0].maxDeadlineMs: expected at least 10000, the sum of silentAfterMs over the stages of pipeline "guide", found 9000 [deadline-below-timeout]`},
		"retries":            {policy, policy + `, "maxAttempts": 7`, `14: warning: upstreamPolicies[1].maxAttempts: expected attempts that fit the longest deadline, 30000 ms of contract "hostel", found 7, of which the last starts 30000 ms after the first if upstreams are silent [retry-exceeds-deadline]`},
		"no retry budget":    {policy, policy + `, "retryBudget": 0`, `14: warning: upstreamPolicies[1].retryBudget: expected more than 0, since maxAttempts is 2, found 0 [no-retry]`},
		"no retries":         {policy, policy + `, "retryBudget": 0.3, "maxAttempts": 1`, `14: warning: upstreamPolicies[1].maxAttempts: expected more than 1, since retryBudget is 0.3, found 1 [no-retry]`},
		"no ejection":        {policy, policy + `, "maxEjectedShare": 0`, `14: warning: upstreamPolicies[1].maxEjectedShare: expected more than 0: with 0, no upstream is ever ejected, found 0 [no-ejection]`},
		"hedge once":         {`"hedgeQuantile": 0.95`, `"hedgeQuantile": 0.95, "maxAttempts": 1`, `13: warning: upstreamPolicies[0].hedgeQuantile: expected 0, since maxAttempts is 1, found 0.95 [no-hedge]`},
		"hedge at most once": {policy, policy + `, "hedgeQuantile": 0.9`, `14: warning: upstreamPolicies[1].hedgeQuantile: expected 0, since no stage of the service is idempotent, found 0.9 [no-hedge]`},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			text := strings.Replace(lintSample, tt.old, tt.text, 1)
			is.True(text != lintSample)
			is.Equal(strings.TrimSuffix(lintText(t, text), "\n"), tt.want)
		})
	}
}

// TestLintFindsEachOfSeveral covers findings that come with another one.
func TestLintFindsEachOfSeveral(t *testing.T) {
	tests := map[string]struct{ old, text, want string }{
		"duplicate pipeline": {`{"name": "buy", "stages"`, `{"name": "pay", "stages": [{"name": "charge", "service": "accounts", "path": "/charge"}]},
			{"name": "buy", "stages"`, `11: warning: pipelines[2].stages: expected stages that differ from those of other pipelines, found the stages of pipeline "pay" [duplicate-pipeline]`},
		"policy of an unused pipeline": {`"guide", "buy"]`, `"guide"]`, `14: warning: upstreamPolicies[1].service: expected a service of a pipeline that a contract allows, found "accounts", which only pipelines such as "buy" name, that no contract allows [unused-policy]`},
		"nothing idempotent":           {`["guide", "buy"], "models": ["m"]`, `["buy"], "serveIdempotentWhenCutOff": true`, `20: warning: contracts[0].serveIdempotentWhenCutOff: expected false, since no pipeline of the contract is idempotent, found true [no-effect]`},
		"nothing stored":               {`["guide", "buy"]`, `["guide"], "maxResultBytes": 100`, `20: warning: contracts[0].maxResultBytes: expected none, since all pipelines of the contract are idempotent and store no result, found 100 [unused-limit]`},
		"hedge without budget":         {`"hedgeQuantile": 0.95`, `"hedgeQuantile": 0.95, "retryBudget": 0`, `13: warning: upstreamPolicies[0].hedgeQuantile: expected 0, since retryBudget is 0, found 0.95 [no-hedge]`},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			text := strings.Replace(lintSample, tt.old, tt.text, 1)
			is.True(text != lintSample)
			got := lintText(t, text)
			t.Log(got)
			is.True(strings.Contains(got, tt.want+"\n"))
		})
	}
}

// TestLintChangeCountsDeclarationsInForce guards against references to declarations in force that are reported as
// missing, and against a change whose effect on a declaration in force goes unnoticed.
func TestLintChangeCountsDeclarationsInForce(t *testing.T) {
	is := is.New(t)
	base, err := Read(writeFiles(t, map[string]string{"a.json": strings.Replace(lintSample, `"queueLimit": 10`, `"queueLimit": 1000`, 1)}))
	is.NoErr(err)
	change, err := Read(writeFiles(t, map[string]string{"b.json": `{"upstreamPolicies": [
		{"service": "encoder", "silentAfterMs": 8000, "maxEjectedShare": 0}]}`}))
	is.NoErr(err)
	is.Equal(locatedText(change, LintChange(base.Set, change.Set)), // the policy of only default values is in force already
		`in force hostel: warning: defaultDeadlineMs: expected more than 8000, silentAfterMs of service "encoder": a silent upstream is otherwise not noticed before the deadline, found 6000 [deadline-below-timeout]
2: warning: upstreamPolicies[0].maxEjectedShare: expected more than 0: with 0, no upstream is ever ejected, found 0 [no-ejection]
`)
	is.Equal(len(LintChange(Empty(), change.Set)), 1) // no stage names the service
}

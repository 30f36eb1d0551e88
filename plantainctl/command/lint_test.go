package command

import (
	"encoding/json"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestLint checks the exit code and output of lint: warnings and errors have different codes, a finding names file and
// line, and an instance is only called if one is given.
func TestLint(t *testing.T) {
	good := writeTempFile(t, declarations)
	bad := writeTempFile(t, strings.Replace(declarations, `"concurrency": 4`, `"concurrency": 0`, 1))
	broken := writeTempFile(t, declarations+"}")
	policy := writeTempFile(t, `{"upstreamPolicies": [{"service": "encoder", "maxEjectedShare": 0}]}`)
	both := strings.Replace(declarations, `}]
}`, `}], "upstreamPolicies": [{"service": "encoder", "maxEjectedShare": 0}]}`, 1)
	taken := writeTempFile(t, strings.Replace(declarations, `"2c26b46b`, `"00000000`, 1))
	// The key of museum is also that of the contract in taken.
	inForce := strings.Replace(current, `"contracts": []`, `"contracts": [{"workspace": "museum", "pipelines": ["guide"], "concurrency": 1,
		"keys": [{"id": "k1", "sha256": "0000000068ffc68ff99b453c1d30413413422d706483bfa0f98a5e886266e7ae"}], "rate": {"perSecond": 1, "burst": 1}, "tokens": {"perSecond": 1, "burst": 1},
		"defaultDeadlineMs": 9000, "maxDeadlineMs": 9000, "budget": {"periodHours": 1}, "maxBodyBytes": 1, "maxResultBytes": 65536}]`, 1)
	inForce = strings.Replace(inForce, `"pipelines": [],`,
		`"pipelines": [{"name": "guide", "stages": [{"name": "encode", "service": "encoder", "path": "/encode", "idempotent": true, "costUnits": 1}]}],`, 1)
	tests := map[string]struct {
		args []string
		code int
		out  []string
	}{
		"clean":            {[]string{"lint", "--offline", good}, 0, []string{"0 errors, 0 warnings\n"}},
		"several files":    {[]string{"lint", "--offline", good, policy}, 9, []string{policy + ":1: warning: upstreamPolicies[0].maxEjectedShare: expected more than 0", "[no-ejection]", "0 errors, 1 warnings\n"}},
		"warning":          {[]string{"lint", "--offline", writeTempFile(t, both)}, 9, []string{":4: warning: ", "0 errors, 1 warnings\n"}},
		"error":            {[]string{"lint", "--offline", bad}, 4, []string{bad + ":4: error: contracts[0].concurrency: expected 1 to 1000000, found 0 [invalid]", "invalid declarations"}},
		"syntax":           {[]string{"lint", broken}, 4, []string{broken + ":5: error: ", "[syntax]"}},
		"unreadable":       {[]string{"lint", "absent"}, 1, []string{"absent"}},
		"no path":          {[]string{"lint"}, 2, []string{"lint takes PATH..."}},
		"with an instance": {[]string{"lint", good}, 0, []string{"+ contract hostel", "0 errors, 0 warnings, 1 differences from revision 12\n"}},
		"in force":         {[]string{"lint", taken}, 4, []string{`in force, contract "museum": error: keys[0].sha256: expected a key of one workspace, found a key of "hostel" [invalid]`}},
		"prune":            {[]string{"lint", "--prune", good}, 0, []string{"- model old", "- contract museum", "3 differences from revision 12"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			got, f := runCommand(t, map[string][]answer{"GET /v1/declarations": {{200, inForce}}}, tt.args...)
			is.Equal(got.code, tt.code)
			for _, part := range tt.out {
				is.True(strings.Contains(got.out+got.err, part)) // what is printed
			}
			if slices.Contains(tt.args, "--offline") {
				is.Equal(len(f.received("GET /v1/declarations")), 0)
			}
		})
	}
}

// TestLintAsJSON guards scripts against findings without severity, rule or position.
func TestLintAsJSON(t *testing.T) {
	is := is.New(t)
	path := writeTempFile(t, strings.Replace(declarations, `"concurrency": 4`, `"concurrency": 4, "maxResultBytes": 9`, 1))
	got, _ := runCommand(t, nil, "lint", "--offline", "--json", path)
	is.Equal(got.code, 9)
	var result map[string]any
	is.NoErr(json.Unmarshal([]byte(got.out), &result))
	is.Equal(result["warnings"], 1.0)
	is.Equal(result["changes"], []any{})
	f := result["findings"].([]any)[0].(map[string]any)
	is.Equal(f["severity"], "warning")
	is.Equal(f["rule"], "unused-limit")
	is.Equal(f["kind"], "contract")
	is.Equal(f["name"], "hostel")
	is.Equal(f["file"], path)
	is.Equal(f["line"], 4.0)
	is.Equal(f["field"], "contracts[0].maxResultBytes")
}

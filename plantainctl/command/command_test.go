package command

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"

	"plantainlane/wire"
)

const declarations = `{
	"pipelines": [{"name": "guide", "stages": [{"name": "encode", "service": "encoder", "path": "/encode", "idempotent": true}]}],
	"contracts": [{"workspace": "hostel", "keys": [{"id": "k1", "sha256": "2c26b46b68ffc68ff99b453c1d30413413422d706483bfa0f98a5e886266e7ae"}],
		"pipelines": ["guide"], "rate": {"perSecond": 5, "burst": 10}, "concurrency": 4}]
}`

// fakeInstance answers the calls of each method and path with the listed answers in order, and repeats the last one.
// The keys of both maps are a method and a path, such as "GET /v1/status".
type fakeInstance struct {
	mu      sync.Mutex
	answers map[string][]answer
	// bodies holds the body of each received call, followed by its query.
	bodies map[string][]string
}

type answer struct {
	status int
	body   string
}

// received returns the body and query of each received call. It locks, since a call whose client has timed out may
// still arrive.
func (f *fakeInstance) received(call string) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.bodies[call])
}

func (f *fakeInstance) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	call := r.Method + " " + r.URL.Path
	var body bytes.Buffer
	_, _ = body.ReadFrom(r.Body)
	f.bodies[call] = append(f.bodies[call], body.String()+r.URL.RawQuery)
	list := f.answers[call]
	if len(list) == 0 {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if len(list) > 1 {
		f.answers[call] = list[1:]
	}
	w.WriteHeader(list[0].status)
	_, _ = w.Write([]byte(list[0].body))
}

type result struct {
	code     int
	out, err string
}

// runCommand runs args against a fakeInstance with the answers, with "foo" as standard input.
func runCommand(t *testing.T, answers map[string][]answer, args ...string) (result, *fakeInstance) {
	t.Helper()
	f := &fakeInstance{answers: answers, bodies: map[string][]string{}}
	s := httptest.NewServer(f)
	t.Cleanup(s.Close)
	t.Setenv(envInstances, strings.TrimPrefix(s.URL, "http://"))
	t.Setenv(envCredential, "secret")
	var out, errOut bytes.Buffer
	code := Run(context.Background(), append([]string{"plantainctl"}, args...), strings.NewReader("foo\n"), &out, &errOut)
	return result{code, out.String(), errOut.String()}, f
}

// writeTempFile writes text to a new file and returns its path.
func writeTempFile(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "declarations.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// current is the body of an answer to GET /v1/declarations.
const current = `{"revision": 12, "set": {"contracts": [], "models": [{"name": "old", "version": "1", "adapters": [], "replicas": 1, "loadCost": 1}],
	"pipelines": [], "upstreamPolicies": []}}`

// TestApply checks the exit code and output for each outcome of a change, and that a pending or failed change is
// polled or resent with the same change ID and base revision.
func TestApply(t *testing.T) {
	get := answer{200, current}
	tests := map[string]struct {
		post, poll []answer
		args       []string
		code       int
		out        string
	}{
		"accepted":     {post: []answer{{200, `{"state":"accepted","revision":13}`}}, code: 0, out: "accepted: revision 13"},
		"pending once": {post: []answer{{202, `{"state":"pending"}`}}, poll: []answer{{202, `{"state":"pending"}`}, {200, `{"state":"accepted","revision":13}`}}, code: 0, out: "accepted"},
		"sent twice":   {post: []answer{{503, `{"detail":"no leader"}`}, {200, `{"state":"accepted","revision":13}`}}, code: 0, out: "accepted"},
		"conflict":     {post: []answer{{412, `{"state":"conflict","currentRevision":14}`}}, code: 3, out: "revision is 14"},
		"invalid":      {post: []answer{{422, `{"state":"invalid","problems":["contract \"hostel\": no"]}`}}, code: 4, out: `contract "hostel": no`},
		"unknown":      {post: []answer{{202, `{"state":"pending"}`}}, poll: []answer{{202, `{"state":"pending"}`}}, args: []string{"--wait", "1ms"}, code: 5, out: "change c1"},
		"unauthorized": {post: []answer{{401, `{"detail":"who"}`}}, code: 6, out: "who"},
		"dry run":      {post: []answer{{200, `{"state":"valid"}`}}, args: []string{"--dry-run"}, code: 0, out: "valid"},
		"as JSON":      {post: []answer{{412, `{"state":"conflict","currentRevision":14}`}}, args: []string{"--json"}, code: 3, out: `"currentRevision": 14`},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			answers := map[string][]answer{
				"GET /v1/declarations": {get},
				"POST /v1/changes":     tt.post,
				"GET /v1/changes/c1":   tt.poll,
			}
			args := append([]string{"apply", "--change-id", "c1"}, tt.args...)
			got, f := runCommand(t, answers, append(args, writeTempFile(t, declarations))...)
			is.Equal(got.code, tt.code)
			is.True(strings.Contains(got.out+got.err, tt.out)) // what is printed
			for _, b := range f.received("POST /v1/changes") {
				var sent wire.ChangeSet
				is.NoErr(json.Unmarshal([]byte(b), &sent))
				is.Equal(sent.ChangeID, "c1")
				is.Equal(sent.BaseRevision, 12)
				is.Equal(sent.Set.Contracts[0].Priority, 5) // the default, which plantainctl fills in
			}
		})
	}
}

// TestApplyPruneRemovesMissingDeclarations guards against a --prune that leaves declarations in force which the file
// lacks, and against a --base that is replaced by the current revision.
func TestApplyPruneRemovesMissingDeclarations(t *testing.T) {
	is := is.New(t)
	answers := map[string][]answer{
		"GET /v1/declarations": {{200, current}},
		"POST /v1/changes":     {{200, `{"state":"accepted"}`}},
	}
	got, f := runCommand(t, answers, "apply", "--prune", "--base", "3", writeTempFile(t, declarations))
	is.Equal(got.code, 0)
	var sent wire.ChangeSet
	is.NoErr(json.Unmarshal([]byte(f.received("POST /v1/changes")[0]), &sent))
	is.Equal(sent.Remove, []wire.DeclarationName{{Kind: "model", Name: "old"}})
	is.Equal(sent.BaseRevision, 3)
	is.True(sent.ChangeID != "")
}

// TestCommands checks the exit code and output of each command, and that none prints the credential.
func TestCommands(t *testing.T) {
	status := `{"revision":7,"acceptedRevision":6,"leader":"a","term":2,
		"instances":[{"info":{"id":"a","zone":"z1","region":"r","draining":true},"lease":"held","appliedRevision":7,"replica":"voter","leader":true}],
		"upstreams":[{"announcement":{"id":"u1","service":"phrase","leaving":true},"ejected":false}]}`
	answers := func() map[string][]answer {
		return map[string][]answer{
			"GET /v1/status":               {{200, status}, {200, `{"instances":[]}`}},
			"GET /v1/declarations":         {{200, current}},
			"POST /v1/instances/a/drain":   {{202, ""}},
			"GET /v1/cost":                 {{200, `{"rows":[{"workspace":"hostel","pipeline":"guide","stage":"encode","requests":2,"attempts":3,"units":2,"wastedUnits":1}],"pendingInstances":["b"]}`}},
			"GET /v1/timeline":             {{200, `{"dropped":1,"unreachable":["c"],"events":[{"time":{"wallMs":2,"logical":0},"instance":"b","kind":"second"},{"time":{"wallMs":1,"logical":3},"instance":"a","kind":"first"}]}`}},
			"POST /v1/instances/zzz/drain": {{404, `{"detail":"no such instance"}`}},
		}
	}
	good, bad := writeTempFile(t, declarations), writeTempFile(t, strings.Replace(declarations, `"concurrency": 4`, `"concurrency": 0`, 1))
	unknown := writeTempFile(t, strings.Replace(declarations, `"pipelines": ["guide"]`, `"pipelines": ["tour"]`, 1))
	tests := map[string]struct {
		args []string
		code int
		out  []string
	}{
		"validate":           {[]string{"validate", good}, 0, []string{"valid: 1 contracts, 0 models, 1 pipelines"}},
		"validate bad":       {[]string{"validate", bad}, 4, []string{":4: contracts[0].concurrency: expected 1 to 1000000, found 0"}},
		"validate as JSON":   {[]string{"validate", "--json", bad}, 4, []string{`"field": "contracts[0].concurrency"`, `"line": 4`}},
		"validate unknown":   {[]string{"validate", unknown}, 4, []string{`expected a declared pipeline, found "tour"`}},
		"validate partial":   {[]string{"validate", "--partial", unknown}, 0, []string{"valid"}},
		"validate no file":   {[]string{"validate", "absent"}, 1, []string{"absent"}},
		"validate no path":   {[]string{"validate"}, 2, []string{"validate takes PATH, got 0 arguments"}},
		"unknown command":    {[]string{"aply"}, 2, []string{`unknown command "aply"`}},
		"unknown flag":       {[]string{"status", "--what"}, 2, []string{"-what"}},
		"diff":               {[]string{"diff", good}, 0, []string{"+ contract hostel", "2 differences from revision 12"}},
		"diff prune":         {[]string{"diff", "--prune", "--exit-code", good}, 8, []string{"- model old", "3 differences"}},
		"diff files":         {[]string{"diff", "--exit-code", "--json", good, good}, 0, []string{`"changes": []`}},
		"get":                {[]string{"get"}, 0, []string{`"name": "old"`}},
		"get kind":           {[]string{"get", "contract"}, 0, []string{`"models": []`}},
		"get name":           {[]string{"get", "--json", "model", "old"}, 0, []string{`"revision": 12`, `"name": "old"`}},
		"get absent":         {[]string{"get", "model", "none"}, 7, []string{"none"}},
		"get unknown kind":   {[]string{"get", "models"}, 2, []string{"is none of contract, model"}},
		"status":             {[]string{"status"}, 0, []string{"revision 7, in force everywhere 6, leader a", "draining", "leaving"}},
		"status as JSON":     {[]string{"status", "--json"}, 0, []string{`"acceptedRevision": 6`}},
		"drain":              {[]string{"drain", "a"}, 0, []string{"a: draining"}},
		"drain and wait":     {[]string{"drain", "--wait", "1m", "a"}, 0, []string{"a: gone"}},
		"drain unknown":      {[]string{"drain", "zzz"}, 7, []string{"no such instance"}},
		"cost":               {[]string{"cost"}, 0, []string{"hostel     guide     encode  2         3         2      1", "missing of: b"}},
		"timeline":           {[]string{"timeline"}, 0, []string{"1970-01-01T00:00:00.001Z+3 a first\n1970-01-01T00:00:00.002Z b second", "1 events dropped, instances not reached: c"}},
		"timeline bad limit": {[]string{"timeline", "--limit", "0"}, 2, []string{"--limit"}},
		"hash-key":           {[]string{"hash-key"}, 0, []string{"2c26b46b68ffc68ff99b453c1d30413413422d706483bfa0f98a5e886266e7ae"}},
		"hash-key generate":  {[]string{"hash-key", "--generate", "--json"}, 0, []string{`"key": "`}},
		"completion":         {[]string{"completion", "bash"}, 0, []string{"plantainctl"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			got, _ := runCommand(t, answers(), tt.args...)
			is.Equal(got.code, tt.code)
			for _, part := range tt.out {
				is.True(strings.Contains(got.out+got.err, part)) // what is printed
			}
			is.True(!strings.Contains(got.out+got.err, "secret"))
		})
	}
}

// TestTimelineWritesHTML checks the query of the filters and that the page holds a drawing.
func TestTimelineWritesHTML(t *testing.T) {
	is := is.New(t)
	page := filepath.Join(t.TempDir(), "page.html")
	answers := map[string][]answer{"GET /v1/timeline": {{200, `{"events":[{"time":{"wallMs":2},"instance":"b","kind":"x"}]}`}}}
	got, f := runCommand(t, answers, "timeline", "--html", page, "--request", "r", "--on", "b", "--limit", "5")
	is.Equal(got.code, 0)
	is.Equal(f.received("GET /v1/timeline"), []string{"instance=b&limit=5&request=r"})
	text, err := os.ReadFile(page)
	is.NoErr(err)
	is.True(strings.Contains(string(text), "<svg"))
}

// TestConnectionSettings checks that a missing address or credential is a usage error (2), and that an instance which
// can't be reached is another failure (1).
func TestConnectionSettings(t *testing.T) {
	is := is.New(t)
	t.Setenv(envInstances, "")
	var out bytes.Buffer
	is.Equal(Run(context.Background(), []string{"plantainctl", "status"}, nil, &out, &out), 2)
	is.Equal(Run(context.Background(), []string{"plantainctl", "-i", "127.0.0.1:1", "status"}, nil, &out, &out), 2)
	is.True(strings.Contains(out.String(), "no --credential-file is given"))
	secret := writeTempFile(t, "secret\n")
	is.Equal(Run(context.Background(), []string{"plantainctl", "-i", "127.0.0.1:1", "--credential-file", secret, "status"}, nil, &out, &out), 1)
}

// TestTimelineFollowPrintsEachEventOnce guards against events that are lost because they arrive after newer ones, and
// against events that are printed twice because polls overlap.
func TestTimelineFollowPrintsEachEventOnce(t *testing.T) {
	is := is.New(t)
	event := func(wall int, kind string) string {
		return fmt.Sprintf(`{"time":{"wallMs":%d,"logical":0},"instance":"a","kind":%q}`, wall, kind)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	polls := []string{
		event(10_000, "first"),
		event(10_000, "first") + "," + event(9_000, "late") + "," + event(20_000, "second"),
		event(20_000, "second"),
	}
	var queries []string
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n := min(len(queries), len(polls)-1)
		queries = append(queries, r.URL.Query().Get("sinceMs"))
		_, _ = w.Write([]byte(`{"events":[` + polls[n] + `]}`))
		if len(queries) > len(polls) {
			cancel()
		}
	}))
	defer s.Close()
	t.Setenv(envCredential, "secret")
	var out, errOut bytes.Buffer
	code := Run(ctx, []string{"plantainctl", "-i", strings.TrimPrefix(s.URL, "http://"), "timeline", "--follow"}, nil, &out, &errOut)
	is.Equal(code, 0)
	is.Equal(strings.Count(out.String(), "first"), 1)
	is.Equal(strings.Count(out.String(), "late"), 1)
	is.Equal(strings.Count(out.String(), "second"), 1)
	is.Equal(queries[:4], []string{"", "5000", "15000", "15000"}) // 5 s before the newest event
}

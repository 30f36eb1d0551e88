package settings

import (
	"fmt"
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"plantainlane/wire/jsonc"
)

// minimal is a settings file with the required fields only. The tests below refer to its lines by number.
const minimal = `{
	// An instance without a disk.
	"instance": {"id": "a", "zone": "z1", "region": "r"},
	"listen": {"callers": "127.0.0.1:7001", "upstreams": "127.0.0.1:7002", "operators": "127.0.0.1:7003", "peers": "0.0.0.0:7004"},
	"advertise": {"peers": "127.0.0.1:7004"},
	"credentials": {
		"peer": "0123456789abcdef",
		"operators": [{"name": "ops", "sha256": "2c26b46b68ffc68ff99b453c1d30413413422d706483bfa0f98a5e886266e7ae"}],
	},
}`

// load writes text to a file and loads it.
func load(t *testing.T, text string) (*Settings, error) {
	t.Helper()
	file := filepath.Join(t.TempDir(), "settings.json")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return Load(file)
}

func TestLoadFillsDefaults(t *testing.T) {
	is := is.New(t)
	s, err := load(t, minimal)
	is.NoErr(err)
	is.Equal(s.Data, nil)
	is.Equal(s.Control.Lease.Value(), 10*time.Second)
	is.Equal(s.Advertise.Callers, "127.0.0.1:7001")
	is.Equal(s.Advertise.Peers, "127.0.0.1:7004")
	is.True(!strings.Contains(fmt.Sprintf("%+v %#v", *s, *s), "0123456789abcdef")) // secrets aren't printed

	s, err = load(t, strings.Replace(minimal, `"advertise"`, `"data": {"folder": "d"}, "advertise"`, 1))
	is.NoErr(err)
	is.Equal(*s.Data, Data{Folder: "d", Voters: 3})
}

// TestLoadRefuses changes one value of a valid file in each case. The problem must name the line, the field and what
// was expected, and must not show the peer credential.
func TestLoadRefuses(t *testing.T) {
	tests := map[string]struct{ old, text, want string }{
		"host name":           {"127.0.0.1:7001", "localhost:7001", `:4: listen.callers: expected an IP number and a port`},
		"no port":             {"127.0.0.1:7001", "127.0.0.1", `listen.callers: expected an IP number and a port`},
		"same address":        {"127.0.0.1:7002", "127.0.0.1:7001", `listen.upstreams: expected another address than listen.callers`},
		"no address to reach": {`"peers": "127.0.0.1:7004"`, ``, `advertise.peers: expected the IP number that others connect to`},
		"empty ID":            {`"id": "a"`, `"id": ""`, `:3: instance.id: expected 1 to 64 of`},
		"missing zone":        {`"zone": "z1",`, ``, `:3: instance.zone: expected 1 to 64 of`},
		"hash not hex":        {"2c26b46b", "2c26b46g", `:8: credentials.operators[0].sha256: expected 64 lower-case hexadecimal digits`},
		"short secret":        {"0123456789abcdef", "0123456789", `:7: credentials.peer: expected at least 16 characters, found 10`},
		"unknown field":       {`"advertise"`, `"advertize"`, `:5: advertize: expected one of advertise,`},
		"lease too short":     {`"advertise"`, `"control": {"lease": "2s"}, "advertise"`, `control.lease: expected more than twice control.electionTimeout, found 2s`},
		"silentAfter too low": {`"advertise"`, `"control": {"silentAfter": "900ms"}, "advertise"`, `control.silentAfter: expected at least twice control.heartbeat, found 900ms`},
		"duration as number":  {`"advertise"`, `"entry": {"keepFor": 10}, "advertise"`, `entry.keepFor: expected a string, found 10`},
		"duration not parsed": {`"advertise"`, `"entry": {"keepFor": "10"}, "advertise"`, `entry.keepFor: expected a duration such as "500ms" or "10s", found "10"`},
		"negative duration":   {`"advertise"`, `"entry": {"drainLimit": "-1s"}, "advertise"`, `entry.drainLimit: expected 1ms to 24h0m0s, found -1s`},
		"even voters":         {`"advertise"`, `"data": {"folder": "d", "voters": 2}, "advertise"`, `data.voters: expected 1, 3, 5 or 7, found 2`},
		"no folder":           {`"advertise"`, `"data": {}, "advertise"`, `data.folder: expected the path of a folder`},
		"join":                {`"advertise"`, `"join": ["127.0.0.1:7004", "0.0.0.0:1"], "advertise"`, `join[1]: expected an IP number that others can connect to`},
		"log format":          {`"advertise"`, `"log": {"format": "xml"}, "advertise"`, `log.format: expected "json" or "text", found "xml"`},
		"upstream service":    {`"operators": [{`, `"upstreams": [{"name": "u", "services": ["*", "A"]}], "operators": [{`, `credentials.upstreams[0].services[1]: expected 1 to 64`},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			text := strings.Replace(minimal, tt.old, tt.text, 1)
			is.True(text != minimal)
			_, err := load(t, text)
			is.True(errors.Is(err, jsonc.ErrInvalid))
			is.True(strings.Contains(err.Error(), tt.want)) // the expected problem
			is.True(!strings.Contains(err.Error(), "0123456789"))
		})
	}
}

// TestLoadListsAllProblems guards against a check that stops at the first problem, which would make operators correct
// a file one problem at a time.
func TestLoadListsAllProblems(t *testing.T) {
	is := is.New(t)
	_, err := load(t, `{}`)
	var all *jsonc.Error
	is.True(errors.As(err, &all))
	is.True(len(all.Problems) >= 9)
	_, err = Load(filepath.Join(t.TempDir(), "absent.json"))
	is.True(errors.Is(err, os.ErrNotExist))
}

// TestScarcestResourceIsTheCapacity guards against instances that get work for which they lack one of their resources.
func TestScarcestResourceIsTheCapacity(t *testing.T) {
	is := is.New(t)
	capacity := func(cores float64, l Limits) float64 {
		return math.Round((&Settings{Instance: Instance{Cores: cores}, Limits: l}).Capacity()*100) / 100
	}
	is.Equal(capacity(0.48, Limits{MemoryMB: 424, Descriptors: 10_250, LinkMbps: 25}), 0.48)
	is.Equal(capacity(0.512, Limits{MemoryMB: 184, LinkMbps: 100}), 0.19)
	is.Equal(capacity(0.48, Limits{Descriptors: 3075}), 0.14)
	is.Equal(capacity(0.48, Limits{LinkMbps: 7.5}), 0.14)
	is.Equal(capacity(0.48, Limits{}), 0.0) // not known
	is.True(capacity(1, Limits{MemoryMB: 1}) >= 0)
}

package fake

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"plantainlane/standin/chain"
	"plantainlane/wire"
)

// startFake runs a fake on loopback with no service time, which streams its answers to calls of chain.PathGenerate.
func startFake(t *testing.T, options ...Option) *Fake {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := DefaultProfile()
	p.ServiceTime = 0
	p.StreamPaths = []string{chain.PathGenerate}
	f := New("encoder-1", "encoder", l, append([]Option{WithProfile(p)}, options...)...)
	go func() { _ = f.Serve() }()
	t.Cleanup(func() { _ = f.Stop(t.Context()) })
	return f
}

// reply is an answer whose body has been read. err is set if the call failed or the body broke off.
type reply struct {
	status int
	header http.Header
	body   string
	err    error
}

// post sends a call with an attempt ID to a fake.
func post(t *testing.T, f *Fake, path, attempt string) reply {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, "http://"+f.Address()+path, strings.NewReader(`{"q": 1}`))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set(HeaderAttempt, attempt)
	req.Header.Set(HeaderWorkspace, "w")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return reply{err: err}
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return reply{resp.StatusCode, resp.Header, string(b), err}
}

// Each fault changes the answer as ordered, and the ledger counts an execution exactly if the call was run. Otherwise
// experiments would compare the system's costs with a wrong ledger.
func TestCallUnderFault(t *testing.T) {
	digest, err := chain.InputDigest(json.RawMessage(`{"q":1}`))
	if err != nil {
		t.Fatal(err)
	}
	whole, err := json.Marshal(chain.Derive(chain.PathEncode, digest))
	if err != nil {
		t.Fatal(err)
	}
	tests := map[string]struct {
		fault      wire.Fault
		status     int
		execution  string
		attempt    string
		isWhole    bool
		executions int
	}{
		"healthy":        {wire.Fault{}, http.StatusOK, "", "a", true, 1},
		"fails before":   {wire.Fault{FailBeforeShare: 1}, http.StatusServiceUnavailable, NotRun, "a", false, 0},
		"fails after":    {wire.Fault{FailAfterShare: 1}, http.StatusInternalServerError, "", "a", false, 1},
		"late":           {wire.Fault{LateShare: 1, LateMs: 1}, http.StatusOK, "", "a", true, 1},
		"crossed":        {wire.Fault{CrossShare: 1}, http.StatusOK, "", "none", true, 1},
		"truncated":      {wire.Fault{TruncateShare: 1}, http.StatusOK, "", "a", false, 1},
		"closes":         {wire.Fault{CloseShare: 1}, 0, "", "", false, 1},
		"refuses":        {wire.Fault{Refuse: true}, 0, "", "", false, 0},
		"does not renew": {wire.Fault{StopRenewing: true}, http.StatusOK, "", "a", true, 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := startFake(t)
			f.SetFault(tt.fault)
			got := post(t, f, chain.PathEncode, "a")
			is.Equal(got.status, tt.status)
			is.Equal(got.header.Get(HeaderExecution), tt.execution)
			is.Equal(got.header.Get(HeaderAttempt), tt.attempt)
			is.Equal(got.err == nil && got.body == string(whole), tt.isWhole)
			is.Equal(len(NewGroup(f).Ledger(0).Rows), tt.executions)
		})
	}
}

// A truncated stream has tokens but no end event, so that a caller can tell it from a whole stream.
func TestTruncatedStreamHasNoEndEvent(t *testing.T) {
	tests := map[string]struct {
		truncate float64
		ends     int
	}{
		"whole":     {0, 1},
		"truncated": {1, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := startFake(t)
			f.SetFault(wire.Fault{TruncateShare: tt.truncate})
			got := post(t, f, chain.PathGenerate, "a")
			is.True(strings.Count(got.body, "event: token") > 1)
			is.Equal(strings.Count(got.body, "event: end"), tt.ends)
		})
	}
}

// A fault order applies to all fakes, to those that it names, or to a share of them, which is at least one fake. An
// unknown ID is an error.
func TestFaultOrderSelectsFakes(t *testing.T) {
	share := func(s float64) *float64 { return &s }
	tests := map[string]struct {
		order wire.FaultOrder
		want  string
	}{
		"all":         {wire.FaultOrder{}, "a b c"},
		"by ID":       {wire.FaultOrder{Upstreams: []string{"b"}}, "b"},
		"unknown":     {wire.FaultOrder{Upstreams: []string{"d"}}, ""},
		"share":       {wire.FaultOrder{Share: share(0.5)}, "a b"},
		"small share": {wire.FaultOrder{Share: share(0.01)}, "a"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			g := NewGroup()
			for _, id := range []string{"a", "b", "c"} {
				f := startFake(t)
				f.id = id
				g.fakes = append(g.fakes, f)
			}
			ids, err := g.Apply(tt.order)
			is.Equal(strings.Join(ids, " "), tt.want)
			is.Equal(err != nil, tt.want == "")
		})
	}
}

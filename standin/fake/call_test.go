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

type reply struct {
	status int
	header http.Header
	body   string
	err    error
}

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

func TestStream(t *testing.T) {
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

func TestGroupApply(t *testing.T) {
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

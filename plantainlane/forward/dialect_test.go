package forward

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"plantainlane/plantainlane/batch"
	"plantainlane/plantainlane/exchange"
	"plantainlane/plantainlane/roster"
	"plantainlane/plantainlane/route"
	"plantainlane/plantainlane/site"
	"plantainlane/wire"
)

// plainDialect is a dialect with plain header names.
type plainDialect struct{}

func (plainDialect) ReadCall(h http.Header) (Call, error) {
	c := Call{ID: h.Get("X-Id"), Key: h.Get("X-Key"), ResumeAfter: h.Get("X-After"), PieceKey: h.Get("X-Piece-Key")}
	if ms, err := strconv.Atoi(h.Get("X-Patience")); err == nil {
		c.Timeout = time.Duration(ms) * time.Millisecond
	}
	for _, n := range strings.FieldsFunc(h.Get("X-Pieces"), func(r rune) bool { return r == ',' }) {
		pieces, err := strconv.Atoi(n)
		if err != nil {
			return c, ErrBadCall
		}
		c.Pieces = append(c.Pieces, pieces)
	}
	return c, nil
}

func (plainDialect) Prepare(h http.Header, s Send) {
	for _, name := range []string{"X-Key", "Connection", "Content-Length", "Accept-Encoding"} {
		h.Del(name)
	}
	h.Set("X-Upstream", s.Upstream)
	h.Set("X-Workspace", s.Workspace)
	h.Set("X-Left", strconv.FormatInt(s.Left.Milliseconds(), 10))
	h.Set("X-Inputs", strings.Join(s.Inputs, ","))
	h.Set("X-After", s.ResumeAfter)
}

func (plainDialect) ReadAnswer(res *http.Response) Answer {
	return Answer{
		ID: res.Header.Get("X-Id"), NotRun: res.Header.Get("X-Not-Run") != "",
		InputsGone: res.Header.Get("X-Not-Run") != "" && res.StatusCode == http.StatusConflict,
		Genuine:    res.Header.Get("X-Signed") != "", Misdirected: res.StatusCode == http.StatusMisdirectedRequest,
	}
}

func (plainDialect) Refuse(w http.ResponseWriter, _ string, r Refusal) {
	if r.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(r.RetryAfter.Seconds(), 'f', 3, 64))
	}
	w.WriteHeader(r.Status)
	_, _ = io.WriteString(w, r.Reason)
}

// fakeDispatcher makes all pieces at once, unless it is given outcomes.
type fakeDispatcher struct {
	mu       sync.Mutex
	orders   []batch.Job
	released []string
	outcomes []batch.Outcome
}

func (d *fakeDispatcher) Run(_ context.Context, service string, o batch.Job) batch.Outcome {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.orders = append(d.orders, o)
	if len(d.outcomes) > 0 {
		out := d.outcomes[0]
		d.outcomes = d.outcomes[1:]
		return out
	}
	var out batch.Outcome
	for i := range o.Pieces {
		out.Handles = append(out.Handles, service+strconv.Itoa(o.Stage)+"."+strconv.Itoa(i))
	}
	return out
}

func (d *fakeDispatcher) Release(_ string, handles []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.released = append(d.released, handles...)
}

func (d *fakeDispatcher) WaitTimes(string) batch.WaitTimes { return batch.WaitTimes{} }

// world is a server with upstreams.
type world struct {
	t          *testing.T
	server     *Server
	front      *httptest.Server
	dispatcher *fakeDispatcher
	site       *site.Site
	balancer   *route.Balancer
	roster     *roster.Roster
	// arrivals counts the requests that each upstream got.
	mu       sync.Mutex
	arrivals map[string]int
	headers  []http.Header
}

func (w *world) Site() *site.Site       { return w.site }
func (w *world) Upstreams() roster.View { return w.roster.View() }

func newWorld(t *testing.T, r *site.Route) *world {
	t.Helper()
	now := time.Now()
	w := &world{t: t, dispatcher: &fakeDispatcher{}, arrivals: make(map[string]int), roster: roster.New()}
	r.Name, r.Host, r.Prefix, r.Splits = "r", "a.example", "/x/", []site.Split{{Service: "s", Weight: 1}}
	if r.Timeout == 0 {
		r.Timeout = 5 * time.Second
	}
	w.site = &site.Site{Version: 1, Routes: []*site.Route{r}, Services: map[string]*site.Service{"s": {Name: "s"}}, Limits: site.Limits{BodyBytes: 1000}}
	w.site.Compile([]*site.Workspace{{Name: "hostel", Keys: []string{"key"}}})
	w.balancer = route.New(now, "region", "zone")
	w.server = &Server{
		Codec: plainDialect{}, Views: w, Picker: w.balancer, Pool: exchange.NewPool(time.Minute), Dispatcher: w.dispatcher, Zone: "zone",
		Budget: &Budget{Ratio: 1, Allowance: 100, Window: 10 * time.Second, Instances: func() int { return 1 }},
	}
	w.front = httptest.NewServer(w.server)
	t.Cleanup(w.front.Close)
	return w
}

// upstream adds an upstream that answers by a handler.
func (w *world) upstream(id string, handler http.HandlerFunc) {
	s := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		w.mu.Lock()
		w.arrivals[id]++
		w.headers = append(w.headers, r.Header.Clone())
		w.mu.Unlock()
		handler(rw, r)
	}))
	w.t.Cleanup(s.Close)
	a := wire.Announcement{
		ID: id, Service: "s", Address: s.Listener.Addr().String(), Zone: "zone", Region: "region", Capacity: 8,
		Incarnation: 1, Sequence: 1, TTLMs: 60_000,
	}
	_ = w.roster.Announce(a, "", time.Now())
	w.balancer.Apply(time.Now(), a)
}

func (w *world) total() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, a := range w.arrivals {
		n += a
	}
	return n
}

// reply is the head of an answer to a caller.
type reply struct {
	StatusCode int
	Header     http.Header
}

// ask sends a request of a caller.
func (w *world) ask(headers ...string) (*reply, string, error) {
	w.t.Helper()
	req, err := http.NewRequest(http.MethodPost, w.front.URL+"/x/y?z=%2F", strings.NewReader("body"))
	if err != nil {
		w.t.Fatal(err)
	}
	req.Host = "a.example"
	req.Header.Set("X-Id", "id1")
	req.Header.Set("X-Key", "key")
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, "", err
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	return &reply{res.StatusCode, res.Header}, string(body), err
}

// sign answers as the request's own upstream.
func sign(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Id", r.Header.Get("X-Id"))
	w.Header().Set("X-Signed", "yes")
}

// cut closes the connection of a request without an answer.
func cut(w http.ResponseWriter) {
	if c, _, err := w.(http.Hijacker).Hijack(); err == nil {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		c.Close()
	}
}

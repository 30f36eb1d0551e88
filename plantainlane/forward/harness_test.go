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

	"github.com/cockroachdb/errors"

	"plantainlane/plantainlane/batch"
	"plantainlane/plantainlane/exchange"
	"plantainlane/plantainlane/quota"
	"plantainlane/plantainlane/roster"
	"plantainlane/plantainlane/route"
	"plantainlane/plantainlane/site"
	"plantainlane/wire"
)

// plainCodec is a HeaderCodec with short header names.
type plainCodec struct{}

func (plainCodec) ReadCall(h http.Header) (Call, error) {
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
	for _, id := range strings.FieldsFunc(h.Get("X-Parts"), func(r rune) bool { return r == ',' }) {
		c.Parts = append(c.Parts, PromptPart{ID: id, Tokens: 10})
	}
	return c, nil
}

func (plainCodec) Prepare(h http.Header, s Send) {
	for _, name := range []string{"X-Key", "Connection", "Content-Length", "Accept-Encoding"} {
		h.Del(name)
	}
	h.Set("X-Upstream", s.Upstream)
	h.Set("X-Workspace", s.Workspace)
	h.Set("X-Left", strconv.FormatInt(s.Left.Milliseconds(), 10))
	h.Set("X-Inputs", strings.Join(s.Inputs, ","))
	h.Set("X-After", s.ResumeAfter)
}

func (plainCodec) ReadAnswer(res *http.Response) Answer {
	return Answer{
		ID: res.Header.Get("X-Id"), NotRun: res.Header.Get("X-Not-Run") != "",
		InputsGone:   res.Header.Get("X-Not-Run") != "" && res.StatusCode == http.StatusConflict,
		ClaimsNotRun: res.StatusCode == http.StatusServiceUnavailable || res.StatusCode == http.StatusTooManyRequests,
		Genuine:      res.Header.Get("X-Signed") != "", Misdirected: res.StatusCode == http.StatusMisdirectedRequest,
	}
}

func (plainCodec) Refuse(w http.ResponseWriter, _ string, r Refusal) {
	if r.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(r.RetryAfter.Seconds(), 'f', 3, 64))
	}
	w.WriteHeader(r.Status)
	_, _ = io.WriteString(w, r.Reason)
}

// fakeDispatcher completes each job immediately. It returns the outcomes given to it first, then successes.
type fakeDispatcher struct {
	mu       sync.Mutex
	jobs     []batch.Job
	released []string
	outcomes []batch.Outcome
}

func (d *fakeDispatcher) Run(_ context.Context, service string, job batch.Job) batch.Outcome {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.jobs = append(d.jobs, job)
	if len(d.outcomes) > 0 {
		out := d.outcomes[0]
		d.outcomes = d.outcomes[1:]
		return out
	}
	var out batch.Outcome
	for i := range job.Pieces {
		out.Handles = append(out.Handles, service+strconv.Itoa(job.Stage)+"."+strconv.Itoa(i))
	}
	return out
}

func (d *fakeDispatcher) Release(_, _ string, handles []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.released = append(d.released, handles...)
}

func (d *fakeDispatcher) Reported(string, wire.UpstreamLoad) {}

func (d *fakeDispatcher) WaitTimes(string, string) batch.WaitTimes { return batch.WaitTimes{} }

// harness is a Server behind a test listener, with fake upstreams in its roster and balancer.
type harness struct {
	t          *testing.T
	server     *Server
	listener   *httptest.Server
	dispatcher *fakeDispatcher
	site       *site.Site
	balancer   *route.Balancer
	roster     *roster.Roster
	freshness  site.Freshness
	// siteKnown is closed by tests in which site is nil at first.
	siteKnown chan struct{}
	// body is that of the requests of callers.
	body string

	mu sync.Mutex
	// arrivals is the number of requests that each upstream received.
	arrivals map[string]int
	// headers of the requests in the order in which upstreams received them.
	headers []http.Header
}

func (h *harness) Site() (*site.Site, site.Freshness) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.site, h.freshness
}

func (h *harness) SiteKnown() <-chan struct{} { return h.siteKnown }

func (h *harness) Upstreams() roster.View { return h.roster.View() }

// newHarness returns a harness whose only route is r. It sets the route's name, host, prefix and service, and its
// timeout if that is 0.
func newHarness(t *testing.T, r *site.Route) *harness {
	t.Helper()
	now := time.Now()
	h := &harness{t: t, body: "body", siteKnown: make(chan struct{}), dispatcher: &fakeDispatcher{}, arrivals: make(map[string]int), roster: roster.New()}
	r.Name, r.Host, r.Prefix, r.Splits = "r", "a.example", "/x/", []site.Split{{Service: "s", Weight: 1}}
	if r.Timeout == 0 {
		r.Timeout = 5 * time.Second
	}
	h.site = &site.Site{Version: 1, Routes: []*site.Route{r}, Services: map[string]*site.Service{"s": {Name: "s"}}, Limits: site.Limits{BodyBytes: 1000}}
	h.site.Compile([]*site.Workspace{{Name: "hostel", Keys: []string{"key"}}})
	h.balancer = route.New(now, "region", "zone")
	h.server = &Server{
		Codec: plainCodec{}, Views: h, Picker: h.balancer, Client: newClient(), Dispatcher: h.dispatcher, Zone: "zone",
		Bodies: exchange.NewMemory(RequestBytes),
		Budget: &Budget{Ratio: 1, Allowance: 100, Window: 10 * time.Second, Instances: func() int { return 1 }},
	}
	h.listener = httptest.NewServer(h.server)
	t.Cleanup(h.listener.Close)
	return h
}

// newClient returns a client with an allocator of permits of its own.
func newClient() *quota.Client {
	read := func(status int, h http.Header) (quota.Notice, error) {
		n := quota.Notice{Leaving: h.Get("X-Leaving") != ""}
		var limitErr, pauseErr error
		n.PerSecond, n.Limited, limitErr = quota.ReadLimit(h.Get("X-Limit"))
		n.Pause, pauseErr = quota.ReadPause(time.Now(), status, h)
		return n, errors.Join(limitErr, pauseErr)
	}
	gate := quota.NewGate(&localAsker{allocator: quota.NewAllocator(1)})
	return quota.NewClient(exchange.NewPool(time.Minute), gate, read)
}

// localAsker answers queries for permits from an allocator of the same process.
type localAsker struct {
	mu        sync.Mutex
	allocator *quota.Allocator
}

func (a *localAsker) Ask(_ context.Context, u wire.UpstreamLimit) (wire.PermitAnswer, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.allocator.Issue(time.Now(), u), true
}

// upstream adds an upstream that answers with the given handler.
func (h *harness) upstream(id string, handler http.HandlerFunc) {
	s := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		h.mu.Lock()
		h.arrivals[id]++
		h.headers = append(h.headers, r.Header.Clone())
		h.mu.Unlock()
		handler(rw, r)
	}))
	h.t.Cleanup(s.Close)
	h.row(id, s.Listener.Addr().String())
}

// row adds a row of an upstream of the service at an address.
func (h *harness) row(id, address string) {
	a := wire.Announcement{
		ID: id, Service: "s", Address: address, Zone: "zone", Region: "region", Capacity: 8, Incarnation: 1, Sequence: 1, TTLMs: 60_000,
	}
	_ = h.roster.Announce(a, "", time.Now())
	h.balancer.Apply(time.Now(), a)
}

// listen starts an upstream that serves each connection with serve, which need not close it, and adds rows with the given IDs that lead to it.
func (h *harness) listen(serve func(c net.Conn), ids ...string) (address string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		h.t.Fatal(err)
	}
	h.t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				serve(c)
			}()
		}
	}()
	for _, id := range ids {
		h.row(id, l.Addr().String())
	}
	return l.Addr().String()
}

// totalArrivals returns the number of requests that all upstreams received.
func (h *harness) totalArrivals() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := 0
	for _, a := range h.arrivals {
		n += a
	}
	return n
}

// response is the head of an answer to a caller.
type response struct {
	StatusCode int
	Header     http.Header
}

// post sends a caller's request with the given header names and values, and returns the answer's head and body.
func (h *harness) post(headers ...string) (*response, string, error) {
	h.t.Helper()
	return h.send(http.MethodPost, headers...)
}

// send does the same with any method.
func (h *harness) send(method string, headers ...string) (*response, string, error) {
	h.t.Helper()
	req, err := http.NewRequest(method, h.listener.URL+"/x/y?z=%2F", strings.NewReader(h.body))
	if err != nil {
		h.t.Fatal(err)
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
	return &response{res.StatusCode, res.Header}, string(body), err
}

// sign sets the headers of an upstream's answer to this request: the request's ID and the upstream's signature.
func sign(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Id", r.Header.Get("X-Id"))
	w.Header().Set("X-Signed", "yes")
}

// resetConnection closes the connection of a request with a TCP reset, without an answer or in the middle of one.
func resetConnection(w http.ResponseWriter) {
	if c, _, err := w.(http.Hijacker).Hijack(); err == nil {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		c.Close()
	}
}

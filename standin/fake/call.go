package fake

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"plantainlane/standin/chain"
	"plantainlane/wire"

	"github.com/labstack/echo/v5"
)

// Headers of calls to upstreams.
const (
	HeaderAttempt   = "Plantainlane-Attempt"
	HeaderRequest   = "Plantainlane-Request"
	HeaderWorkspace = "Plantainlane-Workspace"
	HeaderDeadline  = "Plantainlane-Deadline-Ms"
	HeaderMaxTokens = "Plantainlane-Max-Tokens"
	HeaderCost      = "Plantainlane-Cost-Units"
	HeaderExecution = "Plantainlane-Execution"
)

// NotRun is the execution of work that certainly did not run.
const NotRun = "notRun"

const maxBodyBytes = 4 << 20

// call is one call in progress.
type call struct {
	w    http.ResponseWriter
	r    *http.Request
	row  wire.LedgerRow
	echo string
	out  chain.Output
}

func (f *Fake) serveCall(c *echo.Context) error {
	fault := f.Fault()
	if fault.Refuse {
		panic(http.ErrAbortHandler)
	}
	arrived := time.Now()
	in, status := f.read(c.Response(), c.Request())
	if status != 0 {
		return c.NoContent(status)
	}
	in.echo = f.crossed(fault, in.row.Attempt)
	c.Response().Header().Set(HeaderAttempt, in.echo)
	if f.dice.chance(fault.FailBeforeShare) {
		return f.refuse(in)
	}
	ctx := in.r.Context()
	if err := f.gate.enter(ctx); err != nil {
		return f.refuse(in)
	}
	defer f.gate.leave()
	if deadlinePassed(in.r, arrived) {
		return f.refuse(in)
	}
	run := f.ledger.start(in.row)
	if !f.work(ctx, fault) {
		return nil
	}
	return f.answer(in, run, fault)
}

// read takes a call in, or returns the status to refuse it with.
func (f *Fake) read(w http.ResponseWriter, r *http.Request) (call, int) {
	attempt := r.Header.Get(HeaderAttempt)
	if attempt == "" {
		return call{}, http.StatusBadRequest
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		return call{}, http.StatusRequestEntityTooLarge
	}
	digest, err := chain.InputDigest(json.RawMessage(body))
	if err != nil {
		return call{}, http.StatusBadRequest
	}
	row := wire.LedgerRow{
		Upstream: f.id, Workspace: r.Header.Get(HeaderWorkspace), Path: r.URL.Path, Input: digest,
		Request: r.Header.Get(HeaderRequest), Attempt: attempt, Units: f.profile.CallUnits,
	}
	return call{w: w, r: r, row: row, out: chain.Derive(r.URL.Path, digest)}, 0
}

// crossed returns the attempt ID to answer with.
func (f *Fake) crossed(fault wire.Fault, attempt string) string {
	previous := f.previous.Swap(&attempt)
	if !f.dice.chance(fault.CrossShare) {
		return attempt
	}
	if previous == nil {
		return "none"
	}
	return *previous
}

// deadlinePassed reports whether a call that waited for a slot can no longer be answered in time.
func deadlinePassed(r *http.Request, arrived time.Time) bool {
	left, err := strconv.ParseInt(r.Header.Get(HeaderDeadline), 10, 64)
	return err == nil && time.Since(arrived) >= time.Duration(left)*time.Millisecond
}

func (f *Fake) refuse(in call) error {
	f.ledger.refuse(in.row.Workspace, in.row.Path)
	in.w.Header().Set(HeaderExecution, NotRun)
	in.w.WriteHeader(http.StatusServiceUnavailable)
	return nil
}

// work takes the service time. It reports false if the caller left first.
func (f *Fake) work(ctx context.Context, fault wire.Fault) bool {
	d := f.dice.serviceTime(f.profile)
	if fault.SlowFactor > 0 {
		d = time.Duration(float64(d) * fault.SlowFactor)
	}
	return f.sleep(ctx, d)
}

// sleep waits. It reports false if the caller left or the fake was closed first.
func (f *Fake) sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	case <-f.closing:
		return false
	}
}

// answer writes the answer of a call that ran, or what the fault makes of it.
func (f *Fake) answer(in call, run execution, fault wire.Fault) error {
	ctx := in.r.Context()
	switch {
	case f.dice.chance(fault.SilentShare):
		select {
		case <-ctx.Done():
		case <-f.closing:
		}
		panic(http.ErrAbortHandler)
	case f.dice.chance(fault.CloseShare):
		panic(http.ErrAbortHandler)
	case f.dice.chance(fault.FailAfterShare):
		in.w.Header().Set(HeaderCost, formatUnits(in.row.Units))
		in.w.WriteHeader(http.StatusInternalServerError)
		return nil
	case f.dice.chance(fault.LateShare):
		if !f.sleep(ctx, time.Duration(fault.LateMs)*time.Millisecond) {
			return nil
		}
	}
	truncate := f.dice.chance(fault.TruncateShare)
	if slices.Contains(f.profile.StreamPaths, in.row.Path) {
		return f.stream(in, run, fault, truncate)
	}
	return f.whole(in, truncate)
}

// whole writes a JSON answer. A truncated one breaks off half way, with or without an error that
// the transport can see.
func (f *Fake) whole(in call, truncate bool) error {
	body, err := json.Marshal(in.out)
	if err != nil {
		return err
	}
	h := in.w.Header()
	h.Set(echo.HeaderContentType, echo.MIMEApplicationJSON)
	h.Set(HeaderCost, formatUnits(in.row.Units))
	if !truncate {
		_, err = in.w.Write(body)
		return err
	}
	visible := f.dice.chance(0.5)
	if visible {
		h.Set(echo.HeaderContentLength, strconv.Itoa(len(body)))
	}
	if _, err := in.w.Write(body[:len(body)/2]); err != nil || !visible {
		return err
	}
	panic(http.ErrAbortHandler)
}

func formatUnits(units float64) string { return strconv.FormatFloat(units, 'g', -1, 64) }

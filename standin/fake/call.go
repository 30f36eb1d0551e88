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
	// HeaderLimit is the number of requests a second that the upstream takes from all instances, in the answer.
	HeaderLimit = "Plantainlane-Request-Limit"
)

// NotRun is the value of HeaderExecution for a call that certainly wasn't run.
const NotRun = "notRun"

const maxBodyBytes = 4 << 20

// call is a valid call whose headers and body have been read.
type call struct {
	w http.ResponseWriter
	r *http.Request
	// row describes the call in the ledger.
	row wire.LedgerRow
	// attemptEcho is the attempt ID in the answer. A crossed answer has the ID of another attempt.
	attemptEcho string
	input       []byte
	// out is the output for the call's path and input.
	out chain.Output
}

// serveCall runs a call and writes its answer. An invalid call is answered with a 4xx status; a valid call that isn't
// run is answered with status 503 and HeaderExecution NotRun. Under the fault Refuse the connection is closed without
// an answer. A running call that its caller or Stop interrupts ends without a complete answer.
func (f *Fake) serveCall(c *echo.Context) error {
	fault := f.Fault()
	if fault.Refuse {
		panic(http.ErrAbortHandler)
	}
	if fault.RequestLimit > 0 {
		c.Response().Header().Set(HeaderLimit, strconv.FormatFloat(fault.RequestLimit, 'f', -1, 64))
	}
	arrived := time.Now()
	in, status := f.readCall(c.Response(), c.Request())
	if status != 0 {
		return c.NoContent(status)
	}
	in.attemptEcho = f.attemptToEcho(fault, in.row.Attempt)
	c.Response().Header().Set(HeaderAttempt, in.attemptEcho)
	if f.random.chance(fault.FailBeforeShare) {
		return f.refuse(in)
	}
	ctx := in.r.Context()
	if err := f.semaphore.acquire(ctx); err != nil {
		return f.refuse(in)
	}
	defer f.semaphore.release()
	if deadlinePassed(in.r, arrived) {
		return f.refuse(in)
	}
	exec := f.ledger.start(in.row)
	if isCrashedBy(fault, in.input) {
		f.crash(time.Duration(fault.CrashMs) * time.Millisecond)
		panic(http.ErrAbortHandler)
	}
	if !f.simulateWork(ctx, fault) {
		return nil
	}
	return f.writeAnswer(in, exec, fault)
}

// readCall reads a call. It returns the status of the refusal if the call is invalid, and 0 otherwise.
func (f *Fake) readCall(w http.ResponseWriter, r *http.Request) (call, int) {
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
	return call{w: w, r: r, row: row, input: body, out: chain.Derive(r.URL.Path, digest)}, 0
}

// attemptToEcho returns the attempt ID for the answer. Under the fault CrossShare this is the ID of the previous call,
// or "none" for the first call.
func (f *Fake) attemptToEcho(fault wire.Fault, attempt string) string {
	previous := f.previousAttempt.Swap(&attempt)
	if !f.random.chance(fault.CrossShare) {
		return attempt
	}
	if previous == nil {
		return "none"
	}
	return *previous
}

// deadlinePassed reports whether the deadline of a call has passed since its arrival. A call without a deadline in its
// header has no limit.
func deadlinePassed(r *http.Request, arrived time.Time) bool {
	left, err := strconv.ParseInt(r.Header.Get(HeaderDeadline), 10, 64)
	return err == nil && time.Since(arrived) >= time.Duration(left)*time.Millisecond
}

// refuse answers a call that wasn't run with status 503.
func (f *Fake) refuse(in call) error {
	f.ledger.refuse(in.row.Workspace, in.row.Path)
	in.w.Header().Set(HeaderExecution, NotRun)
	in.w.WriteHeader(http.StatusServiceUnavailable)
	return nil
}

// simulateWork waits for a random service time. It reports false if the caller disconnects or the fake is stopped
// before the time is over.
func (f *Fake) simulateWork(ctx context.Context, fault wire.Fault) bool {
	d := f.random.serviceTime(f.profile)
	if fault.SlowFactor > 0 {
		d = time.Duration(float64(d) * fault.SlowFactor)
	}
	return f.sleep(ctx, d)
}

// sleep waits for d. It reports false if the caller disconnects or the fake is stopped before d is over.
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

// writeAnswer writes the answer of a call that was run. A fault can make the answer missing, late, truncated or an
// error. The faults SilentShare and CloseShare abort the connection without an answer.
func (f *Fake) writeAnswer(in call, exec execution, fault wire.Fault) error {
	ctx := in.r.Context()
	switch {
	case f.random.chance(fault.SilentShare):
		select {
		case <-ctx.Done():
		case <-f.closing:
		}
		panic(http.ErrAbortHandler)
	case f.random.chance(fault.CloseShare):
		panic(http.ErrAbortHandler)
	case f.random.chance(fault.FailAfterShare):
		in.w.Header().Set(HeaderCost, formatUnits(in.row.Units))
		in.w.WriteHeader(http.StatusInternalServerError)
		return nil
	case f.random.chance(fault.LateShare):
		if !f.sleep(ctx, time.Duration(fault.LateMs)*time.Millisecond) {
			return nil
		}
	}
	truncate := f.random.chance(fault.TruncateShare)
	if slices.Contains(f.profile.StreamPaths, in.row.Path) {
		return f.writeStream(in, exec, fault, truncate)
	}
	return f.writeJSON(in, truncate)
}

// writeJSON writes an answer as JSON. A truncated answer ends half way. One half of the truncated answers, chosen at
// random, have a Content-Length, so that the HTTP client detects the truncation; the others look complete to the
// client.
func (f *Fake) writeJSON(in call, truncate bool) error {
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
	withLength := f.random.chance(0.5)
	if withLength {
		h.Set(echo.HeaderContentLength, strconv.Itoa(len(body)))
	}
	if _, err := in.w.Write(body[:len(body)/2]); err != nil || !withLength {
		return err
	}
	panic(http.ErrAbortHandler)
}

// formatUnits formats cost units for HeaderCost.
func formatUnits(units float64) string { return strconv.FormatFloat(units, 'g', -1, 64) }

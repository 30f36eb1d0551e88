package forward

import (
	"bytes"
	"encoding/json"
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"k8s.io/klog/v2"

	"plantainlane/plantainlane/logs"
	"plantainlane/plantainlane/quota"
	"plantainlane/plantainlane/site"
)

// logLines is a log output that keeps the lines with a message.
type logLines struct {
	message string

	mu    sync.Mutex
	lines []map[string]any
}

func (e *logLines) Write(b []byte) (int, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for text := range bytes.Lines(b) {
		var l map[string]any
		if json.Unmarshal(text, &l) == nil && l["msg"] == e.message {
			e.lines = append(e.lines, l)
		}
	}
	return len(b), nil
}

func (e *logLines) all() []map[string]any {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.lines
}

// TestOnlyOnTimeRequestsAreSampledInTheLog guards against log sampling that drops lines of failed requests or doesn't
// count the lines left out. The sampler first admits no line, so that only the failed request is logged.
func TestOnlyOnTimeRequestsAreSampledInTheLog(t *testing.T) {
	is := is.New(t)
	defer klog.CaptureState().Restore()
	e := logLines{message: "request ended"}
	klog.SetSlogLogger(slog.New(slog.NewJSONHandler(&e, nil)))
	h := newHarness(t, &site.Route{TargetLatency: time.Minute, RetryMode: site.AtMostOnce})
	h.server.OnTimeLines = &logs.Sampler{PerSecond: 0}
	fails := false
	h.upstream("u1", func(rw http.ResponseWriter, r *http.Request) {
		if fails {
			serverError(rw, r)
			return
		}
		echo(rw, r)
	})
	for range 5 {
		_, _, err := h.post()
		is.NoErr(err)
	}
	is.Equal(len(e.all()), 0)
	fails = true
	_, _, err := h.post()
	is.NoErr(err)
	is.Equal(len(e.all()), 1) // a failed request is always logged
	is.Equal(e.all()[0]["outcome"], "failed")
	fails = false
	h.server.OnTimeLines.PerSecond = 1000
	_, _, err = h.post()
	is.NoErr(err)
	is.Equal(len(e.all()), 2)
	is.Equal(e.all()[1]["leftOut"], float64(5)) // the number of lines left out before this one
}

// TestLineOnFailedSendNamesNextUse guards against a line on a failed send that says of its connection what is true of the next request
// on it, which is also a data race.
func TestLineOnFailedSendNamesNextUse(t *testing.T) {
	is := is.New(t)
	defer klog.CaptureState().Restore()
	failed := logLines{message: "send failed"}
	klog.SetSlogLogger(slog.New(slog.NewJSONHandler(&failed, nil)))
	h := newHarness(t, &site.Route{RetryMode: site.AtMostOnce, MaxAttempts: 1})
	h.upstream("u", serverError)
	read := h.server.Client.Read
	var reads atomic.Int64
	h.server.Client.Read = func(status int, header http.Header) (quota.Notice, error) {
		// The second look at the first answer comes once its connection is in the pool.
		if reads.Add(1) == 2 {
			_, _, err := h.post("X-Id", "next")
			is.NoErr(err)
		}
		return read(status, header)
	}
	_, _, err := h.post()
	is.NoErr(err)
	lines := failed.all()
	is.Equal(len(lines), 2)
	is.Equal(lines[0]["request"], "next")
	is.Equal(lines[0]["reused"], true)
	is.Equal(lines[1]["request"], "id1")
	is.Equal(lines[1]["reused"], false)
}

// TestRefusedRequestsFillTheLog guards against callers that make an instance write a line for each request that it refuses, and against
// lines that are left out without being counted.
func TestRefusedRequestsFillTheLog(t *testing.T) {
	is := is.New(t)
	defer klog.CaptureState().Restore()
	e := logLines{message: "request ended"}
	klog.SetSlogLogger(slog.New(slog.NewJSONHandler(&e, nil)))
	h := newHarness(t, &site.Route{TargetLatency: time.Minute, RetryMode: site.AtMostOnce})
	h.server.RefusedLines = &logs.Sampler{PerSecond: 0}
	for range 5 {
		_, _, err := h.post()
		is.NoErr(err) // there is no upstream
	}
	is.Equal(len(e.all()), 0)
	h.server.RefusedLines.PerSecond = 1
	_, _, err := h.post()
	is.NoErr(err)
	is.Equal(len(e.all()), 1)
	is.Equal(e.all()[0]["outcome"], "refused")
	is.Equal(e.all()[0]["leftOut"], 5.0)
}

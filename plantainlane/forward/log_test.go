package forward

import (
	"bytes"
	"encoding/json"
	"log/slog"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"k8s.io/klog/v2"

	"plantainlane/plantainlane/logs"
	"plantainlane/plantainlane/site"
)

// endLines is a log output that keeps the "request ended" lines.
type endLines struct {
	mu    sync.Mutex
	lines []map[string]any
}

func (e *endLines) Write(b []byte) (int, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for text := range bytes.Lines(b) {
		var l map[string]any
		if json.Unmarshal(text, &l) == nil && l["msg"] == "request ended" {
			e.lines = append(e.lines, l)
		}
	}
	return len(b), nil
}

func (e *endLines) all() []map[string]any {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.lines
}

// TestOnlyOnTimeRequestsAreSampledInTheLog guards against log sampling that drops lines of failed requests or doesn't
// count the lines left out. The sampler first admits no line, so that only the failed request is logged.
func TestOnlyOnTimeRequestsAreSampledInTheLog(t *testing.T) {
	is := is.New(t)
	defer klog.CaptureState().Restore()
	var e endLines
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

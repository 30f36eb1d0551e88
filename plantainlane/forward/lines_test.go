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

// endings collects the lines on ends of requests.
type endings struct {
	mu    sync.Mutex
	lines []map[string]any
}

func (e *endings) Write(b []byte) (int, error) {
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

func (e *endings) taken() []map[string]any {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.lines
}

// TestUsualLinesAreSampledOthersAreWhole asks for more in a second than lines are let through.
func TestUsualLinesAreSampledOthersAreWhole(t *testing.T) {
	is := is.New(t)
	defer klog.CaptureState().Restore()
	var e endings
	klog.SetSlogLogger(slog.New(slog.NewJSONHandler(&e, nil)))
	w := newWorld(t, &site.Route{TargetLatency: time.Minute, RetryMode: site.AtMostOnce})
	w.server.OnTimeLines = &logs.Sampler{PerSecond: 0}
	fails := false
	w.upstream("u1", func(rw http.ResponseWriter, r *http.Request) {
		if fails {
			failure(rw, r)
			return
		}
		ok(rw, r)
	})
	for range 5 {
		_, _, err := w.ask()
		is.NoErr(err)
	}
	is.Equal(len(e.taken()), 0)
	fails = true
	_, _, err := w.ask()
	is.NoErr(err)
	is.Equal(len(e.taken()), 1) // what failed is logged
	is.Equal(e.taken()[0]["outcome"], "failed")
	fails = false
	w.server.OnTimeLines.PerSecond = 1000
	_, _, err = w.ask()
	is.NoErr(err)
	is.Equal(len(e.taken()), 2)
	is.Equal(e.taken()[1]["leftOut"], float64(5)) // what was left out is counted
}

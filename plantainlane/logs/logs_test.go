package logs

import (
	"bytes"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"k8s.io/klog/v2"

	"plantainlane/plantainlane/settings"
)

// output records each write. If blocked is set, writes wait until it is closed.
type output struct {
	mu      sync.Mutex
	writes  []string
	blocked chan struct{}
}

func (o *output) Write(b []byte) (int, error) {
	if o.blocked != nil {
		<-o.blocked
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.writes = append(o.writes, string(b))
	return len(b), nil
}

func (o *output) text() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return strings.Join(o.writes, "")
}

func (o *output) count() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.writes)
}

// droppedLine is the line in which the tests' writers report dropped lines.
func droppedLine(count int) []byte { return fmt.Appendf(nil, "%d dropped\n", count) }

func TestLinesAreWrittenInBatches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		out := &output{}
		w := NewWriter(out, droppedLine)
		for range 5 {
			_, _ = w.Write([]byte("line\n"))
		}
		is.Equal(out.count(), 0)
		time.Sleep(2 * flushDelay)
		synctest.Wait()
		is.Equal(out.count(), 1)
		is.Equal(out.text(), strings.Repeat("line\n", 5))
		_, _ = w.Write([]byte("last\n"))
		w.Close()
		is.Equal(out.count(), 2)
	})
}

func TestFullBatchIsWrittenImmediately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		out := &output{}
		w := NewWriter(out, droppedLine)
		_, _ = w.Write([]byte("first\n"))
		_, _ = w.Write(make([]byte, batchBytes))
		synctest.Wait()
		is.Equal(out.count(), 1)
	})
}

// TestBlockedOutputDropsLinesWithoutBlocking guards against requests that block when they log because the output, such
// as a full pipe, accepts no data. Lines must be dropped instead, and their number reported.
func TestBlockedOutputDropsLinesWithoutBlocking(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		out := &output{blocked: make(chan struct{})}
		w := NewWriter(out, droppedLine)
		started, line := time.Now(), []byte(strings.Repeat("x", 1023)+"\n")
		const lines = 4 * maxBufferedBytes / 1024
		for range lines {
			_, _ = w.Write(line)
		}
		is.Equal(time.Since(started), time.Duration(0)) // no write waited
		w.Close()
		is.Equal(time.Since(started), closeTimeout)
		close(out.blocked)
		time.Sleep(2 * flushDelay)
		synctest.Wait()
		written := strings.Count(out.text(), string(line))
		is.True(written < lines && written > 0)
		is.True(strings.Contains(out.text(), fmt.Sprintf("%d dropped\n", lines-written)))
	})
}

func TestSamplerReportsLinesLeftOut(t *testing.T) {
	is := is.New(t)
	s := Sampler{PerSecond: 2}
	now := time.Unix(100, 0)
	allowed := 0
	for range 10 {
		if ok, _ := s.Allow(now); ok {
			allowed++
		}
	}
	is.Equal(allowed, 2)
	ok, leftOut := s.Allow(now.Add(time.Second))
	is.True(ok)
	is.Equal(leftOut, 8)
}

func TestLinesCarryTheInstanceID(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	stop := Start(&out, "entry-1", settings.Log{Format: "json"})
	klog.InfoS("serving", "zone", "z")
	stop()
	is.True(strings.Contains(out.String(), `"msg":"serving","instance":"entry-1","zone":"z"`))
}

// BenchmarkLine measures logging a line like the one at the end of each request.
func BenchmarkLine(b *testing.B) {
	stop := Start(io.Discard, "entry-1", settings.Log{Format: "json"})
	defer stop()
	b.ReportAllocs()
	for b.Loop() {
		klog.InfoS("request ended", "request", "7f8d0011aa", "outcome", "answered", "status", 200, "route", "r", "ms", 12)
	}
}

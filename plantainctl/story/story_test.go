package story

import (
	"bytes"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const (
	entryLog = `{"time":"2026-12-04T10:00:00.900Z","level":"INFO","msg":"send failed","instance":"entry-1","request":"r1","upstream":"u1","send":1,"notRun":false,"err":"reset"}
{"time":"2026-12-04T10:00:01Z","level":"INFO","msg":"request ended","instance":"entry-1","request":"r1","outcome":"refused","status":502,"reason":"reset","upstream":"u1","sends":1}
{"time":"2026-12-04T10:00:02Z","level":"INFO","msg":"request ended","instance":"entry-1","request":"r2","outcome":"refused","status":503,"reason":"stage not made: late","upstream":"","sends":0}
panic: no JSON
{"time":"2026-12-04T10:00:03Z","level":"INFO","msg":"request ended","instance":"entry-1","request":"r3","outcome":"brokenOff","status":0,"reason":"stream: timeout","upstream":"u2","sends":1,"events":39}
`
	// The clock of entry-2, the owner of the queue, is one second ahead.
	ownerLog = `{"time":"2026-12-04T10:00:01.500Z","level":"INFO","msg":"queue","instance":"entry-2","service":"audio","waiting":90}
{"time":"2026-12-04T10:00:02.900Z","level":"INFO","msg":"order refused","instance":"entry-2","request":"r2","service":"audio","stage":0,"estimateMs":4000,"leftMs":2500}
{"time":"2026-12-04T10:00:02.950Z","level":"INFO","msg":"queue","instance":"entry-2","service":"other","waiting":1}
`
)

// readLogs returns a Reader with the lines of both logs.
func readLogs(t *testing.T) *Reader {
	t.Helper()
	r := &Reader{}
	for name, text := range map[string]string{"a.log": entryLog, "b.log": ownerLog} {
		if err := r.Read(name, strings.NewReader(text)); err != nil {
			t.Fatal(err)
		}
	}
	return r
}

// TestConclusion checks the sentence for a request with unknown outcome, one that didn't run, an interrupted stream and
// one without an end, and that text which isn't JSON is skipped.
func TestConclusion(t *testing.T) {
	tests := map[string]string{
		"r1": "outcome unknown: sent to u1, which may have run it, and no whole answer: reset",
		"r2": "not run: refused before any send: stage not made: late",
		"r3": "cut off after 39 events from u2: stream: timeout",
		"r4": "the end of the request is not in these logs",
	}
	r := readLogs(t)
	for request, want := range tests {
		t.Run(request, func(t *testing.T) {
			is := is.New(t)
			is.Equal(Conclusion(r.RequestLines(request)), want)
		})
	}
	is := is.New(t)
	is.Equal(r.Skipped, 1)
}

// TestRequestLinesDespiteClockSkew guards against an effect that is listed before its cause: the queue's owner logs the
// refusal with a later time than the end of the request, since its clock is ahead.
func TestRequestLinesDespiteClockSkew(t *testing.T) {
	is := is.New(t)
	lines := readLogs(t).RequestLines("r2")
	is.Equal(len(lines), 3)
	is.Equal(lines[0].Message, "queue")
	is.Equal(lines[0].Service, "audio")
	is.Equal(lines[1].Message, "order refused")
	is.Equal(lines[2].Message, "request ended")
	var out bytes.Buffer
	is.NoErr(Write(&out, lines))
	is.True(strings.Contains(out.String(), `10:00:02.900  entry-2  order refused service="audio" stage=0 estimateMs=4000 leftMs=2500`))
}

// FuzzRead guards against a panic on input that isn't a log.
func FuzzRead(f *testing.F) {
	f.Add([]byte(entryLog))
	f.Add([]byte(`{"msg":1}`))
	f.Add([]byte(`x{"time":"2026-12-04T10:00:03Z","request":"r","msg":{}}`))
	f.Fuzz(func(_ *testing.T, text []byte) {
		r := &Reader{}
		_ = r.Read("a", bytes.NewReader(text))
		_ = Conclusion(r.RequestLines("r"))
	})
}

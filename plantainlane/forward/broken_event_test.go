package forward

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"plantainlane/plantainlane/site"
)

// lastNumber is the number of the last event of numberedStream.
const lastNumber = 4

// numberedEvent returns an event of a stream whose data end in a word, so that a part of them is noticed.
func numberedEvent(number int) string {
	return fmt.Sprintf("id: %d\ndata: %d whole\n\n", number, number)
}

// numberedEvents returns the events from first to last.
func numberedEvents(first, last int) string {
	var b strings.Builder
	for i := first; i <= last; i++ {
		b.WriteString(numberedEvent(i))
	}
	return b.String()
}

// numberedStream answers with the events after the one that the request names.
func numberedStream(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.Atoi(r.Header.Get("X-After"))
	sign(w, r)
	w.Header().Set("Content-Type", eventStream)
	_, _ = w.Write([]byte(numberedEvents(after+1, lastNumber)))
}

// writeInParts answers without a length. It pauses between the parts, so that they arrive one by one, and resets the connection
// after the last one unless endsWell is set.
func writeInParts(endsWell bool, parts ...string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		c, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer c.Close()
		_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nX-Id: " + r.Header.Get("X-Id") + "\r\nX-Signed: yes\r\nContent-Type: " + eventStream + "\r\n\r\n"))
		for _, part := range parts {
			_, _ = c.Write([]byte(part))
			time.Sleep(30 * time.Millisecond)
		}
		if tcp, ok := c.(*net.TCPConn); ok && !endsWell {
			_ = tcp.SetLinger(0)
		}
	}
}

// TestBrokenEventLooksWhole guards against an event that its upstream broke off and that bytes which are no event complete, in an
// answer that looks complete: another upstream went on after it.
func TestBrokenEventLooksWhole(t *testing.T) {
	const textHead = "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n"
	begun := numberedEvent(1) + "id: 2\ndata: 2 wh"
	for name, c := range map[string]struct {
		parts    []string
		endsWell bool
		// isServed is set if the fault shows before the broken event is forwarded, so that the caller can be given a whole answer.
		isServed bool
	}{
		"head behind an empty line":             {[]string{begun + "\r\n\r\n" + textHead}, false, true},
		"head after more empty lines":           {[]string{begun + "\r\n\r\n\r\n\r\n" + textHead}, false, true},
		"head behind an empty line, later":      {[]string{begun, "\r\n\r\n", textHead}, false, true},
		"head in parts":                         {[]string{begun, "\r\n\r\nHT", "TP/1.1 500 Internal Server Error\r\n\r\n"}, false, true},
		"head that breaks off":                  {[]string{begun + "\r\n\r\nHTTP/1.1 5"}, false, true},
		"head without an empty line":            {[]string{begun + textHead}, false, true},
		"head without an empty line, at an end": {[]string{begun + textHead}, true, true},
		"head with the lines' own ends":         {[]string{begun + "\n\n" + textHead}, false, true},
		"such a head, later":                    {[]string{begun + "\n\n", textHead}, false, false},
		"such a head, later and broken off":     {[]string{begun + "\n\n", "HTTP/1."}, false, false},
		"text":                                  {[]string{begun + "\n\nout of memory\n\n"}, false, true},
		"text, later":                           {[]string{begun + "\n\n", "out of memory\n\n"}, false, false},
		"text, later and broken off":            {[]string{begun + "\n\n", "out of mem"}, false, false},
		"text without an end, later":            {[]string{begun + "\n\n", strings.Repeat("noise", maxEventBytes/4)}, false, false},
		"text like a field":                     {[]string{begun + "\n\nerror: no memory\n\n"}, false, true},
		"empty line and an end":                 {[]string{begun + "\r\n\r\n"}, true, true},
		"empty line and a reset":                {[]string{begun, "\r\n\r\n"}, false, true},
		"break within an ID":                    {[]string{numberedEvents(1, 2) + "id: \n\n" + textHead}, false, true},
		"break within an ID, later":             {[]string{numberedEvents(1, 2), "id: 1\n\n", textHead}, false, true},
		"break after an ID":                     {[]string{numberedEvents(1, 2), "id: 3\n\n", textHead}, false, true},
		"empty lines behind an ID":              {[]string{numberedEvents(1, 2) + "id: 3\n\n", strings.Repeat("\n", 100)}, true, true},
		"empty lines before any event":          {[]string{strings.Repeat("\n", 100)}, true, true},
		"events once more":                      {[]string{numberedEvents(1, 2), numberedEvents(1, 2)}, true, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t, &site.Route{Stream: true, RetryMode: site.Resumable, MaxAttempts: 2, TargetGap: time.Second})
			broken := writeInParts(c.endsWell, c.parts...)
			handler := func(w http.ResponseWriter, r *http.Request) {
				if h.totalArrivals() == 1 {
					broken(w, r)
					return
				}
				numberedStream(w, r)
			}
			h.upstream("u1", handler)
			h.upstream("u2", handler)
			_, body, err := h.post()
			t.Logf("%q, %v", body, err)
			is.Equal(err == nil, c.isServed)
			if c.isServed {
				is.Equal(body, numberedEvents(1, lastNumber))
			}
		})
	}
}

// TestOddStreamIsBrokenOff guards against a sound stream that is taken for a broken one, for the ends of its lines or its fields.
func TestOddStreamIsBrokenOff(t *testing.T) {
	for name, parts := range map[string][]string{
		"ends of both kinds":     {"id: 1\r\ndata: a\r\n\n", "id: 2\r\ndata: b\r\n\n"},
		"an end of another kind": {"id: 1\ndata: a\n\n", "id: 2\ndata: b\r\n\r\n", "id: 3\ndata: c\n\n"},
		"only carriage returns":  {"id: 1\r\ndata: a\r\n\r\n", "id: 2\r\ndata: b\r\n\r\n"},
		"more empty lines":       {"id: 1\ndata: a\n\n\n\n", "id: 2\ndata: b\n\n\n"},
		"event without data":     {"id: 1\n\n", "id: 2\ndata: b\n\n"},
		"fields of its own":      {"id: 1\ndata: a\ntoken-count: 2\n\n", "weight-versions: 7\nid: 2\ndata: b\n\n"},
		"a head as data":         {"id: 1\ndata: HTTP/1.1 500 Internal Server Error\n\n", "id: 2\ndata: b\n\n"},
		"comments":               {": a\n\n", "id: 1\ndata: a\n\n: b\n\n", "id: 2\ndata: b\n\n"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t, &site.Route{Stream: true, RetryMode: site.Resumable, MaxAttempts: 2, TargetGap: time.Second})
			h.upstream("u1", writeInParts(true, parts...))
			_, body, err := h.post()
			is.NoErr(err)
			is.Equal(body, strings.Join(parts, ""))
		})
	}
}

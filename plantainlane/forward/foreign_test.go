package forward

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"plantainlane/plantainlane/site"
)

// errorHead is a whole answer with an error, as an upstream may write it in the middle of another one.
const errorHead = "HTTP/1.1 500 Internal Server Error\r\nContent-Type: text/plain\r\n\r\n"

// answerWith answers with a status, a content type unless it is empty, and a body.
func answerWith(status int, contentType, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Id", r.Header.Get("X-Id"))
		w.Header().Set("X-Signed", "yes")
		if contentType != "" {
			w.Header().Set("Content-Type", contentType)
		}
		w.WriteHeader(status)
		_, _ = w.Write([]byte(body))
	}
}

// eventStream is the content type of the first answer of a stream.
const eventStream = "text/event-stream"

// brokenStream sends two events and breaks off.
func brokenStream(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Id", r.Header.Get("X-Id"))
	w.Header().Set("X-Signed", "yes")
	w.Header().Set("Content-Type", eventStream)
	_, _ = w.Write([]byte("id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n"))
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

// TestErrorOfNextUpstreamIsInStream guards against the text or the head of an error in the middle of a stream that has begun,
// and against a stream that looks complete because its rest was no stream.
func TestErrorOfNextUpstreamIsInStream(t *testing.T) {
	rests := map[string]http.HandlerFunc{
		"error head, no length":    closeDelimited(errorHead, false),
		"error head and a text":    closeDelimited(errorHead+"out of memory\n\n", false),
		"nothing, no length":       closeDelimited("", false),
		"text as an event":         answerWith(http.StatusOK, eventStream, "out of memory\n\n"),
		"event without an ID":      answerWith(http.StatusOK, eventStream, "data: out of memory\n\n"),
		"text of another type":     answerWith(http.StatusOK, "text/plain", "id: 3\ndata: 3\n\n"),
		"no content":               answerWith(http.StatusNoContent, "", ""),
		"accepted":                 answerWith(http.StatusAccepted, eventStream, "id: 3\ndata: 3\n\n"),
		"error":                    answerWith(http.StatusInternalServerError, "text/plain", "id: 3\ndata: 3\n\n"),
		"head within an event":     answerWith(http.StatusOK, eventStream, "id: 3\n"+errorHead),
		"events, then an error":    answerWith(http.StatusOK, eventStream, "id: 3\ndata: 3\n\n"+errorHead),
		"events, then a mere text": answerWith(http.StatusOK, eventStream, "id: 3\ndata: 3\n\nout of memory\n\n"),
	}
	for name, rest := range rests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			h := newHarness(t, &site.Route{Stream: true, RetryMode: site.Resumable, MaxAttempts: 2, TargetGap: time.Second})
			handler := func(w http.ResponseWriter, r *http.Request) {
				if h.totalArrivals() == 1 {
					brokenStream(w, r)
					return
				}
				rest(w, r)
			}
			h.upstream("u1", handler)
			h.upstream("u2", handler)
			_, body, err := h.post()
			is.True(err != nil) // the stream doesn't look complete
			begun := "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n"
			is.True(body == begun || body == begun+"id: 3\ndata: 3\n\n" && strings.HasPrefix(name, "events"))
		})
	}
}

// TestErrorHeadIsInStreamOfOneUpstream guards against the same bytes after the first events of the only upstream, and against
// a sound stream with comments, versions and events without IDs that counts as broken.
func TestErrorHeadIsInStreamOfOneUpstream(t *testing.T) {
	const begun = "id: 1\ndata: 1\n\n"
	for i, c := range []struct {
		rest    string
		isSound bool
	}{
		{errorHead, false},
		{"out of memory\n\n", false},
		{": still here\n\n", true},
		{"data: no ID\n\n", true},
		{"weight-versions: 7\nid: 2\ndata: 2\n\n", true},
		{"event: end\n\n", true},
	} {
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t, &site.Route{Stream: true, RetryMode: site.AtMostOnce, MaxAttempts: 1})
			h.upstream("u", answerWith(http.StatusOK, eventStream, begun+c.rest))
			res, body, err := h.post()
			is.Equal(err == nil && res.StatusCode == http.StatusOK, c.isSound) // an error of the instance is no stream either
			is.Equal(body == begun+c.rest, c.isSound)
			is.True(c.isSound || !strings.Contains(body, c.rest))
		})
	}
}

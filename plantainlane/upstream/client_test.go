package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"plantainlane/plantainlane/quota"
)

// startUpstream starts an upstream and returns its address. The upstream reads one request from each connection,
// answers with fixed bytes and closes the connection.
func startUpstream(t *testing.T, answer string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				if req, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					_, _ = io.Copy(io.Discard, req.Body)
				}
				_, _ = io.WriteString(c, answer)
			}()
		}
	}()
	return l.Addr().String()
}

// answerHead returns the start of an answer's head: the status line, the attempt ID and further headers.
func answerHead(status, attempt string, extra ...string) string {
	return "HTTP/1.1 " + status + "\r\nPlantainlane-Attempt: " + attempt + "\r\n" + strings.Join(extra, "")
}

// TestCallErrorsReportWhetherWorkRan guards against an error that wrongly reports that the work did not run, after
// which the caller would run the work again, and against taking an answer that is truncated or belongs to another
// attempt for the answer to this call.
func TestCallErrorsReportWhetherWorkRan(t *testing.T) {
	tests := map[string]struct {
		answer string
		want   error
		notRun bool
	}{
		"whole":                  {answerHead("200 OK", "a1", "Content-Length: 2\r\nPlantainlane-Cost-Units: 3\r\n") + "\r\n{}", nil, false},
		"other attempt":          {answerHead("200 OK", "a2", "Content-Length: 2\r\n") + "\r\n{}", ErrForeignAnswer, false},
		"no attempt":             {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}", ErrForeignAnswer, false},
		"truncated":              {answerHead("200 OK", "a1", "Content-Length: 9\r\n") + "\r\n{}", ErrTruncated, false},
		"truncated chunks":       {answerHead("200 OK", "a1", "Transfer-Encoding: chunked\r\n") + "\r\n2\r\n{}\r\n", ErrTruncated, false},
		"refused as not run":     {answerHead("503 Busy", "a1", "Plantainlane-Execution: notRun\r\nContent-Length: 0\r\n") + "\r\n", ErrNotRun, true},
		"not run, other attempt": {answerHead("503 Busy", "a2", "Plantainlane-Execution: notRun\r\nContent-Length: 0\r\n") + "\r\n", ErrForeignAnswer, false},
		"not run, status 500":    {answerHead("500 Oops", "a1", "Plantainlane-Execution: notRun\r\nContent-Length: 0\r\n") + "\r\n", ErrFailed, false},
		"failed":                 {answerHead("500 Oops", "a1", "Content-Length: 0\r\n") + "\r\n", ErrFailed, false},
		"closed without answer":  {"", nil, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			call := Call{Peer: quota.Peer{Address: startUpstream(t, tt.answer)}, Path: "/run", Attempt: "a1", Body: []byte(`{"n":1}`), Fresh: true}
			a, err := NewClient(1, quota.NewGate(nil)).Do(context.Background(), call)
			if name == "whole" {
				is.NoErr(err)
				is.Equal(string(a.Output), "{}")
				is.Equal(a.Cost, 3.0)
				return
			}
			is.True(err != nil)
			if tt.want != nil {
				is.True(errors.Is(err, tt.want))
			}
			is.Equal(errors.Is(err, ErrNotRun), tt.notRun)
		})
	}
}

// TestFailedDialIsNotRun guards against treating work as possibly run although no connection to the upstream could be
// opened.
func TestFailedDialIsNotRun(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := l.Addr().String()
	l.Close()
	_, err = NewClient(1, quota.NewGate(nil)).Do(context.Background(), Call{Peer: quota.Peer{Address: address}, Path: "/run", Attempt: "a1"})
	is.True(errors.Is(err, ErrNotRun))
}

// TestUpstreamWithoutAnswerIsSilent calls an upstream that accepts the connection and never answers. The call must end
// before its deadline, and the work may have run.
func TestUpstreamWithoutAnswerIsSilent(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	call := Call{Peer: quota.Peer{Address: l.Addr().String()}, Path: "/run", Attempt: "a1", SilentAfter: 20 * time.Millisecond}
	_, err = NewClient(1, quota.NewGate(nil)).Do(context.Background(), call)
	is.True(errors.Is(err, ErrSilent))
	is.True(!errors.Is(err, ErrNotRun))
}

// TestStream guards against a stream that is taken for complete although its end event is missing or malformed.
func TestStream(t *testing.T) {
	event := func(name, data string) string { return fmt.Sprintf("event: %s\ndata: %s\n\n", name, data) }
	first := event("token", `{"offset":0,"text":"a"}`)
	tests := map[string]struct {
		body string
		want error
	}{
		"whole":         {first + event("end", `{"tokens":1,"costUnits":2}`), nil},
		"without end":   {first, ErrTruncated},
		"malformed end": {first + event("end", `{"tokens":`), ErrFailed},
		"empty":         {"", ErrTruncated},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			call := Call{Peer: quota.Peer{Address: startUpstream(t, answerHead("200 OK", "a1")+"\r\n"+tt.body)}, Path: "/run", Attempt: "a1", Fresh: true}
			var got []string
			end, err := NewClient(1, quota.NewGate(nil)).Stream(context.Background(), call, func(t Token) error {
				got = append(got, t.Text)
				return nil
			})
			is.True(errors.Is(err, tt.want))
			if tt.want == nil {
				is.Equal(end.CostUnits, 2.0)
				is.Equal(got, []string{"a"})
			}
		})
	}
}

// TestRedirectedCallRunsElsewhere guards against a call that follows a redirect: the work would run at an address that
// was not chosen, and perhaps twice.
func TestRedirectedCallRunsElsewhere(t *testing.T) {
	is := is.New(t)
	elsewhere := startUpstream(t, answerHead("200 OK", "a1", "Content-Length: 2\r\n")+"\r\n{}")
	address := startUpstream(t, answerHead("303 See Other", "a1", "Location: http://"+elsewhere+"/run\r\nContent-Length: 0\r\n")+"\r\n")
	for _, fresh := range []bool{false, true} {
		call := Call{Peer: quota.Peer{Address: address}, Path: "/run", Attempt: "a1", Body: []byte(`{"n":1}`), Fresh: fresh}
		_, err := NewClient(1, quota.NewGate(nil)).Do(context.Background(), call)
		is.True(errors.Is(err, ErrFailed))
		is.True(!errors.Is(err, ErrNotRun))
	}
}

// TestCopyOfRefusalPutsCallsBehind guards against a connection that is used again after a late copy of a refusal came in place of an
// answer: each later call on it would get the answer to the call before, and fail.
func TestCopyOfRefusalPutsCallsBehind(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go refuseThenLagBehind(c)
		}
	}()
	client := NewClient(1, quota.NewGate(nil))
	var errs []error
	for n := range 4 {
		call := Call{Peer: quota.Peer{Address: l.Addr().String()}, Path: "/run", Attempt: fmt.Sprintf("a%d", n), Body: []byte("{}")}
		_, err := client.Do(t.Context(), call)
		errs = append(errs, err)
	}
	is.True(errors.Is(errs[0], ErrRefused))
	is.True(errors.Is(errs[1], ErrForeignAnswer))
	is.True(errors.Is(errs[2], ErrRefused)) // on a new connection
	is.True(errors.Is(errs[3], ErrForeignAnswer))
}

// refuseThenLagBehind serves a connection: it refuses each call, and sends the refusals of the calls before again, each in place of that of
// the call after it.
func refuseThenLagBehind(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	last := ""
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		own := answerHead("503 Busy", r.Header.Get(HeaderAttempt), "Plantainlane-Execution: notRun\r\nContent-Length: 0\r\n") + "\r\n"
		if last == "" {
			last = own
		}
		_, _ = io.WriteString(c, last)
		last = own
	}
}

// TestCutAnswerJoinsAnswer guards against a failure that counts as a success or as not run, because an answer to another attempt that was
// broken off within its head came before it.
func TestCutAnswerJoinsAnswer(t *testing.T) {
	is := is.New(t)
	own := answerHead("500 Oops", "a1", "Content-Length: 2\r\n") + "\r\n{}"
	for _, earlier := range []string{
		answerHead("200 OK", "a0") + "\r\n",
		"HTTP/1.1 503 Busy\r\nPlantainlane-Execution: notRun\r\nRetry-After: 1\r\n",
	} {
		for cut := range earlier {
			call := Call{Peer: quota.Peer{Address: startUpstream(t, earlier[:cut]+own)}, Path: "/run", Attempt: "a1", Body: []byte("{}"), Fresh: true}
			_, err := NewClient(1, quota.NewGate(nil)).Do(t.Context(), call)
			is.True(err != nil)
			is.True(!errors.Is(err, ErrNotRun))
		}
	}
}

package load

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"plantainlane/standin/chain"
	"plantainlane/standin/scenario"
)

// testRequests returns two requests of one pipeline, whose last stage streams or not.
func testRequests(t *testing.T, streams bool) (own, other *Request) {
	t.Helper()
	s := testScenario(scenario.Flow{PerSecond: 100, MeanTokens: 8})
	s.Pipelines["guide"].Stages[1].Streams = streams
	requests, err := Schedule(s, "a", 2)
	if err != nil {
		t.Fatal(err)
	}
	return requests[0], requests[1]
}

// Only the complete output for the request's own input is accepted: an answer that was mixed up with another request's,
// cut short or taken from another stage must count as wrong.
func TestIsExpectedOutput(t *testing.T) {
	own, other := testRequests(t, false)
	encode := func(v any) json.RawMessage {
		b, err := json.Marshal(v)
		if err != nil {
			t.Fatal(err)
		}
		return b
	}
	incomplete := own.Want
	incomplete.Ranked = incomplete.Ranked[:2]
	whole := encode(own.Want)
	tests := map[string]struct {
		output json.RawMessage
		want   bool
	}{
		"own":              {whole, true},
		"of another":       {encode(other.Want), false},
		"truncated":        {whole[:len(whole)/2], false},
		"incomplete":       {encode(incomplete), false},
		"of another stage": {encode(chain.Derive(chain.PathEncode, own.InputDigests[0])), false},
		"nothing":          {nil, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(isExpectedOutput(own, tt.output), tt.want)
		})
	}
}

// A stream counts as whole only with every token once, in order, and its end event. A stream without its end is lost,
// one with missing, repeated or another request's tokens is wrong.
func TestReadStream(t *testing.T) {
	own, other := testRequests(t, true)
	count := chain.TokenCount(own.Want.Digest, own.Flow.MeanTokens, 0)
	tokens := func(req *Request, from, to int) string {
		var b strings.Builder
		for i := from; i < to; i++ {
			fmt.Fprintf(&b, "event: token\ndata: {\"offset\":%d,\"text\":%q}\n\n", i, chain.Token(req.Want.Digest, i))
		}
		return b.String()
	}
	end := "event: end\ndata: {\"requestId\":\"r\",\"status\":\"complete\",\"cost\":[]}\n\n"
	refused := "event: problem\ndata: {\"execution\":\"notRun\"}\n\n"
	ran := "event: problem\ndata: {\"execution\":\"ran\"}\n\n"
	tests := map[string]struct {
		body string
		want Result
	}{
		"whole":          {tokens(own, 0, count) + end, Whole},
		"no end":         {tokens(own, 0, count), Lost},
		"half event":     {tokens(own, 0, count) + end[:len(end)/2], Lost},
		"token missing":  {tokens(own, 0, 1) + tokens(own, 2, count) + end, Wrong},
		"token doubled":  {tokens(own, 0, 2) + tokens(own, 1, count) + end, Wrong},
		"last missing":   {tokens(own, 0, count-1) + end, Wrong},
		"of another":     {tokens(other, 0, count) + end, Wrong},
		"nothing":        {end, Wrong},
		"refused":        {refused, Refused},
		"failed halfway": {tokens(own, 0, 2) + ran, Failed},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			out := Outcome{Result: Lost}
			err := readStream(strings.NewReader(tt.body), own, time.Now(), &out)
			is.Equal(out.Result, tt.want)
			is.Equal(err != nil, tt.want == Lost)
		})
	}
}

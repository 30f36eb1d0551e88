package load

import (
	"encoding/json"
	"io"
	"time"

	"plantainlane/standin/chain"
	"plantainlane/standin/fake"
	"plantainlane/wire"
)

// tokenReader checks a stream of tokens against those of the request's own answer.
type tokenReader struct {
	req     *Request
	arrival time.Time

	count   int
	last    time.Time
	first   time.Duration
	gaps    []time.Duration
	wrong   bool
	ended   bool
	end     wire.PipelineAnswer
	problem *wire.Problem
}

func (t *tokenReader) read(body io.Reader) error { return eachEvent(body, t.take) }

func (t *tokenReader) take(e event) bool {
	switch e.name {
	case "token":
		t.token(e.data, time.Now())
	case "end":
		t.ended = true
		t.wrong = t.wrong || json.Unmarshal(e.data, &t.end) != nil || !isCount(t.req, t.count)
		return false
	case "problem":
		var p wire.Problem
		if json.Unmarshal(e.data, &p) == nil {
			t.problem = &p
		}
		return false
	}
	return true
}

func (t *tokenReader) token(data []byte, now time.Time) {
	var tok fake.Token
	if json.Unmarshal(data, &tok) != nil || tok.Offset != t.count {
		t.wrong = true
		return
	}
	t.wrong = t.wrong || tok.Text != chain.Token(t.req.Want.Digest, tok.Offset)
	if t.count == 0 {
		t.first = now.Sub(t.arrival)
	} else {
		t.gaps = append(t.gaps, now.Sub(t.last))
	}
	t.count++
	t.last = now
}

package load

import (
	"encoding/json"
	"io"
	"time"

	"plantainlane/standin/chain"
	"plantainlane/standin/fake"
	"plantainlane/wire"
)

// tokenReader reads a streamed answer and checks its tokens against the expected output of the request.
type tokenReader struct {
	req     *Request
	arrival time.Time

	count       int // tokens received, which is also the next expected offset
	lastTokenAt time.Time
	firstToken  time.Duration // from arrival to the first token
	gaps        []time.Duration
	// wrong is set if a token or the end is not as expected.
	wrong bool
	// ended is set once the end event has been received, whose data is in end.
	ended bool
	end   wire.PipelineAnswer
	// problem is the data of the problem event, nil if none has been received.
	problem *wire.Problem
}

func (t *tokenReader) read(body io.Reader) error { return readEvents(body, t.handleEvent) }

// handleEvent handles one event and reports whether the stream goes on.
func (t *tokenReader) handleEvent(e event) bool {
	switch e.name {
	case "token":
		t.handleToken(e.data, time.Now())
	case "end":
		t.ended = true
		t.wrong = t.wrong || json.Unmarshal(e.data, &t.end) != nil || !isExpectedTokenCount(t.req, t.count)
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

// handleToken checks the offset and text of a token and records when it was received.
func (t *tokenReader) handleToken(data []byte, now time.Time) {
	var tok fake.Token
	if json.Unmarshal(data, &tok) != nil || tok.Offset != t.count {
		t.wrong = true
		return
	}
	t.wrong = t.wrong || tok.Text != chain.Token(t.req.Want.Digest, tok.Offset)
	if t.count == 0 {
		t.firstToken = now.Sub(t.arrival)
	} else {
		t.gaps = append(t.gaps, now.Sub(t.lastTokenAt))
	}
	t.count++
	t.lastTokenAt = now
}

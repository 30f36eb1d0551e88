package upstream

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"

	"github.com/cockroachdb/errors"
)

// Names of the events of a stream.
const (
	// EventToken is the name of an event with a Token.
	EventToken = "token"
	// EventEnd is the name of the last event, with an End.
	EventEnd = "end"
)

const (
	// eventBufferBytes is the initial size of a stream's read buffer.
	eventBufferBytes = 4 << 10
	// maxLineBytes is the maximum length of one line of an event.
	maxLineBytes = 1 << 20
)

// Token is one streamed token.
type Token struct {
	// Offset is the position of the token in the answer, counted from 0.
	Offset int `json:"offset"`
	// Text is the text of the token.
	Text string `json:"text"`
}

// End is the last event of a stream.
type End struct {
	// Tokens is the number of tokens in the whole answer.
	Tokens int `json:"tokens"`
	// CostUnits is the cost of the attempt in cost units.
	CostUnits float64 `json:"costUnits"`
}

// Stream makes a call whose answer is a stream, and calls token with each token when it is received. It returns the end
// event, or ErrTruncated if the stream ends without an end event. If token returns an error, Stream ends the call and
// returns the error. As with Do, errors are marked with ErrNotRun if the work certainly did not run.
func (c *Client) Stream(ctx context.Context, call Call, token func(Token) error) (End, error) {
	ctx, silence := withSilenceTimeout(ctx, call.SilentAfter)
	defer silence.stop()
	res, err := c.open(ctx, call)
	if err != nil {
		return End{}, err
	}
	defer res.Body.Close()
	lines := bufio.NewScanner(silence.reader(res.Body))
	lines.Buffer(make([]byte, 0, eventBufferBytes), maxLineBytes)
	name := ""
	for lines.Scan() {
		line := lines.Bytes()
		if v, ok := bytes.CutPrefix(line, []byte("event:")); ok {
			name = string(bytes.TrimSpace(v))
			continue
		}
		data, ok := bytes.CutPrefix(line, []byte("data:"))
		if !ok {
			continue
		}
		end, done, err := handleEvent(name, data, token)
		if err != nil || done {
			return end, err
		}
	}
	return End{}, streamError(ctx, lines.Err())
}

// handleEvent handles the data of an event with the given name. It ignores events with other names than EventToken and
// EventEnd. done is true after the end event.
func handleEvent(name string, data []byte, token func(Token) error) (end End, done bool, err error) {
	switch name {
	case EventToken:
		var t Token
		if err := json.Unmarshal(data, &t); err != nil {
			return End{}, false, errors.Mark(errors.Wrap(err, "decode token event"), ErrFailed)
		}
		return End{}, false, token(t)
	case EventEnd:
		if err := json.Unmarshal(data, &end); err != nil {
			return End{}, false, errors.Mark(errors.Wrap(err, "decode end event"), ErrFailed)
		}
		return end, true, nil
	}
	return End{}, false, nil
}

// streamError returns the error of a stream without an end event. err is the error of the last read; nil at the end of
// the data.
func streamError(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return errors.Wrap(cause, "read stream")
	}
	if err == nil {
		err = io.ErrUnexpectedEOF
	}
	return errors.Mark(errors.Wrap(err, "read stream"), ErrTruncated)
}

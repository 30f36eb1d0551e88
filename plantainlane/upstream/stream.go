package upstream

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"

	"github.com/cockroachdb/errors"
)

// Names of streamed events.
const (
	EventToken = "token"
	EventEnd   = "end"
)

const (
	// eventBufferBytes is the memory that an open stream starts with.
	eventBufferBytes = 4 << 10
	// maxEventBytes bounds one streamed event.
	maxEventBytes = 1 << 20
)

// Token is one streamed token.
type Token struct {
	// Offset counts the tokens of an answer from 0.
	Offset int `json:"offset"`
	// Text of the token.
	Text string `json:"text"`
}

// End is the last event of a stream.
type End struct {
	// Tokens generated in all.
	Tokens int `json:"tokens"`
	// CostUnits of the attempt.
	CostUnits float64 `json:"costUnits"`
}

// Stream makes a call whose answer is streamed and passes each token on as it comes. It returns the end
// event, or ErrTruncated for a stream without one. An error of token ends the call.
func (c *Client) Stream(ctx context.Context, call Call, token func(Token) error) (End, error) {
	ctx, watch := watchSilence(ctx, call.SilentAfter)
	defer watch.stop()
	res, err := c.open(ctx, call)
	if err != nil {
		return End{}, err
	}
	defer res.Body.Close()
	events := bufio.NewScanner(watch.reader(res.Body))
	events.Buffer(make([]byte, 0, eventBufferBytes), maxEventBytes)
	name := ""
	for events.Scan() {
		line := events.Bytes()
		if v, ok := bytes.CutPrefix(line, []byte("event:")); ok {
			name = string(bytes.TrimSpace(v))
			continue
		}
		data, ok := bytes.CutPrefix(line, []byte("data:"))
		if !ok {
			continue
		}
		end, done, err := takeEvent(name, data, token)
		if err != nil || done {
			return end, err
		}
	}
	return End{}, streamError(ctx, events.Err())
}

func takeEvent(name string, data []byte, token func(Token) error) (end End, done bool, err error) {
	switch name {
	case EventToken:
		var t Token
		if err := json.Unmarshal(data, &t); err != nil {
			return End{}, false, errors.Mark(err, ErrFailed)
		}
		return End{}, false, token(t)
	case EventEnd:
		if err := json.Unmarshal(data, &end); err != nil {
			return End{}, false, errors.Mark(err, ErrFailed)
		}
		return end, true, nil
	}
	return End{}, false, nil
}

func streamError(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return errors.Wrap(cause, "read stream")
	}
	if err == nil {
		err = io.ErrUnexpectedEOF
	}
	return errors.Mark(errors.Wrap(err, "read stream"), ErrTruncated)
}

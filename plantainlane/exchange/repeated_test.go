package exchange

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

// TestSecondCopyIsTakenForNextAnswer guards against an answer that an upstream sends a second time, after the connection
// carries the next request, and that is taken for the answer to it; and against the answers after it, which are then each
// those of the request before.
func TestSecondCopyIsTakenForNextAnswer(t *testing.T) {
	is := is.New(t)
	answer := func(n int) string { return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\na%d", n) }
	address := startUpstream(t, func(n int) string {
		if n == 1 {
			return answer(0) + answer(1) // the late copy comes in place of the answer
		}
		return answer(n)
	})
	p := NewPool(time.Minute)
	roundTrip := func() (string, error) {
		reply, err := p.RoundTrip(context.Background(), address, &Request{
			Method: http.MethodPost, Target: "/", Host: "h",
			Accept: func(r *Reply) (string, error) { return string(r.Body), nil },
		}, 100)
		if err != nil {
			return "", err
		}
		return string(reply.Body), nil
	}
	body, err := roundTrip()
	is.NoErr(err)
	is.Equal(body, "a0")
	_, err = roundTrip()
	is.True(errors.Is(err, ErrRepeatedAnswer))
	is.Equal(countIdle(p, address), 0)
	body, err = roundTrip() // on a new connection
	is.NoErr(err)
	is.Equal(body, "a2")
}

// TestOldCopyIsTakenForNextAnswer guards against a copy that comes after its answer was forgotten, and is taken for the answer to the
// next request.
func TestOldCopyIsTakenForNextAnswer(t *testing.T) {
	is := is.New(t)
	answer := func(n int) string { return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\na%04d", n) }
	const late = 100
	address := startUpstream(t, func(n int) string {
		if n == late {
			return answer(0) + answer(n)
		}
		return answer(n)
	})
	p := NewPool(time.Minute)
	roundTrip := func() error {
		_, err := p.RoundTrip(context.Background(), address, &Request{
			Method: http.MethodPost, Target: "/", Host: "h",
			Accept: func(r *Reply) (string, error) { return string(r.Body), nil },
		}, 100)
		return err
	}
	for range late {
		is.NoErr(roundTrip())
		is.Equal(countIdle(p, address), 1)
	}
	is.True(errors.Is(roundTrip(), ErrRepeatedAnswer))
	is.Equal(countIdle(p, address), 0)
	for range maxTokens {
		is.NoErr(roundTrip())
	}
	is.Equal(countIdle(p, address), 0) // none of its answers was forgotten
}

// TestAnswerWithoutTokenIsKept guards against a connection that is used again after an answer whose copy couldn't be told from the next one.
func TestAnswerWithoutTokenIsKept(t *testing.T) {
	is := is.New(t)
	address := startUpstream(t, func(int) string { return completeAnswer })
	p := NewPool(time.Minute)
	_, err := p.RoundTrip(context.Background(), address, &Request{
		Method: http.MethodPost, Target: "/", Host: "h",
		Accept: func(*Reply) (string, error) { return "", nil },
	}, 100)
	is.NoErr(err)
	is.Equal(countIdle(p, address), 0)
}

package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v5"

	"plantainlane/wire"
)

// keepAliveInterval is the time without a token after which a comment is sent on a stream, so that the reader can tell
// a slow stream from a broken one.
const keepAliveInterval = 500 * time.Millisecond

// writeStream sends the tokens of a stream and the end event, with the cost and the cached blocks as trailers. If
// reading s fails, the connection is aborted instead of sending the end event; if the client can't be written to,
// writeStream returns nil.
func writeStream(w http.ResponseWriter, r *http.Request, s *Stream) error {
	h := w.Header()
	h.Set(echo.HeaderContentType, "text/event-stream")
	h.Set("Trailer", headerCost+", "+headerCached)
	w.WriteHeader(http.StatusOK)
	flush := http.NewResponseController(w)
	if err := flush.Flush(); err != nil {
		return nil
	}
	for {
		t, more, err := nextToken(r.Context(), s)
		switch {
		case errors.Is(err, context.DeadlineExceeded) && r.Context().Err() == nil:
			_, err = fmt.Fprint(w, ": alive\n\n")
		case err != nil:
			panic(http.ErrAbortHandler)
		case more:
			err = writeEvent(w, "token", t)
		default:
			end := s.End()
			h.Set(headerCost, strconv.FormatFloat(end.CostUnits, 'g', -1, 64))
			h.Set(headerCached, strconv.Itoa(s.Cached()))
			return writeEvent(w, "end", end)
		}
		if err != nil || flush.Flush() != nil {
			return nil
		}
	}
}

// nextToken returns the next token of a stream, or context.DeadlineExceeded after keepAliveInterval.
func nextToken(ctx context.Context, s *Stream) (wire.Token, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, keepAliveInterval)
	defer cancel()
	return s.Next(ctx)
}

// writeEvent writes a server-sent event with data as JSON.
func writeEvent(w http.ResponseWriter, name string, data any) error {
	b, err := json.Marshal(data)
	if err != nil {
		return errors.Wrap(err, "encode event")
	}
	_, err = fmt.Fprintf(w, "event: %s\ndata: %s\n\n", name, b)
	return err
}

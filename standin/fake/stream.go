package fake

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"plantainlane/standin/chain"
	"plantainlane/wire"

	"github.com/labstack/echo/v5"
)

// Token is the data of a token event.
type Token struct {
	Offset int    `json:"offset"`
	Text   string `json:"text"`
}

// End is the data of the end event of a stream.
type End struct {
	Tokens    int     `json:"tokens"`
	CostUnits float64 `json:"costUnits"`
}

// writeStream answers with token events and an end event. A truncated stream stops half way, see truncateStream.
func (f *Fake) writeStream(in call, exec execution, fault wire.Fault, truncate bool) error {
	limit, err := strconv.Atoi(in.r.Header.Get(HeaderMaxTokens))
	if err != nil {
		limit = 0
	}
	count := chain.TokenCount(in.out.Digest, f.profile.Tokens, limit)
	h := in.w.Header()
	h.Set(echo.HeaderContentType, "text/event-stream")
	h.Set("Trailer", HeaderCost)
	flush := http.NewResponseController(in.w)
	for i := range count {
		if truncate && i >= count/2 {
			return f.truncateStream()
		}
		if !f.sleep(in.r.Context(), f.tokenGap(fault)) {
			return nil
		}
		exec.charge(f.profile.TokenUnits)
		token := Token{Offset: i, Text: chain.Token(in.out.Digest, i)}
		if err := writeEvent(in.w, "token", token); err != nil {
			return err
		}
		if err := flush.Flush(); err != nil {
			return err
		}
	}
	units := in.row.Units + float64(count)*f.profile.TokenUnits
	h.Set(HeaderCost, formatUnits(units))
	return writeEvent(in.w, "end", End{Tokens: count, CostUnits: units})
}

// truncateStream ends a stream without its end event. One half of the streams, chosen at random, end with an aborted
// connection, which the HTTP client detects; the others end like a complete answer.
func (f *Fake) truncateStream() error {
	if f.random.chance(0.5) {
		panic(http.ErrAbortHandler)
	}
	return nil
}

// tokenGap returns the time between two tokens of a stream.
func (f *Fake) tokenGap(fault wire.Fault) time.Duration {
	if f.profile.TokensPerSecond <= 0 {
		return 0
	}
	gap := float64(time.Second) / f.profile.TokensPerSecond
	if fault.SlowFactor > 0 {
		gap *= fault.SlowFactor
	}
	return time.Duration(gap)
}

// writeEvent writes a server-sent event with data as JSON.
func writeEvent(w http.ResponseWriter, name string, data any) error {
	b, err := json.Marshal(data)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(w, "event: %s\ndata: %s\n\n", name, b)
	return err
}

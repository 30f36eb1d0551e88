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

// stream answers with token events and an end event. A truncated stream stops half way, with or
// without an error that the transport can see.
func (f *Fake) stream(in call, run execution, fault wire.Fault, truncate bool) error {
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
			return f.breakOff()
		}
		if !f.sleep(in.r.Context(), f.tokenGap(fault)) {
			return nil
		}
		run.charge(f.profile.TokenUnits)
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

func (f *Fake) breakOff() error {
	if f.dice.chance(0.5) {
		panic(http.ErrAbortHandler)
	}
	return nil
}

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

func writeEvent(w http.ResponseWriter, name string, data any) error {
	b, err := json.Marshal(data)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(w, "event: %s\ndata: %s\n\n", name, b)
	return err
}

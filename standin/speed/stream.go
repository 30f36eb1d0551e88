package speed

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// Stream holds the figures of the tokens of one way's streams.
type Stream struct {
	Way    string `json:"way"`
	Tokens int    `json:"tokens"`
	// GapP50 and GapP99 are quantiles of the time between successive tokens of a stream.
	GapP50 time.Duration `json:"gapP50Ns"`
	GapP99 time.Duration `json:"gapP99Ns"`
	// Bunched counts tokens that arrived less than bunchedFraction of the median gap after the previous token, as
	// happens if something on the way buffers tokens.
	Bunched int `json:"bunched"`
}

// bunchedFraction is the fraction of the median gap below which a token counts as bunched.
const bunchedFraction = 0.1

// MeasureStream reads streams one after another and returns the figures of their tokens.
func MeasureStream(ctx context.Context, client *http.Client, w Way, input json.RawMessage, streams int) (Stream, error) {
	var gaps []time.Duration
	s := Stream{Way: w.Name()}
	for range streams {
		var lastTokenAt time.Time
		err := readStream(ctx, client, w, input, func() {
			now := time.Now()
			if !lastTokenAt.IsZero() {
				gaps = append(gaps, now.Sub(lastTokenAt))
			}
			lastTokenAt = now
			s.Tokens++
		})
		if err != nil {
			return s, err
		}
	}
	if len(gaps) == 0 {
		return s, errors.Newf("%s streamed no tokens", w.Name())
	}
	slices.Sort(gaps)
	s.GapP50, s.GapP99 = gaps[len(gaps)/2], gaps[len(gaps)*99/100]
	for _, g := range gaps {
		if float64(g) < bunchedFraction*float64(s.GapP50) {
			s.Bunched++
		}
	}
	return s, nil
}

// readStream reads a stream to its end event and calls onToken at each token. It returns an error for a status other
// than 200 and for a stream without an end event.
func readStream(ctx context.Context, client *http.Client, w Way, input json.RawMessage, onToken func()) error {
	r, err := w.Request(ctx, input, true)
	if err != nil {
		return err
	}
	resp, err := client.Do(r)
	if err != nil {
		return errors.Wrap(err, w.Name())
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.Newf("%s answered %s", w.Name(), resp.Status)
	}
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		switch {
		case bytes.Equal(lines.Bytes(), []byte("event: token")):
			onToken()
		case bytes.Equal(lines.Bytes(), []byte("event: end")):
			return nil
		}
	}
	return errors.Newf("%s: stream stopped before its end event", w.Name())
}

// HoldStreams opens streams and waits, at most for wait, until each stream has a token or has failed. It then calls
// whileOpen and waits until all streams have been read to their end. It returns the number of streams that had a token
// when it called whileOpen, and an error if any stream failed.
func HoldStreams(ctx context.Context, client *http.Client, w Way, input json.RawMessage, streams int, wait time.Duration, whileOpen func()) (int, error) {
	var open, failed atomic.Int64
	var running sync.WaitGroup
	for range streams {
		running.Go(func() {
			started := false
			err := readStream(ctx, client, w, input, func() {
				if !started {
					started = true
					open.Add(1)
				}
			})
			if err != nil {
				failed.Add(1)
			}
		})
	}
	for end := time.Now().Add(wait); time.Now().Before(end) && open.Load()+failed.Load() < int64(streams); {
		time.Sleep(10 * time.Millisecond)
	}
	count := int(open.Load())
	whileOpen()
	running.Wait()
	if n := failed.Load(); n > 0 {
		return count, errors.Newf("%d of %d streams failed", n, streams)
	}
	return count, nil
}

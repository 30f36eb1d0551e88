package speed

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

// Plan describes a measurement.
type Plan struct {
	Direct  *Direct
	Through *Through
	// Calls is the number of calls kept in flight to measure rates.
	Calls int
	// Rounds is the number of rounds. Each round measures the rate of both ways in turn.
	Rounds int
	// Round is the time to measure one way in a round.
	Round time.Duration
	// LatencyCalls is the number of calls to measure the latency of each way, one call at a time.
	LatencyCalls int
	// Streams is the number of streams that are open at the same time when memory is read.
	Streams int
	// Operator is the address of the instance's operator listener, at which memory is read with Credential; if it is
	// empty, memory is not measured. PID is the process ID of the instance; if it is 0, resident memory is not read.
	Operator, Credential string
	PID                  int
}

// Figures are the results of a measurement.
type Figures struct {
	// Rates are the rates of each round, first the direct one, then the one through the instance.
	Rates []Rate `json:"rates"`
	// Ratio is the rate through the instance over the direct rate, the median of all rounds.
	Ratio float64 `json:"ratio"`
	// Latency and Streams hold the direct way first, then the way through.
	Latency []Latency `json:"latency"`
	// AddedMedian is the median latency through the instance minus the direct median latency.
	AddedMedian time.Duration `json:"addedMedianNs"`
	Streams     []Stream      `json:"streams"`
	// OpenStreams is the number of streams that were open when memory was read, 0 if it was not read.
	OpenStreams int `json:"openStreams"`
	// GoBytesPerStream and ResidentBytesPerStream are the growth of Memory.Go and Memory.Resident of the instance per
	// open stream.
	GoBytesPerStream       int64 `json:"goBytesPerStream"`
	ResidentBytesPerStream int64 `json:"residentBytesPerStream"`
}

const (
	// streamsPerWay is the number of streams read to measure the gaps between tokens.
	streamsPerWay = 5
	// streamOpenTimeout is how long to wait until all streams for memory have a token.
	streamOpenTimeout = 15 * time.Second
)

// smallBody is the input of all calls and streams.
var smallBody = json.RawMessage(`{"request":"speed","text":"where is the pharmacy"}`)

// Measure measures rates, then latency, then streams, then memory. It returns the figures so far with the first error,
// such as a call that got another answer than expected.
func Measure(ctx context.Context, p Plan) (Figures, error) {
	var f Figures
	client := NewClient()
	if err := f.measureRates(ctx, client, p); err != nil {
		return f, err
	}
	var err error
	ways := []Way{p.Direct, p.Through}
	if f.Latency, err = MeasureLatency(ctx, client, ways, smallBody, p.Direct.Path, p.LatencyCalls); err != nil {
		return f, err
	}
	f.AddedMedian = f.Latency[1].P50 - f.Latency[0].P50
	for _, w := range ways {
		s, err := MeasureStream(ctx, client, w, smallBody, streamsPerWay)
		if err != nil {
			return f, err
		}
		f.Streams = append(f.Streams, s)
	}
	return f, f.measureMemory(ctx, client, p)
}

// measureRates measures both ways in turn and sets Rates and Ratio.
func (f *Figures) measureRates(ctx context.Context, client *http.Client, p Plan) error {
	var ratios []float64
	for range p.Rounds {
		direct := MeasureRate(ctx, client, p.Direct, smallBody, p.Direct.Path, p.Calls, p.Round)
		through := MeasureRate(ctx, client, p.Through, smallBody, p.Direct.Path, p.Calls, p.Round)
		f.Rates = append(f.Rates, direct, through)
		if direct.Answers == 0 || through.Answers == 0 {
			return errors.Newf("no answers; first failure of direct calls: %q, of calls through the instance: %q",
				direct.Failure, through.Failure)
		}
		ratios = append(ratios, through.PerSecond/direct.PerSecond)
	}
	slices.Sort(ratios)
	f.Ratio = ratios[len(ratios)/2]
	return nil
}

// measureMemory sets the growth of memory per open stream, if the plan has an operator listener.
func (f *Figures) measureMemory(ctx context.Context, client *http.Client, p Plan) error {
	if p.Operator == "" {
		return nil
	}
	before, err := ReadMemory(ctx, client, p.Operator, p.Credential, p.PID)
	if err != nil {
		return err
	}
	var withStreams Memory
	var readErr error
	open, err := HoldStreams(ctx, client, p.Through, smallBody, p.Streams, streamOpenTimeout, func() {
		withStreams, readErr = ReadMemory(ctx, client, p.Operator, p.Credential, p.PID)
	})
	if err := errors.CombineErrors(err, readErr); err != nil {
		return err
	}
	f.OpenStreams = open
	if open > 0 {
		f.GoBytesPerStream = (withStreams.Go - before.Go) / int64(open)
		f.ResidentBytesPerStream = (withStreams.Resident - before.Resident) / int64(open)
	}
	return nil
}

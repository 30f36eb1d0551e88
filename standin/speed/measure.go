package speed

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

// Plan says what to measure.
type Plan struct {
	Direct  *Direct
	Through *Through
	// Calls are kept in flight for throughput.
	Calls int
	// Rounds of both ways by turns, each as long as Round.
	Rounds int
	Round  time.Duration
	// LatencyCalls are made one at a time by each way.
	LatencyCalls int
	// Streams are held open at once for memory.
	Streams int
	// Operator and Credential reach the instance's metrics; PID is its process, 0 if unknown.
	Operator, Credential string
	PID                  int
}

// Figures are what was measured, beside the targets.
type Figures struct {
	Rates []Rate `json:"rates"`
	// Ratio is the median over rounds of the rate through over the direct rate.
	Ratio   float64   `json:"ratio"`
	Latency []Latency `json:"latency"`
	// AddedMedian is the median latency through less the direct one.
	AddedMedian time.Duration `json:"addedMedianNs"`
	Streams     []Stream      `json:"streams"`
	// OpenStreams were open when Memory was read.
	OpenStreams int `json:"openStreams"`
	// GoBytesPerStream and ResidentBytesPerStream are the growth of the instance by stream.
	GoBytesPerStream       int64 `json:"goBytesPerStream"`
	ResidentBytesPerStream int64 `json:"residentBytesPerStream"`
}

const (
	passStreams  = 5
	streamsStart = 15 * time.Second
)

var smallBody = json.RawMessage(`{"request":"speed","text":"where is the pharmacy"}`)

// Measure runs a plan.
func Measure(ctx context.Context, p Plan) (Figures, error) {
	var f Figures
	client := NewClient()
	if err := f.throughput(ctx, client, p); err != nil {
		return f, err
	}
	var err error
	ways := []Way{p.Direct, p.Through}
	if f.Latency, err = MeasureLatency(ctx, client, ways, smallBody, p.Direct.Path, p.LatencyCalls); err != nil {
		return f, err
	}
	f.AddedMedian = f.Latency[1].P50 - f.Latency[0].P50
	for _, w := range ways {
		s, err := MeasureStream(ctx, client, w, smallBody, passStreams)
		if err != nil {
			return f, err
		}
		f.Streams = append(f.Streams, s)
	}
	return f, f.memory(ctx, client, p)
}

func (f *Figures) throughput(ctx context.Context, client *http.Client, p Plan) error {
	var ratios []float64
	for range p.Rounds {
		direct := MeasureRate(ctx, client, p.Direct, smallBody, p.Direct.Path, p.Calls, p.Round)
		through := MeasureRate(ctx, client, p.Through, smallBody, p.Direct.Path, p.Calls, p.Round)
		f.Rates = append(f.Rates, direct, through)
		if direct.Answers == 0 || through.Answers == 0 {
			return errors.Newf("no answers: %s%s", direct.Failure, through.Failure)
		}
		ratios = append(ratios, through.PerSecond/direct.PerSecond)
	}
	slices.Sort(ratios)
	f.Ratio = ratios[len(ratios)/2]
	return nil
}

func (f *Figures) memory(ctx context.Context, client *http.Client, p Plan) error {
	if p.Operator == "" {
		return nil
	}
	before, err := ReadMemory(ctx, client, p.Operator, p.Credential, p.PID)
	if err != nil {
		return err
	}
	var during Memory
	var readErr error
	open, err := HoldStreams(ctx, client, p.Through, smallBody, p.Streams, streamsStart, func() {
		during, readErr = ReadMemory(ctx, client, p.Operator, p.Credential, p.PID)
	})
	if err := errors.CombineErrors(err, readErr); err != nil {
		return err
	}
	f.OpenStreams = open
	if open > 0 {
		f.GoBytesPerStream = (during.Go - before.Go) / int64(open)
		f.ResidentBytesPerStream = (during.Resident - before.Resident) / int64(open)
	}
	return nil
}

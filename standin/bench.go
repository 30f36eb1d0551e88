package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"plantainlane/standin/admin"
	"plantainlane/standin/loopback"
	"plantainlane/standin/scenario"
	"plantainlane/standin/speed"
	"plantainlane/wire"
)

// Targets of the speed of one instance.
const (
	leastRatio      = 0.4
	mostAddedMedian = time.Millisecond
	mostStreamBytes = 64 << 10
)

func benchCommand() *cli.Command {
	return &cli.Command{
		Name:  "bench",
		Usage: "measure calls through one instance beside direct calls to the same upstreams",
		Description: "Example: standin bench --entry 127.0.0.1:7101 --fakes 127.0.0.1:9001 --workspace lanterna \\\n" +
			"   --key lanterna-key --operator 127.0.0.1:7103 --operator-credential secret\n" +
			"   Exits 2 if a target was missed.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "entry", Required: true, Usage: "caller listener of the instance"},
			&cli.StringSliceFlag{Name: "fakes", Required: true, Usage: "admin addresses of the fakes"},
			&cli.StringFlag{Name: "workspace", Required: true, Usage: "workspace"},
			&cli.StringFlag{Name: "key", Required: true, Usage: "key of the workspace"},
			&cli.StringFlag{Name: "declarations", Value: "bench/declarations.jsonc", Usage: "file with the pipelines"},
			&cli.StringFlag{Name: "pipeline", Value: "tone", Usage: "pipeline of one idempotent stage"},
			&cli.StringFlag{Name: "stream-pipeline", Value: "answer", Usage: "pipeline of one stage that streams"},
			&cli.StringFlag{Name: "operator", Usage: "operator listener of the instance, for memory"},
			&cli.StringFlag{Name: "operator-credential", Usage: "credential there"},
			&cli.IntFlag{Name: "pid", Usage: "process of the instance, for its resident set"},
			&cli.IntFlag{Name: "calls", Value: 64, Usage: "calls in flight"},
			&cli.IntFlag{Name: "rounds", Value: 3, Usage: "rounds of both ways"},
			&cli.DurationFlag{Name: "round", Value: 2 * time.Second, Usage: "length of a round"},
			&cli.IntFlag{Name: "latency-calls", Value: 2000, Usage: "calls one at a time"},
			&cli.IntFlag{Name: "streams", Value: 500, Usage: "streams open at once"},
			&cli.BoolFlag{Name: "json", Usage: "print JSON"},
		},
		Action: runBench,
	}
}

func runBench(ctx context.Context, c *cli.Command) error {
	plan, err := benchPlan(ctx, c)
	if err != nil {
		return err
	}
	f, err := speed.Measure(ctx, plan)
	if err != nil {
		return err
	}
	if c.Bool("json") {
		return json.NewEncoder(os.Stdout).Encode(f)
	}
	if !printFigures(f) {
		return cli.Exit("a target was missed", exitMissed)
	}
	return nil
}

func benchPlan(ctx context.Context, c *cli.Command) (speed.Plan, error) {
	if err := loopback.Check(append(c.StringSlice("fakes"), c.String("entry"))...); err != nil {
		return speed.Plan{}, err
	}
	pipelines, err := scenario.ReadPipelines(c.String("declarations"))
	if err != nil {
		return speed.Plan{}, err
	}
	whole, stream := pipelines[c.String("pipeline")], pipelines[c.String("stream-pipeline")]
	if len(whole.Stages) != 1 || len(stream.Stages) != 1 {
		return speed.Plan{}, errors.Wrap(errBadFlag, "pipeline and stream-pipeline have one stage")
	}
	direct := &speed.Direct{Path: whole.Stages[0].Path}
	for _, address := range c.StringSlice("fakes") {
		list, err := admin.Upstreams(ctx, http.DefaultClient, address)
		if err != nil {
			return speed.Plan{}, err
		}
		direct.Whole = append(direct.Whole, addressesOf(list, whole.Stages[0].Service)...)
		direct.Stream = append(direct.Stream, addressesOf(list, stream.Stages[0].Service)...)
	}
	if len(direct.Whole) == 0 || len(direct.Stream) == 0 {
		return speed.Plan{}, errors.New("the fakes run no upstream of a pipeline's service")
	}
	return speed.Plan{
		Direct: direct,
		Through: &speed.Through{
			Entry: c.String("entry"), Workspace: c.String("workspace"), Key: c.String("key"),
			Whole: whole.Name, Stream: stream.Name,
		},
		Calls: c.Int("calls"), Rounds: c.Int("rounds"), Round: c.Duration("round"),
		LatencyCalls: c.Int("latency-calls"), Streams: c.Int("streams"),
		Operator: c.String("operator"), Credential: c.String("operator-credential"), PID: c.Int("pid"),
	}, nil
}

func addressesOf(list []wire.Announcement, service string) []string {
	var addresses []string
	for _, a := range list {
		if a.Service == service {
			addresses = append(addresses, a.Address)
		}
	}
	return addresses
}

// printFigures prints figures beside targets and reports whether all targets were met.
func printFigures(f speed.Figures) bool {
	for _, r := range f.Rates {
		fmt.Printf("%s: %.0f answers/s, %d failures %s\n", r.Way, r.PerSecond, r.Failures, r.Failure)
	}
	for _, l := range f.Latency {
		fmt.Printf("%s: one at a time p50 %v, p99 %v\n", l.Way, l.P50, l.P99)
	}
	for _, s := range f.Streams {
		fmt.Printf("%s: %d tokens, gap p50 %v, p99 %v, bunched %d\n", s.Way, s.Tokens, s.GapP50, s.GapP99, s.Bunched)
	}
	all := true
	verdict := func(met bool, format string, values ...any) {
		state := "met"
		if !met {
			state, all = "MISSED", false
		}
		fmt.Printf(format+": "+state+"\n", values...)
	}
	verdict(f.Ratio >= leastRatio, "answers/s through over direct %.3f, at least %.1f", f.Ratio, leastRatio)
	verdict(f.AddedMedian <= mostAddedMedian, "added at the median %v, at most %v", f.AddedMedian, mostAddedMedian)
	verdict(f.Streams[1].Bunched <= f.Streams[0].Bunched, "tokens held back %d, direct %d",
		f.Streams[1].Bunched, f.Streams[0].Bunched)
	if f.OpenStreams == 0 {
		fmt.Println("bytes per open stream: not measured, no operator listener given")
		return all
	}
	verdict(f.GoBytesPerStream <= mostStreamBytes && f.ResidentBytesPerStream <= mostStreamBytes,
		"bytes per open stream (%d open): heap and stacks %d, resident %d, at most %d",
		f.OpenStreams, f.GoBytesPerStream, f.ResidentBytesPerStream, mostStreamBytes)
	return all
}

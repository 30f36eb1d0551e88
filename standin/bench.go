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
	// minRatio is the least rate of answers through the instance over the direct rate.
	minRatio = 0.4
	// maxAddedMedian is the most that the instance may add to the median latency.
	maxAddedMedian = time.Millisecond
	// maxBytesPerStream bounds the growth of the instance's heap and stacks, and of its resident set, per open stream.
	maxBytesPerStream = 64 << 10
)

func benchCommand() *cli.Command {
	return &cli.Command{
		Name:  "bench",
		Usage: "compare calls through one instance with direct calls to the same upstreams",
		Description: "Example: standin bench --entry 127.0.0.1:7101 --fakes 127.0.0.1:9001 --workspace lanterna \\\n" +
			"   --key lanterna-key --operator 127.0.0.1:7103 --operator-credential secret\n" +
			"   Without --operator, memory is not measured. Without --json, the exit code is 2 if a target was missed.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "entry", Required: true, Usage: "address of the instance's caller listener"},
			&cli.StringSliceFlag{Name: "fakes", Required: true, Usage: "admin address of a process of fakes; can be repeated"},
			&cli.StringFlag{Name: "workspace", Required: true, Usage: "workspace"},
			&cli.StringFlag{Name: "key", Required: true, Usage: "key of the workspace"},
			&cli.StringFlag{Name: "declarations", Value: "bench/declarations.jsonc", Usage: "file or folder that declares the pipelines"},
			&cli.StringFlag{Name: "pipeline", Value: "tone", Usage: "pipeline with one idempotent stage that does not stream"},
			&cli.StringFlag{Name: "stream-pipeline", Value: "answer", Usage: "pipeline with one stage that streams tokens"},
			&cli.StringFlag{Name: "operator", Usage: "address of the instance's operator listener, to read its memory use"},
			&cli.StringFlag{Name: "operator-credential", Usage: "credential for the operator listener"},
			&cli.IntFlag{Name: "pid", Usage: "process ID of the instance, to read its resident memory"},
			&cli.IntFlag{Name: "calls", Value: 64, Usage: "calls in flight to measure rates"},
			&cli.IntFlag{Name: "rounds", Value: 3, Usage: "rounds; each measures direct calls, then calls through the instance"},
			&cli.DurationFlag{Name: "round", Value: 2 * time.Second, Usage: "time to measure each way in a round"},
			&cli.IntFlag{Name: "latency-calls", Value: 2000, Usage: "calls to measure latency, one at a time"},
			&cli.IntFlag{Name: "streams", Value: 500, Usage: "streams open at the same time to measure memory"},
			&cli.BoolFlag{Name: "json", Usage: "print the figures as JSON, without comparing them with targets"},
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

// benchPlan reads the flags, the pipelines and the addresses of the fakes' upstreams.
func benchPlan(ctx context.Context, c *cli.Command) (speed.Plan, error) {
	if err := loopback.Check(append(c.StringSlice("fakes"), c.String("entry"))...); err != nil {
		return speed.Plan{}, err
	}
	pipelines, err := scenario.ReadPipelines(c.String("declarations"))
	if err != nil {
		return speed.Plan{}, err
	}
	nonStreaming, streaming := pipelines[c.String("pipeline")], pipelines[c.String("stream-pipeline")]
	if len(nonStreaming.Stages) != 1 || len(streaming.Stages) != 1 {
		return speed.Plan{}, errors.Wrapf(errInvalidFlag, "--pipeline %q and --stream-pipeline %q must each name a pipeline "+
			"of one stage in %s", c.String("pipeline"), c.String("stream-pipeline"), c.String("declarations"))
	}
	direct := &speed.Direct{Path: nonStreaming.Stages[0].Path}
	for _, address := range c.StringSlice("fakes") {
		list, err := admin.Upstreams(ctx, http.DefaultClient, address)
		if err != nil {
			return speed.Plan{}, err
		}
		direct.NonStreaming = append(direct.NonStreaming, addressesOf(list, nonStreaming.Stages[0].Service)...)
		direct.Streaming = append(direct.Streaming, addressesOf(list, streaming.Stages[0].Service)...)
	}
	if len(direct.NonStreaming) == 0 || len(direct.Streaming) == 0 {
		return speed.Plan{}, errors.Newf("the fakes at %v must run upstreams of the services %q and %q",
			c.StringSlice("fakes"), nonStreaming.Stages[0].Service, streaming.Stages[0].Service)
	}
	return speed.Plan{
		Direct: direct,
		Through: &speed.Through{
			Entry: c.String("entry"), Workspace: c.String("workspace"), Key: c.String("key"),
			NonStreaming: nonStreaming.Name, Streaming: streaming.Name,
		},
		Calls: c.Int("calls"), Rounds: c.Int("rounds"), Round: c.Duration("round"),
		LatencyCalls: c.Int("latency-calls"), Streams: c.Int("streams"),
		Operator: c.String("operator"), Credential: c.String("operator-credential"), PID: c.Int("pid"),
	}, nil
}

// addressesOf returns the addresses of the upstreams of a service.
func addressesOf(list []wire.Announcement, service string) []string {
	var addresses []string
	for _, a := range list {
		if a.Service == service {
			addresses = append(addresses, a.Address)
		}
	}
	return addresses
}

// printFigures prints the figures and a verdict on each target, and reports whether all targets were met.
func printFigures(f speed.Figures) bool {
	for _, r := range f.Rates {
		fmt.Printf("%s: %.0f answers/s, %d failures %s\n", r.Way, r.PerSecond, r.Failures, r.Failure)
	}
	for _, l := range f.Latency {
		fmt.Printf("%s: latency of one call at a time p50 %v, p99 %v\n", l.Way, l.P50, l.P99)
	}
	for _, s := range f.Streams {
		fmt.Printf("%s: %d tokens, gap p50 %v, p99 %v, bunched %d\n", s.Way, s.Tokens, s.GapP50, s.GapP99, s.Bunched)
	}
	allMet := true
	verdict := func(met bool, format string, values ...any) {
		state := "met"
		if !met {
			state, allMet = "MISSED", false
		}
		fmt.Printf(format+": "+state+"\n", values...)
	}
	verdict(f.Ratio >= minRatio, "rate through the instance over direct rate %.3f, at least %.1f", f.Ratio, minRatio)
	verdict(f.AddedMedian <= maxAddedMedian, "latency added at the median %v, at most %v", f.AddedMedian, maxAddedMedian)
	verdict(f.Streams[1].Bunched <= f.Streams[0].Bunched, "bunched tokens through the instance %d, at most as many as direct: %d",
		f.Streams[1].Bunched, f.Streams[0].Bunched)
	if f.OpenStreams == 0 {
		fmt.Println("bytes per open stream: not measured, no operator listener given")
		return allMet
	}
	verdict(f.GoBytesPerStream <= maxBytesPerStream && f.ResidentBytesPerStream <= maxBytesPerStream,
		"bytes per open stream (%d open): heap and stacks %d, resident %d, at most %d",
		f.OpenStreams, f.GoBytesPerStream, f.ResidentBytesPerStream, maxBytesPerStream)
	return allMet
}

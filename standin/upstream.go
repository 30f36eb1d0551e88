package main

import (
	"cmp"
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"plantainlane/standin/announce"
	"plantainlane/standin/chain"
	"plantainlane/standin/fake"
	"plantainlane/standin/loopback"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"
	"k8s.io/klog/v2"
)

// maxFakes is the maximum number of fakes in one process.
const maxFakes = 1000

// errInvalidFlag marks a flag with a value that is not allowed.
var errInvalidFlag = errors.New("invalid flag")

func upstreamCommand() *cli.Command {
	return &cli.Command{
		Name:  "upstream",
		Usage: "run fakes of one service's upstreams, which announce themselves to instances",
		Description: "Example: standin upstream --service encoder --count 3 --zone milano-a --zone milano-b \\\n" +
			"   --announce 127.0.0.1:7102 --credential secret --admin 127.0.0.1:9001",
		Flags:  append(processFlags(), profileFlags()...),
		Action: runUpstreams,
	}
}

// processFlags returns the flags for the identity, listeners and announcements of the fakes.
func processFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "service", Required: true, Usage: "name of the service that the fakes belong to"},
		&cli.StringFlag{Name: "name", Usage: "prefix of upstream IDs; by default the service"},
		&cli.IntFlag{Name: "count", Value: 1, Usage: "number of fakes"},
		&cli.StringSliceFlag{Name: "zone", Value: []string{"zone-a"}, Usage: "zone; can be repeated, fakes get the zones in turn"},
		&cli.StringFlag{Name: "region", Value: "region-a", Usage: "region"},
		&cli.StringSliceFlag{Name: "announce", Usage: "address (host:port) of an instance's upstream listener; can be repeated. Without it the fakes are not announced"},
		&cli.StringFlag{Name: "credential", Sources: cli.EnvVars("STANDIN_CREDENTIAL"), Usage: "credential that announcements carry"},
		&cli.StringFlag{Name: "admin", Value: "127.0.0.1:0", Usage: "address of the admin listener (GET /ledger, GET /upstreams, POST /faults)"},
		&cli.IntFlag{Name: "port", Usage: "port of the first fake, the others use the ports after it; 0 uses free ports"},
		&cli.DurationFlag{Name: "ttl", Value: 3 * time.Second, Usage: "time to live of announcements"},
		&cli.DurationFlag{Name: "leave-wait", Value: 2 * time.Second, Usage: "how long to accept calls after announcing that the fakes leave"},
		&cli.DurationFlag{Name: "grace", Value: 10 * time.Second, Usage: "how long calls in flight may take to finish before they are aborted"},
	}
}

// profileFlags returns the flags for how the fakes handle calls.
func profileFlags() []cli.Flag {
	d := fake.DefaultProfile()
	return []cli.Flag{
		&cli.IntFlag{Name: "capacity", Value: d.Capacity, Usage: "calls each fake executes concurrently"},
		&cli.IntFlag{Name: "queue", Value: d.Queue, Usage: "calls that can wait at each fake; it refuses more"},
		&cli.DurationFlag{Name: "service-time", Value: d.ServiceTime, Usage: "mean service time of a call"},
		&cli.StringFlag{Name: "distribution", Value: string(d.Distribution), Usage: "distribution of service times: constant, exponential or lognormal"},
		&cli.StringSliceFlag{Name: "stream-path", Value: []string{chain.PathGenerate}, Usage: "path whose answers are streams of tokens; can be repeated"},
		&cli.IntFlag{Name: "tokens", Value: d.Tokens, Usage: "mean number of tokens of a stream"},
		&cli.FloatFlag{Name: "tokens-per-second", Value: 200, Usage: "rate of tokens of one stream; 0 sends them without pauses"},
		&cli.FloatFlag{Name: "cost", Value: d.CallUnits, Usage: "cost of an executed call, in cost units"},
		&cli.FloatFlag{Name: "token-cost", Usage: "cost of a token, in cost units"},
		&cli.StringSliceFlag{Name: "model", Usage: "model announced as loaded (NAME@VERSION); can be repeated"},
		&cli.IntFlag{Name: "ledger-rows", Value: d.LedgerRows, Usage: "executions that each fake keeps as single rows of its ledger"},
		&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of service times and of which calls faults apply to"},
	}
}

// readProfile returns the profile that the flags describe. It returns errInvalidFlag for values out of range.
func readProfile(c *cli.Command) (fake.Profile, error) {
	p := fake.Profile{
		Capacity: c.Int("capacity"), Queue: c.Int("queue"), ServiceTime: c.Duration("service-time"),
		Distribution: fake.Distribution(c.String("distribution")), StreamPaths: c.StringSlice("stream-path"),
		Tokens: c.Int("tokens"), TokensPerSecond: c.Float("tokens-per-second"), CallUnits: c.Float("cost"),
		TokenUnits: c.Float("token-cost"), LedgerRows: c.Int("ledger-rows"),
		Models: append([]string{}, c.StringSlice("model")...),
	}
	switch p.Distribution {
	case fake.Constant, fake.Exponential, fake.Lognormal:
	default:
		return p, errors.Wrapf(errInvalidFlag, "--distribution %q is none of %s, %s, %s", p.Distribution,
			fake.Constant, fake.Exponential, fake.Lognormal)
	}
	if p.Capacity < 1 || p.Queue < 0 || p.ServiceTime < 0 || p.Tokens < 1 || p.CallUnits < 0 || p.TokenUnits < 0 {
		return p, errors.Wrapf(errInvalidFlag,
			"--capacity %d and --tokens %d must be at least 1; --queue %d, --service-time %s, --cost %g and --token-cost %g "+
				"at least 0", p.Capacity, p.Tokens, p.Queue, p.ServiceTime, p.CallUnits, p.TokenUnits)
	}
	return p, nil
}

// newFakes returns the fakes that the flags describe, each with an open listener.
func newFakes(c *cli.Command) ([]*fake.Fake, error) {
	profile, err := readProfile(c)
	if err != nil {
		return nil, err
	}
	count, zones := c.Int("count"), c.StringSlice("zone")
	if count < 1 || count > maxFakes {
		return nil, errors.Wrapf(errInvalidFlag, "--count %d is not between 1 and %d", count, maxFakes)
	}
	name := cmp.Or(c.String("name"), c.String("service"))
	fakes := make([]*fake.Fake, 0, count)
	for i := range count {
		port := 0
		if c.Int("port") > 0 {
			port = c.Int("port") + i
		}
		l, err := loopback.Listen(fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			return nil, err
		}
		id := fmt.Sprintf("%s-%d", name, i+1)
		fakes = append(fakes, fake.New(id, c.String("service"), l, fake.WithProfile(profile),
			fake.WithPlace(zones[i%len(zones)], c.String("region")), fake.WithSeed(c.Uint64("seed")+uint64(i))))
	}
	return fakes, nil
}

// runUpstreams runs the fakes and the admin listener until the context ends.
func runUpstreams(ctx context.Context, c *cli.Command) error {
	if err := loopback.Check(c.StringSlice("announce")...); err != nil {
		return err
	}
	fakes, err := newFakes(c)
	if err != nil {
		return err
	}
	admin, err := loopback.Listen(c.String("admin"))
	if err != nil {
		return err
	}
	server := &http.Server{Handler: fake.NewGroup(fakes...).Handler(), ReadHeaderTimeout: 5 * time.Second}
	go serve("admin", func() error { return server.Serve(admin) })
	defer server.Close()
	for _, f := range fakes {
		go serve(f.ID(), f.Serve)
	}
	fmt.Printf("admin %s\n", admin.Addr())
	leave := announceAll(ctx, c, fakes)
	<-ctx.Done()
	leave()
	return stopAll(c, fakes)
}

// serve runs a listener and logs an error unless the listener was closed.
func serve(name string, run func() error) {
	if err := run(); !errors.Is(err, http.ErrServerClosed) {
		klog.ErrorS(err, "listener failed", "name", name)
	}
}

// announceAll announces the fakes until the context ends, and prints a line once all have been announced. The function
// that announceAll returns must be called after the context has ended. It announces that the fakes leave, and then
// waits for the time of --leave-wait, in which the fakes still accept calls.
func announceAll(ctx context.Context, c *cli.Command, fakes []*fake.Fake) func() {
	targets := c.StringSlice("announce")
	if len(targets) == 0 {
		return func() {}
	}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16, IdleConnTimeout: 30 * time.Second}}
	var running, pending sync.WaitGroup
	announcers := make([]*announce.Announcer, 0, len(fakes))
	for i, f := range fakes {
		a := announce.New(client, f, targets, announce.WithTTL(c.Duration("ttl")),
			announce.WithCredential(c.String("credential")), announce.WithFirstTarget(i), announce.WithEnds(f.Crashes))
		announcers = append(announcers, a)
		pending.Add(1)
		running.Go(func() { a.Run(ctx, pending.Done) })
	}
	go func() {
		pending.Wait()
		fmt.Printf("announced %d %s\n", len(fakes), c.String("service"))
	}()
	return func() {
		running.Wait()
		leaveCtx, cancel := context.WithTimeout(context.Background(), c.Duration("grace"))
		defer cancel()
		var announcing sync.WaitGroup
		for _, a := range announcers {
			announcing.Go(func() {
				if err := a.Leave(leaveCtx); err != nil {
					klog.ErrorS(err, "leaving not announced")
				}
			})
		}
		announcing.Wait()
		time.Sleep(c.Duration("leave-wait"))
	}
}

// stopAll stops the fakes. Calls in flight may finish within the grace period; those that don't are aborted.
func stopAll(c *cli.Command, fakes []*fake.Fake) error {
	ctx, cancel := context.WithTimeout(context.Background(), c.Duration("grace"))
	defer cancel()
	var stopped sync.WaitGroup
	for _, f := range fakes {
		stopped.Go(func() {
			if err := f.Stop(ctx); err != nil {
				klog.ErrorS(err, "calls aborted at the end of the grace period", "upstream", f.ID())
			}
		})
	}
	stopped.Wait()
	return nil
}

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

// maxFakes bounds the fakes of one process.
const maxFakes = 1000

var errBadFlag = errors.New("bad flag")

func upstreamCommand() *cli.Command {
	return &cli.Command{
		Name:  "upstream",
		Usage: "run fakes of one service, which announce themselves",
		Description: "Example: standin upstream --service encoder --count 3 --zone milano-a --zone milano-b \\\n" +
			"   --announce 127.0.0.1:7102 --credential secret --admin 127.0.0.1:9001",
		Flags:  append(placeFlags(), workFlags()...),
		Action: runUpstreams,
	}
}

func placeFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "service", Required: true, Usage: "service of the fakes"},
		&cli.StringFlag{Name: "name", Usage: "prefix of upstream IDs; the service if not set"},
		&cli.IntFlag{Name: "count", Value: 1, Usage: "fakes to run"},
		&cli.StringSliceFlag{Name: "zone", Value: []string{"zone-a"}, Usage: "zones, taken in turn"},
		&cli.StringFlag{Name: "region", Value: "region-a", Usage: "region"},
		&cli.StringSliceFlag{Name: "announce", Usage: "upstream listeners of instances (host:port)"},
		&cli.StringFlag{Name: "credential", Sources: cli.EnvVars("STANDIN_CREDENTIAL"), Usage: "credential for announcements"},
		&cli.StringFlag{Name: "admin", Value: "127.0.0.1:0", Usage: "address of GET /ledger and POST /faults"},
		&cli.IntFlag{Name: "port", Usage: "port of the first fake, the others follow; 0 takes free ones"},
		&cli.DurationFlag{Name: "ttl", Value: 3 * time.Second, Usage: "time to live of announcements"},
		&cli.DurationFlag{Name: "leave-wait", Value: 2 * time.Second, Usage: "how long to take new calls after leaving"},
		&cli.DurationFlag{Name: "grace", Value: 10 * time.Second, Usage: "how long to finish calls in flight"},
	}
}

func workFlags() []cli.Flag {
	d := fake.DefaultProfile()
	return []cli.Flag{
		&cli.IntFlag{Name: "capacity", Value: d.Capacity, Usage: "calls each fake runs at once"},
		&cli.IntFlag{Name: "queue", Value: d.Queue, Usage: "calls each fake lets wait"},
		&cli.DurationFlag{Name: "service-time", Value: d.ServiceTime, Usage: "mean service time"},
		&cli.StringFlag{Name: "distribution", Value: string(d.Distribution), Usage: "constant, exponential or lognormal"},
		&cli.StringSliceFlag{Name: "stream-path", Value: []string{chain.PathGenerate}, Usage: "paths that stream tokens"},
		&cli.IntFlag{Name: "tokens", Value: d.Tokens, Usage: "mean tokens of a stream"},
		&cli.FloatFlag{Name: "tokens-per-second", Value: 200, Usage: "speed of one stream; 0 has no pause"},
		&cli.FloatFlag{Name: "cost", Value: d.CallUnits, Usage: "cost units of a call that runs"},
		&cli.FloatFlag{Name: "token-cost", Usage: "cost units of a token"},
		&cli.StringSliceFlag{Name: "model", Usage: "models announced as loaded (name@version)"},
		&cli.IntFlag{Name: "ledger-rows", Value: d.LedgerRows, Usage: "executions each fake remembers one by one"},
		&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of service times and faults"},
	}
}

func profileOf(c *cli.Command) (fake.Profile, error) {
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
		return p, errors.Wrapf(errBadFlag, "distribution %q", p.Distribution)
	}
	if p.Capacity < 1 || p.Queue < 0 || p.ServiceTime < 0 || p.Tokens < 1 || p.CallUnits < 0 || p.TokenUnits < 0 {
		return p, errors.Wrap(errBadFlag, "capacity and tokens are at least 1, other amounts at least 0")
	}
	return p, nil
}

func makeFakes(c *cli.Command) ([]*fake.Fake, error) {
	profile, err := profileOf(c)
	if err != nil {
		return nil, err
	}
	count, zones := c.Int("count"), c.StringSlice("zone")
	if count < 1 || count > maxFakes {
		return nil, errors.Wrapf(errBadFlag, "count %d is not in 1..%d", count, maxFakes)
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

func runUpstreams(ctx context.Context, c *cli.Command) error {
	if err := loopback.Check(c.StringSlice("announce")...); err != nil {
		return err
	}
	fakes, err := makeFakes(c)
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

func serve(name string, run func() error) {
	if err := run(); !errors.Is(err, http.ErrServerClosed) {
		klog.ErrorS(err, "listener failed", "name", name)
	}
}

// announceAll keeps the fakes announced until the context ends. The function it returns then
// announces that they leave.
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
			announce.WithCredential(c.String("credential")), announce.WithFirstTarget(i))
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
		leaving, cancel := context.WithTimeout(context.Background(), c.Duration("grace"))
		defer cancel()
		var left sync.WaitGroup
		for _, a := range announcers {
			left.Go(func() {
				if err := a.Leave(leaving); err != nil {
					klog.ErrorS(err, "leaving not announced")
				}
			})
		}
		left.Wait()
		time.Sleep(c.Duration("leave-wait"))
	}
}

// stopAll finishes what is in flight for the grace period.
func stopAll(c *cli.Command, fakes []*fake.Fake) error {
	ctx, cancel := context.WithTimeout(context.Background(), c.Duration("grace"))
	defer cancel()
	var stopped sync.WaitGroup
	for _, f := range fakes {
		stopped.Go(func() {
			if err := f.Stop(ctx); err != nil {
				klog.ErrorS(err, "calls cut off", "upstream", f.ID())
			}
		})
	}
	stopped.Wait()
	return nil
}

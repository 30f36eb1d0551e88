package engine

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"
	"golang.org/x/sync/errgroup"

	"plantainlane/standin/loopback"
	"plantainlane/wire"
)

const (
	maxEngines  = 200
	readTimeout = 5 * time.Second
)

// ErrBadFlag marks a flag out of its range.
var ErrBadFlag = errors.New("engine: bad flag")

// Command returns the command that runs fake engines.
func Command() *cli.Command {
	return &cli.Command{
		Name:  "engine",
		Usage: "run fake model engines, which announce themselves",
		Description: "Example: standin engine --service generator --count 4 --model phrase@1 \\\n" +
			"   --announce 127.0.0.1:7102 --credential secret --weights 127.0.0.1:9100",
		Flags:  append(placeFlags(), engineFlags()...),
		Action: runEngines,
	}
}

func placeFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "service", Required: true, Usage: "service of the engines"},
		&cli.IntFlag{Name: "count", Value: 1, Usage: "engines to run"},
		&cli.IntFlag{Name: "first", Value: 1, Usage: "number in the ID of the first engine"},
		&cli.StringSliceFlag{Name: "zone", Value: []string{"zone-a"}, Usage: "zones, taken in turn"},
		&cli.StringFlag{Name: "region", Value: "region-a", Usage: "region"},
		&cli.StringSliceFlag{Name: "announce", Usage: "upstream listeners of instances (host:port)"},
		&cli.StringFlag{Name: "credential", Sources: cli.EnvVars("STANDIN_CREDENTIAL"), Usage: "credential for announcements"},
		&cli.IntFlag{Name: "port", Usage: "port of the first engine, the others follow; 0 takes free ones"},
		&cli.DurationFlag{Name: "ttl", Value: 3 * time.Second, Usage: "time to live of announcements"},
		&cli.DurationFlag{Name: "grace", Value: 10 * time.Second, Usage: "how long to finish streams after leaving"},
	}
}

func engineFlags() []cli.Flag {
	d := DefaultConfig("")
	return []cli.Flag{
		&cli.StringSliceFlag{Name: "model", Usage: "models loaded at the start, as name@version"},
		&cli.IntFlag{Name: "slots", Value: d.Slots, Usage: "models that fit"},
		&cli.StringFlag{Name: "role", Value: d.Role, Usage: "both, prefill or decode"},
		&cli.BoolFlag{Name: "ignore-fencing", Usage: "take orders whatever their fencing number"},
		&cli.StringFlag{Name: "weights", Usage: "weight store (host:port); none loads without"},
		&cli.DurationFlag{Name: "load-time", Value: d.LoadTime, Usage: "time to load a model"},
		&cli.FloatFlag{Name: "load-units", Value: d.WeightUnits, Usage: "units of the weight store's rate a load takes"},
		&cli.IntFlag{Name: "batch", Value: d.BatchLimit, Usage: "sequences that run at once"},
		&cli.IntFlag{Name: "queue", Value: d.QueueLimit, Usage: "sequences that may wait"},
		&cli.DurationFlag{Name: "step", Value: d.StepTime, Usage: "time of a token of each running sequence"},
		&cli.DurationFlag{Name: "prefill", Value: d.PrefillBlock, Usage: "time of an uncached prompt block"},
		&cli.IntFlag{Name: "cache-blocks", Value: d.CacheBlocks, Usage: "prompt blocks that the prefix cache holds"},
		&cli.IntFlag{Name: "tokens", Value: d.MeanTokens, Usage: "mean tokens of an answer"},
		&cli.DurationFlag{Name: "event-delay", Usage: "how late cache events are published"},
		&cli.FloatFlag{Name: "event-loss", Usage: "part of the cache events never published, 0 to 1"},
		&cli.DurationFlag{Name: "load-lag", Usage: "how old the announced load is"},
		&cli.Uint64Flag{Name: "seed", Value: d.Seed, Usage: "seed of losses"},
	}
}

func configOf(c *cli.Command, id string, incarnation int) (Config, error) {
	cfg := DefaultConfig(id)
	cfg.Incarnation, cfg.Role, cfg.Models = incarnation, c.String("role"), c.StringSlice("model")
	cfg.Slots, cfg.ChecksFencing = max(c.Int("slots"), len(cfg.Models)), !c.Bool("ignore-fencing")
	cfg.LoadTime, cfg.WeightUnits = c.Duration("load-time"), c.Float("load-units")
	cfg.BatchLimit, cfg.QueueLimit, cfg.CacheBlocks = c.Int("batch"), c.Int("queue"), c.Int("cache-blocks")
	cfg.StepTime, cfg.PrefillBlock, cfg.MeanTokens = c.Duration("step"), c.Duration("prefill"), c.Int("tokens")
	cfg.EventDelay, cfg.EventLoss, cfg.LoadLag = c.Duration("event-delay"), c.Float("event-loss"), c.Duration("load-lag")
	cfg.Seed = c.Uint64("seed")
	if cfg.BatchLimit < 1 || cfg.StepTime <= 0 || cfg.CacheBlocks < 1 || cfg.MeanTokens < 1 {
		return cfg, errors.Wrap(ErrBadFlag, "batch, step, cache-blocks and tokens must be more than 0")
	}
	return cfg, nil
}

func runEngines(ctx context.Context, c *cli.Command) error {
	if err := loopback.Check(c.StringSlice("announce")...); err != nil {
		return err
	}
	count := c.Int("count")
	if count < 1 || count > maxEngines {
		return errors.Wrapf(ErrBadFlag, "count %d is not in 1..%d", count, maxEngines)
	}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16, IdleConnTimeout: 30 * time.Second}}
	incarnation := int(time.Now().UnixMilli())
	var group errgroup.Group
	for i := range count {
		cfg, err := configOf(c, fmt.Sprintf("%s-%d", c.String("service"), c.Int("first")+i), incarnation)
		if err != nil {
			return err
		}
		cfg.Seed += uint64(i)
		m := &member{cfg: cfg, command: c, client: client, zone: c.StringSlice("zone")[i%len(c.StringSlice("zone"))]}
		if err := m.listen(i); err != nil {
			return err
		}
		group.Go(func() error { return m.run(ctx) })
	}
	return group.Wait()
}

// StoreCommand returns the command that runs a fake weight store.
func StoreCommand() *cli.Command {
	return &cli.Command{
		Name:  "weights",
		Usage: "run a fake weight store with a rate limit",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "address", Value: "127.0.0.1:9100", Usage: "address to listen on"},
			&cli.FloatFlag{Name: "rate", Value: 1, Usage: "units a second"},
			&cli.FloatFlag{Name: "burst", Value: 2, Usage: "units at once"},
		},
		Action: runStore,
	}
}

func runStore(ctx context.Context, c *cli.Command) error {
	listener, err := loopback.Listen(c.String("address"))
	if err != nil {
		return err
	}
	store := NewWeightStore(wire.Rate{PerSecond: c.Float("rate"), Burst: c.Float("burst")})
	mux := http.NewServeMux()
	mux.Handle("POST /v1/loads", store)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: readTimeout}
	context.AfterFunc(ctx, func() { server.Close() })
	fmt.Printf("weight store %s\n", listener.Addr())
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "serve")
	}
	return nil
}

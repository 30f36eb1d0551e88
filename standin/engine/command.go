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
	readTimeout = 5 * time.Second // For the header of a request.
)

// ErrInvalidFlag marks a flag whose value is out of range.
var ErrInvalidFlag = errors.New("engine: flag out of range")

// Command returns the command "engine", which runs fake engines.
func Command() *cli.Command {
	return &cli.Command{
		Name:  "engine",
		Usage: "run fake model engines and announce them to instances",
		Description: "Example: standin engine --service generator --count 4 --model phrase@1 \\\n" +
			"   --announce 127.0.0.1:7102 --credential secret --weights 127.0.0.1:9100",
		Flags:  append(serviceFlags(), engineFlags()...),
		Action: runEngines,
	}
}

// serviceFlags returns the flags for the engines' service, location, addresses and announcements.
func serviceFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "service", Required: true, Usage: "service of the engines"},
		&cli.IntFlag{Name: "count", Value: 1, Usage: "number of engines, 1 to 200"},
		&cli.IntFlag{Name: "first", Value: 1, Usage: "number in the ID of the first engine"},
		&cli.StringSliceFlag{
			Name: "zone", Value: []string{"zone-a"},
			Usage: "availability zones, assigned to the engines in turn",
		},
		&cli.StringFlag{Name: "region", Value: "region-a", Usage: "region of the engines"},
		&cli.StringSliceFlag{
			Name:  "announce",
			Usage: "upstream listener of an instance (IP:port on loopback), may be repeated; none: no announcements",
		},
		&cli.StringFlag{
			Name: "credential", Sources: cli.EnvVars("STANDIN_CREDENTIAL"),
			Usage: "credential for announcements and cache events",
		},
		&cli.IntFlag{
			Name:  "port",
			Usage: "port of the first engine; the others use the ports after it; 0 uses free ports",
		},
		&cli.DurationFlag{Name: "ttl", Value: 3 * time.Second, Usage: "time to live of announcements"},
		&cli.DurationFlag{
			Name: "grace", Value: 10 * time.Second,
			Usage: "maximum time to finish streams before the engine exits",
		},
	}
}

// engineFlags returns the flags for the behavior of each engine.
func engineFlags() []cli.Flag {
	d := DefaultConfig("")
	return []cli.Flag{
		&cli.StringSliceFlag{Name: "model", Usage: "model loaded at the start, as name@version, may be repeated"},
		&cli.IntFlag{
			Name: "slots", Value: d.Slots,
			Usage: "number of models that fit into memory, raised to the number of --model flags",
		},
		&cli.StringFlag{Name: "role", Value: d.Role, Usage: "role of the engines: both, prefill or decode"},
		&cli.BoolFlag{Name: "ignore-fencing", Usage: "don't refuse orders with an old fencing number"},
		&cli.StringFlag{
			Name:  "weights",
			Usage: "weight store (host:port); none: models are loaded without fetching weights",
		},
		&cli.DurationFlag{
			Name: "load-time", Value: d.LoadTime,
			Usage: "time to load a model after its weights have been fetched",
		},
		&cli.FloatFlag{
			Name: "load-units", Value: d.WeightUnits,
			Usage: "units of the weight store's rate that loading a model uses",
		},
		&cli.IntFlag{
			Name: "batch", Value: d.BatchLimit,
			Usage: "maximum number of sequences that run at the same time, at least 1",
		},
		&cli.IntFlag{Name: "queue", Value: d.QueueLimit, Usage: "maximum number of waiting sequences"},
		&cli.DurationFlag{
			Name: "step", Value: d.StepTime,
			Usage: "time to generate one token of each running sequence",
		},
		&cli.DurationFlag{Name: "prefill", Value: d.PrefillBlock, Usage: "time to compute one uncached prompt block"},
		&cli.IntFlag{
			Name: "cache-blocks", Value: d.CacheBlocks,
			Usage: "maximum number of prompt blocks in the prefix cache, at least 1",
		},
		&cli.IntFlag{Name: "tokens", Value: d.MeanTokens, Usage: "mean length of an answer in tokens, at least 1"},
		&cli.DurationFlag{Name: "event-delay", Usage: "delay of cache events"},
		&cli.FloatFlag{Name: "event-loss", Usage: "fraction of cache events that are never published, 0 to 1"},
		&cli.DurationFlag{Name: "load-lag", Usage: "age of the load in announcements"},
		&cli.Uint64Flag{Name: "seed", Value: d.Seed, Usage: "seed of the random choice of lost cache events"},
	}
}

// readConfig returns the configuration that the flags describe. It returns ErrBadFlag for a value out of range.
func readConfig(c *cli.Command, id string, incarnation int) (Config, error) {
	cfg := DefaultConfig(id)
	cfg.Incarnation, cfg.Role, cfg.Models = incarnation, c.String("role"), c.StringSlice("model")
	cfg.Slots, cfg.ChecksFencing = max(c.Int("slots"), len(cfg.Models)), !c.Bool("ignore-fencing")
	cfg.LoadTime, cfg.WeightUnits = c.Duration("load-time"), c.Float("load-units")
	cfg.BatchLimit, cfg.QueueLimit, cfg.CacheBlocks = c.Int("batch"), c.Int("queue"), c.Int("cache-blocks")
	cfg.StepTime, cfg.PrefillBlock, cfg.MeanTokens = c.Duration("step"), c.Duration("prefill"), c.Int("tokens")
	cfg.EventDelay, cfg.EventLoss, cfg.LoadLag = c.Duration("event-delay"), c.Float("event-loss"), c.Duration("load-lag")
	cfg.Seed = c.Uint64("seed")
	if cfg.BatchLimit < 1 || cfg.StepTime <= 0 || cfg.CacheBlocks < 1 || cfg.MeanTokens < 1 {
		return cfg, errors.Wrapf(ErrInvalidFlag,
			"--batch %d, --step %s, --cache-blocks %d, --tokens %d: each must be more than 0",
			cfg.BatchLimit, cfg.StepTime, cfg.CacheBlocks, cfg.MeanTokens)
	}
	return cfg, nil
}

func runEngines(ctx context.Context, c *cli.Command) error {
	if err := loopback.Check(c.StringSlice("announce")...); err != nil {
		return err
	}
	count := c.Int("count")
	if count < 1 || count > maxEngines {
		return errors.Wrapf(ErrInvalidFlag, "--count %d: must be from 1 to %d", count, maxEngines)
	}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16, IdleConnTimeout: 30 * time.Second}}
	incarnation := int(time.Now().UnixMilli())
	var group errgroup.Group
	for i := range count {
		cfg, err := readConfig(c, fmt.Sprintf("%s-%d", c.String("service"), c.Int("first")+i), incarnation)
		if err != nil {
			return err
		}
		cfg.Seed += uint64(i)
		r := &runner{cfg: cfg, command: c, client: client, zone: c.StringSlice("zone")[i%len(c.StringSlice("zone"))]}
		if err := r.listen(i); err != nil {
			return err
		}
		group.Go(func() error { return r.run(ctx) })
	}
	return group.Wait()
}

// StoreCommand returns the command "weights", which runs a fake weight store.
func StoreCommand() *cli.Command {
	return &cli.Command{
		Name:  "weights",
		Usage: "run a fake weight store with a rate limit",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "address", Value: "127.0.0.1:9100", Usage: "loopback address to listen on (IP:port)"},
			&cli.FloatFlag{Name: "rate", Value: 1, Usage: "rate limit in units per second"},
			&cli.FloatFlag{Name: "burst", Value: 2, Usage: "maximum burst in units"},
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

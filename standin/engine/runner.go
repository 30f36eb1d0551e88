package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"
	"k8s.io/klog/v2"

	"plantainlane/standin/announce"
	"plantainlane/standin/loopback"
	"plantainlane/wire"
)

// publishTimeout bounds a request that publishes cache events to one instance.
const publishTimeout = time.Second

// runner runs one engine of the engine command and its listener.
type runner struct {
	cfg      Config
	command  *cli.Command // Holds the flags.
	client   *http.Client
	zone     string
	engine   *Engine
	listener net.Listener
}

// listen opens the engine's listener and creates the engine. index is the engine's position in the process, which
// is added to the port of the first engine.
func (r *runner) listen(index int) error {
	port := 0
	if first := r.command.Int("port"); first > 0 {
		port = first + index
	}
	l, err := loopback.Listen(fmt.Sprintf("127.0.0.1:%d", port))
	if err != nil {
		return err
	}
	var weights WeightSource
	if store := r.command.String("weights"); store != "" {
		weights = RemoteWeights{Address: store, Client: r.client}
	}
	r.listener, r.engine = l, New(r.cfg, weights)
	return nil
}

// run serves the engine until ctx ends. It then announces that the engine leaves, and waits up to the grace period for
// the streams to finish.
func (r *runner) run(ctx context.Context) error {
	serveCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	handler := NewServer(serveCtx, r.engine, r.listener.Addr().String(), r.client).Handler()
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readTimeout}
	go r.engine.Run(serveCtx)
	go func() {
		if err := server.Serve(r.listener); !errors.Is(err, http.ErrServerClosed) {
			klog.ErrorS(err, "listener failed", "upstream", r.cfg.ID)
		}
	}()
	fmt.Printf("engine %s %s\n", r.cfg.ID, r.listener.Addr())
	leave := r.announce(ctx, serveCtx)
	<-ctx.Done()
	grace, cancel := context.WithTimeout(serveCtx, r.command.Duration("grace"))
	defer cancel()
	leave(grace)
	return errors.Wrap(server.Shutdown(grace), "shut down")
}

// announce starts to announce the engine, until ctx ends, and to publish its cache events, until serveCtx ends. The
// function that it returns waits for the announcements to end and announces that the engine leaves.
func (r *runner) announce(ctx, serveCtx context.Context) func(context.Context) {
	targets := r.command.StringSlice("announce")
	if len(targets) == 0 {
		return func(context.Context) {}
	}
	go r.engine.PublishEvents(serveCtx, func(ctx context.Context, batch wire.CacheEvents) {
		r.publish(ctx, targets, batch)
	})
	a := announce.New(r.client, r, targets, announce.WithTTL(r.command.Duration("ttl")),
		announce.WithCredential(r.command.String("credential")), announce.WithIncarnation(r.cfg.Incarnation))
	var announcing sync.WaitGroup
	announcing.Go(func() {
		a.Run(ctx, func() { fmt.Printf("announced %s\n", r.cfg.ID) })
	})
	return func(grace context.Context) {
		announcing.Wait()
		if err := a.Leave(grace); err != nil {
			klog.ErrorS(err, "leaving not announced", "upstream", r.cfg.ID)
		}
	}
}

// Announcement implements announce.Source.
func (r *runner) Announcement() wire.Announcement {
	a := r.engine.Announcement()
	a.Address, a.Service, a.Zone = r.listener.Addr().String(), r.command.String("service"), r.zone
	a.Region = r.command.String("region")
	return a
}

// Fault implements announce.Source. It returns no fault: engines have no faults that can be ordered.
func (r *runner) Fault() wire.Fault { return wire.Fault{} }

// publish posts a batch of cache events to the targets in order until one accepts the batch. A batch that none accepts
// is lost.
func (r *runner) publish(ctx context.Context, targets []string, batch wire.CacheEvents) {
	body, err := json.Marshal(batch)
	if err != nil {
		klog.ErrorS(err, "cache events not encoded", "upstream", r.cfg.ID)
		return
	}
	for _, target := range targets {
		if err = r.post(ctx, "http://"+target+"/v1/upstreams/"+url.PathEscape(r.cfg.ID)+"/cacheEvents", body); err == nil {
			return
		}
	}
	klog.ErrorS(err, "cache events lost", "upstream", r.cfg.ID)
}

// post posts an encoded batch of cache events to the URL endpoint of an instance.
func (r *runner) post(ctx context.Context, endpoint string, body []byte) error {
	ctx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, endpoint, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "create request")
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+r.command.String("credential"))
	answer, err := r.client.Do(req)
	if err != nil {
		return errors.Wrap(err, "post")
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		return errors.Newf("POST %s: unexpected status %s", endpoint, answer.Status)
	}
	return nil
}

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

const publishTimeout = time.Second

// member is one engine of a command, with its listener.
type member struct {
	cfg      Config
	command  *cli.Command
	client   *http.Client
	zone     string
	engine   *Engine
	listener net.Listener
}

func (m *member) listen(place int) error {
	port := 0
	if first := m.command.Int("port"); first > 0 {
		port = first + place
	}
	l, err := loopback.Listen(fmt.Sprintf("127.0.0.1:%d", port))
	if err != nil {
		return err
	}
	var weights WeightSource
	if store := m.command.String("weights"); store != "" {
		weights = RemoteWeights{Address: store, Client: m.client}
	}
	m.listener, m.engine = l, New(m.cfg, weights)
	return nil
}

// run serves until ctx ends, then leaves and finishes its streams for the grace period.
func (m *member) run(ctx context.Context) error {
	life, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	handler := NewServer(life, m.engine, m.listener.Addr().String(), m.client).Handler()
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readTimeout}
	go m.engine.Run(life)
	go func() {
		if err := server.Serve(m.listener); !errors.Is(err, http.ErrServerClosed) {
			klog.ErrorS(err, "listener failed", "upstream", m.cfg.ID)
		}
	}()
	fmt.Printf("engine %s %s\n", m.cfg.ID, m.listener.Addr())
	leave := m.announce(ctx, life)
	<-ctx.Done()
	grace, cancel := context.WithTimeout(life, m.command.Duration("grace"))
	defer cancel()
	leave(grace)
	return errors.Wrap(server.Shutdown(grace), "shut down")
}

// announce keeps the engine announced and its cache events published; the function it returns leaves.
func (m *member) announce(ctx, life context.Context) func(context.Context) {
	targets := m.command.StringSlice("announce")
	if len(targets) == 0 {
		return func(context.Context) {}
	}
	go m.engine.PublishEvents(life, func(ctx context.Context, run wire.CacheEvents) { m.publish(ctx, targets, run) })
	a := announce.New(m.client, m, targets, announce.WithTTL(m.command.Duration("ttl")),
		announce.WithCredential(m.command.String("credential")), announce.WithIncarnation(m.cfg.Incarnation))
	var running sync.WaitGroup
	running.Go(func() {
		a.Run(ctx, func() { fmt.Printf("announced %s\n", m.cfg.ID) })
	})
	return func(grace context.Context) {
		running.Wait()
		if err := a.Leave(grace); err != nil {
			klog.ErrorS(err, "leaving not announced", "upstream", m.cfg.ID)
		}
	}
}

// Announcement implements announce.Source.
func (m *member) Announcement() wire.Announcement {
	a := m.engine.Announcement()
	a.Address, a.Service, a.Zone = m.listener.Addr().String(), m.command.String("service"), m.zone
	a.Region = m.command.String("region")
	return a
}

// Fault implements announce.Source. Engines take no fault orders.
func (m *member) Fault() wire.Fault { return wire.Fault{} }

// publish posts cache events to the first instance that takes them.
func (m *member) publish(ctx context.Context, targets []string, run wire.CacheEvents) {
	body, err := json.Marshal(run)
	if err != nil {
		klog.ErrorS(err, "encode cache events")
		return
	}
	for _, target := range targets {
		if err = m.post(ctx, "http://"+target+"/v1/upstreams/"+url.PathEscape(m.cfg.ID)+"/cacheEvents", body); err == nil {
			return
		}
	}
	klog.ErrorS(err, "cache events lost", "upstream", m.cfg.ID)
}

func (m *member) post(ctx context.Context, address string, body []byte) error {
	ctx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, address, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "request")
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+m.command.String("credential"))
	answer, err := m.client.Do(req)
	if err != nil {
		return errors.Wrap(err, "post")
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		return errors.Newf("answered %s", answer.Status)
	}
	return nil
}

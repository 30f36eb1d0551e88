// Package announce keeps upstreams announced to the system.
package announce

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"plantainlane/wire"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"
)

// ErrRefused marks an announcement that an instance answered with an error status.
var ErrRefused = errors.New("announcement refused")

// ErrNoTarget marks an announcement that no instance took.
var ErrNoTarget = errors.New("no instance took the announcement")

const (
	callTimeout   = time.Second
	retryInterval = 200 * time.Millisecond
	maxAnswer     = 64 << 10
)

// Source says what to announce.
type Source interface {
	// Announcement returns the upstream's description and load of now.
	Announcement() wire.Announcement
	// Fault returns the fault in force.
	Fault() wire.Fault
}

// Announcer announces one upstream. It stays with an instance until that fails.
type Announcer struct {
	client      *http.Client
	targets     []string
	credential  string
	source      Source
	ttl         time.Duration
	incarnation int
	sequence    int
	at          int
}

// Option changes an announcer at construction.
type Option func(*Announcer)

// WithTTL sets how long an announcement holds without renewal.
func WithTTL(ttl time.Duration) Option { return func(a *Announcer) { a.ttl = ttl } }

// WithFirstTarget sets the target to try first.
func WithFirstTarget(i int) Option {
	return func(a *Announcer) { a.at = i % len(a.targets) }
}

// WithIncarnation sets the incarnation; the default is the time of construction.
func WithIncarnation(n int) Option { return func(a *Announcer) { a.incarnation = n } }

// WithCredential sets the credential to present.
func WithCredential(credential string) Option {
	return func(a *Announcer) { a.credential = credential }
}

// New returns an announcer of a source to upstream listeners of instances. There is at least one.
func New(client *http.Client, source Source, targets []string, options ...Option) *Announcer {
	a := &Announcer{
		client:      client,
		targets:     targets,
		source:      source,
		ttl:         3 * time.Second,
		incarnation: int(time.Now().UnixMilli()),
	}
	for _, o := range options {
		o(a)
	}
	return a
}

// Run announces and renews until the context ends, and calls first after the first success.
func (a *Announcer) Run(ctx context.Context, first func()) {
	wait := time.Duration(0)
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
		if a.source.Fault().StopRenewing {
			wait = retryInterval
			continue
		}
		renew, err := a.announce(ctx)
		if err != nil {
			klog.ErrorS(err, "not announced", "upstream", a.source.Announcement().ID)
			wait = retryInterval
			continue
		}
		if first != nil {
			first()
			first = nil
		}
		wait = min(renew/2, a.ttl/3)
	}
}

// announce tries each target once and returns how soon to renew.
func (a *Announcer) announce(ctx context.Context) (time.Duration, error) {
	var last error
	for range a.targets {
		renew, err := a.put(ctx, a.targets[a.at])
		if err == nil {
			return renew, nil
		}
		last = err
		a.at = (a.at + 1) % len(a.targets)
	}
	return 0, errors.Mark(last, ErrNoTarget)
}

func (a *Announcer) put(ctx context.Context, target string) (time.Duration, error) {
	a.sequence++
	m := a.source.Announcement()
	m.Incarnation, m.Sequence, m.TTLMs = a.incarnation, a.sequence, int(a.ttl.Milliseconds())
	body, err := json.Marshal(m)
	if err != nil {
		return 0, errors.Wrap(err, "encode")
	}
	var answer wire.AnnounceAnswer
	if err := a.do(ctx, http.MethodPut, a.url(target), body, &answer); err != nil {
		return 0, err
	}
	return time.Duration(answer.RenewWithinMs) * time.Millisecond, nil
}

// Leave announces that the upstream takes no new work. Run must have returned.
func (a *Announcer) Leave(ctx context.Context) error {
	var last error
	for range a.targets {
		a.sequence++
		address := fmt.Sprintf("%s?incarnation=%d&sequence=%d", a.url(a.targets[a.at]), a.incarnation, a.sequence)
		if last = a.do(ctx, http.MethodDelete, address, nil, nil); last == nil {
			return nil
		}
		a.at = (a.at + 1) % len(a.targets)
	}
	return errors.Mark(last, ErrNoTarget)
}

func (a *Announcer) url(target string) string {
	return "http://" + target + "/v1/upstreams/" + url.PathEscape(a.source.Announcement().ID)
}

func (a *Announcer) do(ctx context.Context, method, address string, body []byte, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, address, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "request")
	}
	req.Header.Set("Content-Type", "application/json")
	if a.credential != "" {
		req.Header.Set("Authorization", "Bearer "+a.credential)
	}
	resp, err := a.client.Do(req)
	if err != nil {
		return errors.Wrap(err, method)
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		return errors.Wrap(err, "read answer")
	}
	if resp.StatusCode >= http.StatusBadRequest {
		return errors.Wrapf(ErrRefused, "%s: %s", resp.Status, b)
	}
	if answer == nil {
		return nil
	}
	return errors.Wrap(json.Unmarshal(b, answer), "decode answer")
}

// Package announce announces fake upstreams to instances and renews the announcements.
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

// ErrRefused is returned for an announcement that an instance answered with an error status.
var ErrRefused = errors.New("announcement refused")

// ErrNoTarget is returned for an announcement that no instance accepted.
var ErrNoTarget = errors.New("no instance accepted the announcement")

const (
	callTimeout    = time.Second            // Of one request to one target.
	retryInterval  = 200 * time.Millisecond // After a failed announcement, and while renewing is stopped.
	maxAnswerBytes = 64 << 10
)

// Source provides the content of announcements.
type Source interface {
	// Announcement returns the upstream's current description and load.
	Announcement() wire.Announcement
	// Fault returns the fault in force.
	Fault() wire.Fault
}

// Announcer announces an upstream. It sends all announcements to one target until a request to this target fails, and
// then to the next target.
type Announcer struct {
	client      *http.Client
	targets     []string // Addresses of the upstream listeners of instances.
	credential  string
	source      Source
	ttl         time.Duration
	incarnation int
	ends        func() int // Counts the processes that have ended.
	sequence    int        // Sequence number of the last request.
	current     int        // Index of the target in use.
}

// Option is an option of New.
type Option func(*Announcer)

// WithTTL sets the time to live of announcements. The default is 3 s.
func WithTTL(ttl time.Duration) Option { return func(a *Announcer) { a.ttl = ttl } }

// WithFirstTarget sets the index of the target to try first. An index beyond the targets starts over at the first.
func WithFirstTarget(i int) Option {
	return func(a *Announcer) { a.current = i % len(a.targets) }
}

// WithIncarnation sets the incarnation. The default is the time of the call of New in milliseconds since 1970.
func WithIncarnation(n int) Option { return func(a *Announcer) { a.incarnation = n } }

// WithEnds sets what counts the ends of the upstream's processes; each has an incarnation of its own. By default the process
// doesn't end.
func WithEnds(ends func() int) Option { return func(a *Announcer) { a.ends = ends } }

// WithCredential sets the credential of announcements. By default they have none.
func WithCredential(credential string) Option {
	return func(a *Announcer) { a.credential = credential }
}

// New returns an announcer for a source. targets holds the addresses of the instances' upstream listeners, at least
// one.
func New(client *http.Client, source Source, targets []string, options ...Option) *Announcer {
	a := &Announcer{
		client:      client,
		targets:     targets,
		source:      source,
		ttl:         3 * time.Second,
		incarnation: int(time.Now().UnixMilli()),
		ends:        func() int { return 0 },
	}
	for _, o := range options {
		o(a)
	}
	return a
}

// Run announces the upstream and renews the announcement until ctx ends. It calls onFirst, unless that is nil, after
// the first success. It renews after a half of the time that the instance allows, at the latest after a third of the
// time to live. While the source's fault has StopRenewing set, it sends nothing.
func (a *Announcer) Run(ctx context.Context, onFirst func()) {
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
		if onFirst != nil {
			onFirst()
			onFirst = nil
		}
		wait = min(renew/2, a.ttl/3)
	}
}

// announce sends an announcement to the targets in turn, each at most once, until one accepts it. It returns the time
// within which the announcement must be renewed.
func (a *Announcer) announce(ctx context.Context) (time.Duration, error) {
	var lastErr error
	for range a.targets {
		renew, err := a.send(ctx, a.targets[a.current])
		if err == nil {
			return renew, nil
		}
		lastErr = err
		a.current = (a.current + 1) % len(a.targets)
	}
	return 0, errors.Mark(lastErr, ErrNoTarget)
}

// send sends the current announcement to a target and returns the time within which it must be renewed.
func (a *Announcer) send(ctx context.Context, target string) (time.Duration, error) {
	a.sequence++
	m := a.source.Announcement()
	m.Incarnation, m.Sequence, m.TTLMs = a.incarnation+a.ends(), a.sequence, int(a.ttl.Milliseconds())
	body, err := json.Marshal(m)
	if err != nil {
		return 0, errors.Wrap(err, "encode")
	}
	var answer wire.AnnounceAnswer
	if err := a.call(ctx, http.MethodPut, a.upstreamURL(target), body, &answer); err != nil {
		return 0, err
	}
	return time.Duration(answer.RenewWithinMs) * time.Millisecond, nil
}

// Leave announces that the upstream leaves, so that it gets no new calls. It must not be called before Run has
// returned. It returns ErrNoTarget if no instance accepts the announcement.
func (a *Announcer) Leave(ctx context.Context) error {
	var lastErr error
	for range a.targets {
		a.sequence++
		endpoint := fmt.Sprintf("%s?incarnation=%d&sequence=%d",
			a.upstreamURL(a.targets[a.current]), a.incarnation+a.ends(), a.sequence)
		if lastErr = a.call(ctx, http.MethodDelete, endpoint, nil, nil); lastErr == nil {
			return nil
		}
		a.current = (a.current + 1) % len(a.targets)
	}
	return errors.Mark(lastErr, ErrNoTarget)
}

// upstreamURL returns the URL of the announced upstream at a target.
func (a *Announcer) upstreamURL(target string) string {
	return "http://" + target + "/v1/upstreams/" + url.PathEscape(a.source.Announcement().ID)
}

// call sends a request to the URL endpoint with an optional JSON body, and decodes the answer unless answer is nil. It
// returns ErrRefused for an error status.
func (a *Announcer) call(ctx context.Context, method, endpoint string, body []byte, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, endpoint, bytes.NewReader(body))
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
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return errors.Wrap(err, "read answer")
	}
	if resp.StatusCode >= http.StatusBadRequest {
		return errors.Wrapf(ErrRefused, "%s %s: %s: %s", method, endpoint, resp.Status, b)
	}
	if answer == nil {
		return nil
	}
	return errors.Wrap(json.Unmarshal(b, answer), "decode answer")
}

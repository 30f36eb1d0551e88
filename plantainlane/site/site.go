// Package site holds an operator's whole document of routes, services, workspaces and limits in the form that
// traffic uses. A Site is immutable once compiled.
package site

import (
	"crypto/sha256"
	"slices"
	"strings"
	"time"
)

// RetryMode says what may be done again.
type RetryMode int

const (
	// AtMostOnce requests are never sent again after a send that may have run.
	AtMostOnce RetryMode = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Resumable streams may go on at another upstream after the last event that was passed on.
	Resumable
)

// Site is the configuration of opaque traffic: requests are routed by host and path and forwarded unchanged.
type Site struct {
	// Version of the document.
	Version int
	// Routes in the order of the document. No two share host and prefix.
	Routes []*Route
	// Services by name. Every service that a route names is here.
	Services map[string]*Service
	// Limits of callers.
	Limits Limits

	hosts map[string][]*Route
	keys  map[keyHash]*Workspace
	// HasWorkspaces tells whether callers need a key on routes that are not public.
	HasWorkspaces bool
}

// Route takes the requests of a host whose path begins with Prefix.
type Route struct {
	// Name of the route.
	Name string
	// Host is compared without case and port.
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	// RetryMode says whether a request may run again.
	RetryMode RetryMode
	// Stream tells that answers are series of events.
	Stream bool
	// Timeout is the longest time that a request is kept waiting. Positive.
	Timeout time.Duration
	// TargetLatency is the time within which an answer, or its first event, is on time.
	TargetLatency time.Duration
	// FirstEventTimeout is how long callers wait for the first event of a stream at most; 0 if for the whole Timeout.
	FirstEventTimeout time.Duration
	// TargetGap is the longest pause between events of a stream that is on time.
	TargetGap time.Duration
	// Priority ranks the route; 0 is the highest.
	Priority int
	// Splits of the services that requests are split over. The weights add up to more than 0.
	Splits []Split
	// MaxAttempts is the number of upstreams that one request may run on. At least 1.
	MaxAttempts int
	// Stages are made before a request can run.
	Stages []Stage
	// Public routes need no key.
	Public bool
	// Affinity tells that requests carry prompts whose parts upstreams keep.
	Affinity bool
}

// Split is a service and its weight in a route.
type Split struct {
	Service string
	Weight  int
}

// Stage is work that a request needs before it can run.
type Stage struct {
	// Service that makes the pieces.
	Service string
	// After lists the stages whose results each piece needs, by number; all smaller than this stage's own.
	After []int
	// Bytes is the approximate size of a result.
	Bytes int
}

// Service is a group of upstreams that do the same work.
type Service struct {
	// Name of the service.
	Name string
	// Engine tells that the service runs a model.
	Engine bool
	// Batch is set for a service that makes pieces.
	Batch *Batch
}

// Batch describes the calls that make pieces. Each value is for one upstream.
type Batch struct {
	// Slots is the number of calls at the same time.
	Slots int
	// MaxPieces is the most pieces in a call.
	MaxPieces int
	// CallTime is the time a call takes, whatever it holds.
	CallTime time.Duration
	// PieceTime is the approximate further time for each piece.
	PieceTime time.Duration
	// MemoryBytes is the room for results.
	MemoryBytes int
	// KeepFor is how long a result lasts after the end of its call.
	KeepFor time.Duration
}

// Limits bounds what a caller may send.
type Limits struct {
	// HeaderBytes bounds the headers of a request.
	HeaderBytes int
	// BodyBytes bounds the body of a request.
	BodyBytes int
	// IdleTimeout is how long a connection may wait for its next request.
	IdleTimeout time.Duration
}

// Workspace is a customer whose callers are known by their keys.
type Workspace struct {
	// Name of the workspace.
	Name string
	// Priority ranks the workspace's requests before the route's own; 0 is the highest.
	Priority int
	// HasPriority tells that Priority counts.
	HasPriority bool
	// Keys of the workspace's callers. No two workspaces share one.
	Keys []string
}

// keyHash stands for a key, so that keys are compared in constant time and not kept.
type keyHash [sha256.Size]byte

// Compile prepares the look-ups of a site. It is called once, before the site is used.
func (s *Site) Compile(workspaces []*Workspace) {
	s.hosts = make(map[string][]*Route)
	for _, r := range s.Routes {
		host := CanonicalHost(r.Host)
		s.hosts[host] = append(s.hosts[host], r)
	}
	for _, list := range s.hosts {
		slices.SortFunc(list, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	s.keys = make(map[keyHash]*Workspace)
	s.HasWorkspaces = len(workspaces) > 0
	for _, w := range workspaces {
		for _, k := range w.Keys {
			s.keys[sha256.Sum256([]byte(k))] = w
		}
		w.Keys = nil
	}
}

// Route returns the route with the longest prefix of a path, nil if there is none.
func (s *Site) Route(host, path string) *Route {
	for _, r := range s.hosts[CanonicalHost(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Workspace returns the workspace that a key belongs to, nil if there is none.
func (s *Site) Workspace(key string) *Workspace {
	return s.keys[sha256.Sum256([]byte(key))]
}

// FinalStages returns the stages of a route whose results the request itself needs: those that no other stage
// follows.
func (r *Route) FinalStages() []int {
	var out []int
	for i := range r.Stages {
		followed := slices.ContainsFunc(r.Stages, func(s Stage) bool { return slices.Contains(s.After, i) })
		if !followed {
			out = append(out, i)
		}
	}
	return out
}

// Service returns the service of a request by the route's weights. The draw is from 0 up to 1.
func (r *Route) Service(draw float64) string {
	total := 0
	for _, s := range r.Splits {
		total += s.Weight
	}
	at := draw * float64(total)
	for _, s := range r.Splits {
		at -= float64(s.Weight)
		if at < 0 {
			return s.Service
		}
	}
	return r.Splits[len(r.Splits)-1].Service
}

// CanonicalHost returns a host in lower case without its port.
func CanonicalHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}

// Package site holds the operator's configuration of routes, services, workspaces and limits in the form in which
// requests look it up. A Site is immutable after Compile.
package site

import (
	"crypto/sha256"
	"slices"
	"strings"
	"time"
)

// RetryMode is what may be repeated after a send of a request that may have run.
type RetryMode int

const (
	// AtMostOnce requests are not retried after a send that may have run.
	AtMostOnce RetryMode = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Resumable streams may be resumed at another upstream after the last event that was forwarded to the caller.
	Resumable
)

// Freshness is what an instance knows about the age of its configuration.
type Freshness int

const (
	// Newest means that the configuration was confirmed as the newest so recently that what it denies may be denied.
	Newest Freshness = iota
	// Unconfirmed means that a newer configuration may be in force that isn't known.
	Unconfirmed
	// Behind means that a newer configuration is known and has not arrived.
	Behind
	// Outdated means that a newer configuration has been known for too long to serve under this one.
	Outdated
)

// Site is the configuration of opaque traffic: requests are routed by host and path and forwarded unchanged.
type Site struct {
	// Version is the version of the operator's configuration.
	Version int
	// Routes holds the routes in the order of the configuration. No two have the same host and prefix.
	Routes []*Route
	// Services holds the services by name, among them every service that a route or stage names.
	Services map[string]*Service
	// Limits bounds the requests of callers.
	Limits Limits

	// routesByHost holds the routes by canonical host, those with longer prefixes first.
	routesByHost map[string][]*Route
	// workspacesByKey holds the workspaces by the hashes of their keys.
	workspacesByKey map[keyHash]*Workspace
	// HasWorkspaces is set by Compile if there are workspaces. Callers then need a key on routes that are not public.
	HasWorkspaces bool
}

// Route applies to the requests to a host whose path begins with Prefix.
type Route struct {
	// Name is the name of the route.
	Name string
	// Host is the host name. It is compared without regard to case and port.
	Host string
	// Prefix is the start of the paths. It begins and ends with a slash.
	Prefix string
	// RetryMode is what may be repeated after a send that may have run.
	RetryMode RetryMode
	// Stream is set if answers are streams of events.
	Stream bool
	// Timeout is the maximum time for answering a request. It is positive.
	Timeout time.Duration
	// TargetLatency is the time within which an answer, or the first event of a stream, is on time.
	TargetLatency time.Duration
	// FirstEventTimeout is how long callers wait for the first event of a stream; 0 if they wait for Timeout.
	FirstEventTimeout time.Duration
	// TargetGap is the longest gap between two events of a stream that is on time.
	TargetGap time.Duration
	// Priority is the priority of the route's requests; 0 is the highest.
	Priority int
	// Splits holds the services among which the requests are divided, with weights whose sum is more than 0.
	Splits []Split
	// MaxAttempts is the maximum number of sends of one request that may have run. It is at least 1.
	MaxAttempts int
	// Stages holds the stages that must be completed before a request can run.
	Stages []Stage
	// Public is set if callers need no key.
	Public bool
	// Affinity is set if requests carry prompts and the upstreams cache parts of them.
	Affinity bool
}

// Split is a service and its weight in a route.
type Split struct {
	// Service is the name of the service.
	Service string
	// Weight is proportional to the fraction of the route's requests that the service gets; 0 for none.
	Weight int
}

// Stage is work that must be completed before a request can run. It is divided into pieces.
type Stage struct {
	// Service is the name of the service that runs the pieces.
	Service string
	// After holds the indexes in Route.Stages of the stages whose results each piece of this stage needs. All are less
	// than the index of this stage.
	After []int
	// Bytes is the approximate size of one result, in bytes.
	Bytes int
}

// Service is a group of upstreams that do the same work.
type Service struct {
	// Name is the name of the service.
	Name string
	// Engine describes the upstreams if they run a model; nil otherwise.
	Engine *Engine
	// Batch describes the calls for pieces; nil if the service runs no pieces.
	Batch *Batch
	// Warmup is how the upstreams warm up; the zero value if they are never cold.
	Warmup Warmup
}

// Warmup describes the time after its start, or later, in which an upstream is cold.
type Warmup struct {
	// Time is how long an upstream is cold.
	Time time.Duration
	// PerSecond is the number of requests a second that a cold upstream takes from all instances together; 0 if that
	// isn't limited.
	PerSecond float64
}

// Engine describes an upstream that runs a model. A value that isn't known is 0.
type Engine struct {
	// Slots is the number of requests that run at the same time.
	Slots int
	// CacheTokens is the memory for parts of prompts and running requests, in tokens.
	CacheTokens int
}

// Batch describes the calls that run pieces. Slots, MaxPieces and MemoryBytes are limits of each upstream.
type Batch struct {
	// Slots is the maximum number of concurrent calls.
	Slots int
	// Waiting is the maximum number of calls that wait at an upstream until a slot is free.
	Waiting int
	// MaxPieces is the maximum number of pieces in a call.
	MaxPieces int
	// CallTime is the approximate time of a call that doesn't depend on the number of its pieces.
	CallTime time.Duration
	// PieceTime is the approximate additional time for each piece of a call.
	PieceTime time.Duration
	// MemoryBytes is the memory for results, in bytes; 0 if it isn't limited.
	MemoryBytes int
	// KeepFor is how long an upstream keeps a result after the end of the call.
	KeepFor time.Duration
}

// Limits bounds the requests and connections of callers.
type Limits struct {
	// HeaderBytes is the maximum size of a request's headers, in bytes.
	HeaderBytes int
	// BodyBytes is the maximum size of a request's body, in bytes.
	BodyBytes int
	// HeaderTimeout is how long a caller may take for the headers of a request, IdleTimeout how long a connection may be idle between two
	// requests; 0 if the site doesn't say.
	HeaderTimeout, IdleTimeout time.Duration
}

// Workspace is a customer. Its callers identify themselves by keys.
type Workspace struct {
	// Name is the name of the workspace.
	Name string
	// Priority is used instead of the route's priority if HasPriority is set; 0 is the highest.
	Priority int
	// HasPriority is set if Priority is used.
	HasPriority bool
	// Keys holds the keys of the workspace's callers. No two workspaces have a key in common. Compile removes the keys,
	// so that they stay in memory only as hashes.
	Keys []string
}

// keyHash is the hash of a key. Keys are looked up by their hashes, so that the keys needn't be kept and the duration
// of a look-up reveals nothing about them.
type keyHash [sha256.Size]byte

// Compile prepares the site for look-ups of routes, and of the given workspaces by key. It must be called once, before
// the site is used.
func (s *Site) Compile(workspaces []*Workspace) {
	s.routesByHost = make(map[string][]*Route)
	for _, r := range s.Routes {
		host := CanonicalHost(r.Host)
		s.routesByHost[host] = append(s.routesByHost[host], r)
	}
	for _, list := range s.routesByHost {
		slices.SortFunc(list, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	s.workspacesByKey = make(map[keyHash]*Workspace)
	s.HasWorkspaces = len(workspaces) > 0
	for _, w := range workspaces {
		for _, k := range w.Keys {
			s.workspacesByKey[sha256.Sum256([]byte(k))] = w
		}
		w.Keys = nil
	}
}

// Route returns the route of a host with the longest prefix of the path; nil if there is none.
func (s *Site) Route(host, path string) *Route {
	for _, r := range s.routesByHost[CanonicalHost(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Workspace returns the workspace to which a key belongs; nil if there is none.
func (s *Site) Workspace(key string) *Workspace {
	return s.workspacesByKey[sha256.Sum256([]byte(key))]
}

// FinalStages returns the indexes of the stages whose results the request itself needs: those whose results no other
// stage needs.
func (r *Route) FinalStages() []int {
	var out []int
	for i := range r.Stages {
		isNeeded := slices.ContainsFunc(r.Stages, func(s Stage) bool { return slices.Contains(s.After, i) })
		if !isNeeded {
			out = append(out, i)
		}
	}
	return out
}

// Service returns the name of the service for a request, selected at random by the weights of the route. draw is the
// random number, from 0 inclusive to 1 exclusive.
func (r *Route) Service(draw float64) string {
	total := 0
	for _, s := range r.Splits {
		total += s.Weight
	}
	remaining := draw * float64(total)
	for _, s := range r.Splits {
		remaining -= float64(s.Weight)
		if remaining < 0 {
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

// Package announce serves the HTTP endpoints for upstreams. Upstreams announce themselves, renew their announcements
// and leave; engines also send the changes of their prefix caches.
package announce

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v5"

	"plantainlane/plantainlane/control"
	"plantainlane/plantainlane/credential"
	"plantainlane/plantainlane/problem"
	"plantainlane/plantainlane/roster"
	"plantainlane/plantainlane/settings"
	"plantainlane/wire"
	"plantainlane/wire/declaration"
)

// Deliverer is the input side of the control goroutine.
type Deliverer interface {
	// Deliver passes an input to the control goroutine. It returns false if ctx or the goroutine ends before the input
	// is passed.
	Deliver(ctx context.Context, in control.Input) bool
}

const (
	// maxBodyBytes is the maximum size of a request's body.
	maxBodyBytes = 1 << 20
	// controlTimeout is the maximum wait for an answer of the control goroutine.
	controlTimeout = 2 * time.Second
	// renewalsPerTTL is the number of renewals that an upstream should send in one time to live, so that the
	// announcement doesn't expire when a renewal is lost.
	renewalsPerTTL = 3
	// anyService in the services of a credential allows all services.
	anyService = "*"
)

// Server handles the requests of upstreams.
type Server struct {
	// Control passes announcements and departures to the control goroutine.
	Control Deliverer
	// Caches handles cache events.
	Caches CacheEventHandler
	// Credentials holds the credentials of upstreams.
	Credentials []settings.UpstreamCredential
}

// Register adds the endpoints to an echo instance.
func (s *Server) Register(e *echo.Echo) {
	e.PUT("/v1/upstreams/:id", s.announce)
	e.DELETE("/v1/upstreams/:id", s.leave)
	e.POST("/v1/upstreams/:id/cacheEvents", s.cacheEvents)
}

// credentialOf returns the stored credential that matches the one in a request; false if none does. It compares all
// stored credentials, so that the time it takes doesn't reveal which one matches.
func (s *Server) credentialOf(r *http.Request) (*settings.UpstreamCredential, bool) {
	secret, _ := credential.Bearer(r)
	hash := credential.Hash(secret)
	var found *settings.UpstreamCredential
	for i := range s.Credentials {
		if credential.Matches(hash, s.Credentials[i].SHA256) {
			found = &s.Credentials[i]
		}
	}
	return found, found != nil
}

// readRequest checks the credential of a request and decodes the body into the value that into points to. It returns
// the credential, or the problem for which the request is refused.
func (s *Server) readRequest(c *echo.Context, into any) (*settings.UpstreamCredential, *wire.Problem) {
	cred, ok := s.credentialOf(c.Request())
	if !ok {
		p := unknownCredential()
		return nil, &p
	}
	d := json.NewDecoder(http.MaxBytesReader(c.Response(), c.Request().Body, maxBodyBytes))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		p := problem.New(http.StatusBadRequest, "malformed-body", err.Error())
		return nil, &p
	}
	return cred, nil
}

// unknownCredential returns the problem for a request without a known credential.
func unknownCredential() wire.Problem {
	return problem.New(http.StatusUnauthorized, "unknown-credential", "the bearer credential is missing or unknown")
}

// announce handles the announcement of an upstream and its renewals.
func (s *Server) announce(c *echo.Context) error {
	var a wire.Announcement
	cred, refusal := s.readRequest(c, &a)
	if refusal != nil {
		return problem.Write(c, *refusal)
	}
	if field := invalidField(&a, c.Param("id")); field != "" {
		return problem.Write(c, problem.New(http.StatusBadRequest, "bad-announcement",
			"the field is missing, malformed or out of range, or isn't the ID in the path", problem.WithField(field)))
	}
	if !mayAnnounce(cred, a.Service) {
		return problem.Write(c, problem.New(http.StatusForbidden, "foreign-service",
			fmt.Sprintf("the credential may not announce service %q", a.Service)))
	}
	err := s.deliver(c, func(reply chan<- error) control.Input {
		return control.UpstreamAnnounced{Announcement: a, Credential: cred.Name, Reply: reply}
	})
	if err != nil {
		return writeError(c, err)
	}
	return c.JSON(http.StatusOK, wire.AnnounceAnswer{RenewWithinMs: a.TTLMs / renewalsPerTTL})
}

// leave handles the departure of an upstream.
func (s *Server) leave(c *echo.Context) error {
	cred, ok := s.credentialOf(c.Request())
	if !ok {
		return problem.Write(c, unknownCredential())
	}
	incarnation, incarnationErr := strconv.Atoi(c.QueryParam("incarnation"))
	sequence, sequenceErr := strconv.Atoi(c.QueryParam("sequence"))
	if incarnationErr != nil || sequenceErr != nil {
		return problem.Write(c, problem.New(http.StatusBadRequest, "bad-query",
			fmt.Sprintf("expected integers, found incarnation %q and sequence %q", c.QueryParam("incarnation"), c.QueryParam("sequence"))))
	}
	err := s.deliver(c, func(reply chan<- error) control.Input {
		return control.UpstreamLeft{ID: c.Param("id"), Credential: cred.Name, Incarnation: incarnation, Sequence: sequence, Reply: reply}
	})
	if err != nil {
		return writeError(c, err)
	}
	return c.NoContent(http.StatusNoContent)
}

// mayAnnounce reports whether a credential allows announcing upstreams of a service.
func mayAnnounce(cred *settings.UpstreamCredential, service string) bool {
	return slices.Contains(cred.Services, service) || slices.Contains(cred.Services, anyService)
}

// invalidField returns the name of the first invalid field of an announcement; "" if all are valid. id is the ID in the
// path of the request.
func invalidField(a *wire.Announcement, id string) string {
	switch {
	case a.ID != id || !declaration.IsName(a.ID):
		return "id"
	case !declaration.IsName(a.Service):
		return "service"
	case a.Incarnation <= 0:
		return "incarnation"
	case a.Sequence < 0:
		return "sequence"
	case a.Capacity <= 0:
		return "capacity"
	case a.TTLMs <= 0 || a.TTLMs > int(roster.MaxTTL/time.Millisecond):
		return "ttlMs"
	case a.WarmupLeftMs < 0 || a.WarmupLeftMs > int(roster.MaxWarmup/time.Millisecond):
		return "warmupLeftMs"
	}
	if _, err := netip.ParseAddrPort(a.Address); err != nil {
		return "address"
	}
	return ""
}

// deliver passes an input to the control goroutine and waits for the reply. input returns the input for a reply
// channel. deliver returns the error in the reply, or the cause of the end of its context if the context ends first.
func (s *Server) deliver(c *echo.Context, input func(chan<- error) control.Input) error {
	ctx, cancel := context.WithTimeout(c.Request().Context(), controlTimeout)
	defer cancel()
	reply := make(chan error, 1)
	if !s.Control.Deliver(ctx, input(reply)) {
		return context.Cause(ctx)
	}
	select {
	case err := <-reply:
		return err
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// writeError answers a request with the problem for an error of deliver.
func writeError(c *echo.Context, err error) error {
	switch {
	case errors.Is(err, roster.ErrStale):
		return problem.Write(c, problem.New(http.StatusConflict, "stale", err.Error()))
	case errors.Is(err, roster.ErrImplausible):
		return problem.Write(c, problem.New(http.StatusConflict, "implausible", err.Error()))
	case errors.Is(err, roster.ErrForeign):
		return problem.Write(c, problem.New(http.StatusForbidden, "foreign-upstream", err.Error()))
	case errors.Is(err, control.ErrNotRecorded):
		return problem.Write(c, problem.New(http.StatusServiceUnavailable, "not-recorded", err.Error(), problem.WithRetryAfter(time.Second)))
	}
	return problem.Write(c, problem.New(http.StatusServiceUnavailable, "busy", "the control goroutine did not answer in time",
		problem.WithRetryAfter(time.Second)))
}

// Package announce serves upstreams: announcements, renewals and departures.
package announce

import (
	"context"
	"encoding/json"
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

// Deliverer passes inputs to the control goroutine.
type Deliverer interface {
	Deliver(ctx context.Context, in control.Input) bool
}

const (
	// maxBodyBytes bounds an announcement.
	maxBodyBytes = 1 << 20
	// wait bounds the control goroutine's answer.
	wait = 2 * time.Second
	// renewals is the number of renewals that fit into a time to live.
	renewals = 3
	// anyService in a credential stands for all services.
	anyService = "*"
)

// Server answers upstreams.
type Server struct {
	// Control takes announcements.
	Control Deliverer
	// Caches takes cache events.
	Caches CacheEventHandler
	// Credentials of upstreams.
	Credentials []settings.UpstreamCredential
}

// Register adds the endpoints to an echo instance.
func (s *Server) Register(e *echo.Echo) {
	e.PUT("/v1/upstreams/:id", s.announce)
	e.DELETE("/v1/upstreams/:id", s.leave)
	e.POST("/v1/upstreams/:id/cacheEvents", s.cacheEvents)
}

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

// read returns the credential of a request and decodes its body, or says why it is refused.
func (s *Server) read(c *echo.Context, into any) (*settings.UpstreamCredential, *wire.Problem) {
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

func unknownCredential() wire.Problem {
	return problem.New(http.StatusUnauthorized, "unknown-credential", "credential is not known")
}

func (s *Server) announce(c *echo.Context) error {
	var a wire.Announcement
	cred, refusal := s.read(c, &a)
	if refusal != nil {
		return problem.Write(c, *refusal)
	}
	if field := badField(&a, c.Param("id")); field != "" {
		return problem.Write(c, problem.New(http.StatusBadRequest, "bad-announcement", "value is out of range", problem.WithField(field)))
	}
	if !mayAnnounce(cred, a.Service) {
		return problem.Write(c, problem.New(http.StatusForbidden, "foreign-service", "credential may not announce the service"))
	}
	err := s.deliver(c, func(reply chan<- error) control.Input {
		return control.UpstreamAnnounced{Announcement: a, Credential: cred.Name, Reply: reply}
	})
	if err != nil {
		return writeError(c, err)
	}
	return c.JSON(http.StatusOK, wire.AnnounceAnswer{RenewWithinMs: a.TTLMs / renewals})
}

func (s *Server) leave(c *echo.Context) error {
	cred, ok := s.credentialOf(c.Request())
	if !ok {
		return problem.Write(c, unknownCredential())
	}
	incarnation, err1 := strconv.Atoi(c.QueryParam("incarnation"))
	sequence, err2 := strconv.Atoi(c.QueryParam("sequence"))
	if err1 != nil || err2 != nil {
		return problem.Write(c, problem.New(http.StatusBadRequest, "bad-query", "incarnation and sequence must be numbers"))
	}
	err := s.deliver(c, func(reply chan<- error) control.Input {
		return control.UpstreamLeft{ID: c.Param("id"), Credential: cred.Name, Incarnation: incarnation, Sequence: sequence, Reply: reply}
	})
	if err != nil {
		return writeError(c, err)
	}
	return c.NoContent(http.StatusNoContent)
}

func mayAnnounce(cred *settings.UpstreamCredential, service string) bool {
	return slices.Contains(cred.Services, service) || slices.Contains(cred.Services, anyService)
}

// badField returns the first field of an announcement that is out of range.
func badField(a *wire.Announcement, id string) string {
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
	}
	if _, err := netip.ParseAddrPort(a.Address); err != nil {
		return "address"
	}
	return ""
}

func (s *Server) deliver(c *echo.Context, input func(chan<- error) control.Input) error {
	ctx, cancel := context.WithTimeout(c.Request().Context(), wait)
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

func writeError(c *echo.Context, err error) error {
	switch {
	case errors.Is(err, roster.ErrStale):
		return problem.Write(c, problem.New(http.StatusConflict, "stale", err.Error()))
	case errors.Is(err, roster.ErrForeign):
		return problem.Write(c, problem.New(http.StatusForbidden, "foreign-upstream", err.Error()))
	}
	return problem.Write(c, problem.New(http.StatusServiceUnavailable, "busy", "control state did not answer in time",
		problem.WithRetryAfter(time.Second)))
}

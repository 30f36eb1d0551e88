package instance

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v5"

	"plantainlane/plantainlane/peer"
	"plantainlane/plantainlane/problem"
)

const (
	// headerTimeout bounds the reading of a request's headers.
	headerTimeout = 5 * time.Second
	// idleTimeout bounds how long a connection may wait for its next request.
	idleTimeout = 2 * time.Minute
)

// Registrar adds endpoints to an echo instance.
type Registrar interface {
	Register(e *echo.Echo)
}

type peerRoutes struct {
	net *peer.Net
}

// Register adds the peer endpoint.
func (p peerRoutes) Register(e *echo.Echo) {
	e.GET(peer.Path, echo.WrapHandler(p.net))
}

// server is one listener.
type server struct {
	listener net.Listener
	http     *http.Server
}

func newServer(address string, x *Instance, routes Registrar, maxHeaderBytes int) (*server, error) {
	e := echo.New()
	e.HTTPErrorHandler = problem.Handler
	e.GET("/healthz", func(c *echo.Context) error { return c.NoContent(http.StatusOK) })
	e.GET("/readyz", x.ready)
	routes.Register(e)
	return listenHTTP(address, e, maxHeaderBytes)
}

func listenHTTP(address string, handler http.Handler, maxHeaderBytes int) (*server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	return &server{listener: listener, http: &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}}, nil
}

func (s *server) serve() error {
	err := s.http.Serve(s.listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrap(err, "serve")
}

// shutdown stops listening and waits for requests in flight until ctx ends.
func (s *server) shutdown(ctx context.Context) {
	if s.http.Shutdown(ctx) != nil {
		_ = s.http.Close()
	}
}

func (x *Instance) ready(c *echo.Context) error {
	v := x.View()
	if v.LeaseHeld(time.Now()) && !v.Draining {
		return c.NoContent(http.StatusOK)
	}
	return problem.Write(c, problem.New(http.StatusServiceUnavailable, "not-ready", "no configuration lease, or draining"))
}

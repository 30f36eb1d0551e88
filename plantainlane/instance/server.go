package instance

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v5"

	"plantainlane/plantainlane/inbound"
	"plantainlane/plantainlane/peer"
	"plantainlane/plantainlane/problem"
)

// headerMargin is what may be read beyond the limit for headers: the beginning of a body that comes with them. A head over the limit is
// refused by the gate before the HTTP server does so, which would keep the connection for half a second.
const headerMargin = 4 << 10

// Registrar registers the endpoints of a listener.
type Registrar interface {
	// Register adds the endpoints to e.
	Register(e *echo.Echo)
}

// peerRoutes registers the endpoint for connections from other instances.
type peerRoutes struct {
	net *peer.Net
}

// Register adds the peer endpoint.
func (p peerRoutes) Register(e *echo.Echo) {
	e.GET(peer.Path, echo.WrapHandler(p.net))
}

// server is a listener with its HTTP server.
type server struct {
	listener net.Listener
	http     *http.Server
	// endRequests cancels the contexts of all requests, with a cause.
	endRequests context.CancelCauseFunc
}

// newServer opens a listener on address, as IP:PORT, for the endpoints of routes and the health checks /healthz and
// /readyz.
func newServer(address string, x *Instance, routes Registrar, o inbound.Options) (*server, error) {
	e := echo.New()
	e.HTTPErrorHandler = problem.Handler
	e.GET("/healthz", func(c *echo.Context) error { return c.NoContent(http.StatusOK) })
	e.GET("/readyz", x.ready)
	routes.Register(e)
	o.HeadLimit = func() int { return x.settings.Entry.MaxHeaderBytes + headerMargin }
	return x.listenHTTP(address, e, x.settings.Entry.MaxHeaderBytes+2*headerMargin, o)
}

// listenHTTP opens a listener on address, as IP:PORT, whose connections count towards the limits of the instance. The server accepts no
// connections until serve is called.
func (x *Instance) listenHTTP(address string, handler http.Handler, maxHeaderBytes int, o inbound.Options) (*server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	tcp, ok := listener.(*net.TCPListener)
	if !ok {
		_ = listener.Close()
		return nil, errors.Newf("expected a TCP listener, got %T", listener)
	}
	ctx, endRequests := context.WithCancelCause(context.Background())
	return &server{listener: x.inbound.Listen(tcp, o), endRequests: endRequests, http: &http.Server{
		Handler:           inbound.Handler(handler, time.Duration(x.settings.Entry.BodyTimeout)),
		BaseContext:       func(net.Listener) context.Context { return ctx },
		ConnContext:       inbound.ConnContext,
		ConnState:         x.inbound.ConnState,
		ReadHeaderTimeout: time.Duration(x.settings.Entry.HeaderTimeout),
		IdleTimeout:       time.Duration(x.settings.Entry.IdleTimeout),
		MaxHeaderBytes:    maxHeaderBytes,
	}}, nil
}

// serve serves requests until shutdown is called; it returns nil then.
func (s *server) serve() error {
	err := s.http.Serve(s.listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrap(err, "serve")
}

// shutdown stops listening and waits for the requests in flight. The contexts of those that are still in flight
// finalAnswerTime before ctx ends are cancelled, so that they are answered; those in flight when ctx ends are aborted.
func (s *server) shutdown(ctx context.Context) {
	if deadline, ok := ctx.Deadline(); ok {
		timer := time.AfterFunc(time.Until(deadline)-finalAnswerTime, func() { s.endRequests(errDrained) })
		defer timer.Stop()
	}
	if s.http.Shutdown(ctx) != nil {
		_ = s.http.Close()
	}
}

// ready answers the readiness check: with status 200 while the instance holds a configuration lease and isn't draining,
// otherwise with 503.
func (x *Instance) ready(c *echo.Context) error {
	v := x.View()
	if v.LeaseHeld(time.Now()) && !v.Draining {
		return c.NoContent(http.StatusOK)
	}
	return problem.Write(c, problem.New(http.StatusServiceUnavailable, "not-ready", "the instance holds no configuration lease or is draining"))
}

package peer

import (
	"context"
	"net/http"

	"github.com/cockroachdb/errors"
	"github.com/coder/websocket"

	"plantainlane/plantainlane/credential"
	"plantainlane/wire"
)

// connect opens a connection to an address. It returns after the handshake; other goroutines then serve the connection.
func (n *Net) connect(address string) error {
	ctx, cancel := context.WithTimeout(n.ctx, n.timing.SilentAfter)
	defer cancel()
	ws, answer, err := websocket.Dial(ctx, "ws://"+address+Path, &websocket.DialOptions{
		HTTPClient: n.client,
		HTTPHeader: http.Header{"Authorization": {credential.Scheme + n.credential}},
	})
	if answer != nil && answer.Body != nil {
		defer answer.Body.Close()
	}
	if err != nil {
		return errors.Wrap(err, "dial")
	}
	c, err := n.handshake(ctx, ws)
	if err != nil {
		_ = ws.CloseNow()
		return err
	}
	c.dialed = true
	n.add(c)
	n.wait.Go(c.serve)
	return nil
}

// ServeHTTP accepts a connection from another instance and returns when the connection ends. A client without the
// credential gets status 401 before any frame is read from it.
func (n *Net) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	secret, _ := credential.Bearer(r)
	if !credential.Matches(credential.Hash(secret), credential.Hash(n.credential)) {
		http.Error(w, "unknown credential", http.StatusUnauthorized)
		return
	}
	ws, err := websocket.Accept(w, r, nil)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(n.ctx, n.timing.SilentAfter)
	c, err := n.handshake(ctx, ws)
	cancel()
	if err != nil {
		_ = ws.CloseNow()
		return
	}
	n.add(c)
	c.serve()
}

// handshake sends a hello and reads the hello of the other end. It returns ErrHandshake if the first frame from the
// other end is not a hello with an instance ID and this protocol version, or if the other end is this instance.
func (n *Net) handshake(ctx context.Context, ws *websocket.Conn) (*conn, error) {
	ws.SetReadLimit(wire.MaxFrameBytes)
	c := &conn{net: n, ws: ws, out: newOutbox()}
	hello := wire.Frame{Hello: &wire.Hello{Info: n.self, Protocol: wire.Protocol}}
	if err := c.writeFrame(ctx, hello); err != nil {
		return nil, err
	}
	f, err := c.readFrame(ctx)
	if err != nil {
		return nil, err
	}
	if f.Hello == nil || f.Hello.Protocol != wire.Protocol || f.Hello.Info.ID == "" {
		return nil, errors.Wrapf(ErrHandshake, "expected a hello with an instance ID and protocol version %d, got %+v",
			wire.Protocol, f.Hello)
	}
	if f.Hello.Info.ID == n.self.ID {
		return nil, errors.Wrapf(ErrHandshake, "both ends are instance %q", n.self.ID)
	}
	c.info = f.Hello.Info
	c.markUsed()
	n.clock.Observe(f.Time)
	return c, nil
}

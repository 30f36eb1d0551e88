package engine

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v5"

	"plantainlane/standin/chain"
	"plantainlane/wire"
	"plantainlane/wire/prefix"
)

// Headers towards engines, and the media type of a continuation.
const (
	headerAttempt   = "Plantainlane-Attempt"
	headerPriority  = "Plantainlane-Priority"
	headerModel     = "Plantainlane-Model"
	headerMaxTokens = "Plantainlane-Max-Tokens"
	headerOffset    = "Plantainlane-Resume-Offset"
	headerCached    = "Plantainlane-Cached-Blocks"
	headerCost      = "Plantainlane-Cost-Units"
	headerExecution = "Plantainlane-Execution"

	continuationType = "application/vnd.plantainlane.continuation+json"
	notRun           = "notRun"
	maxBody          = 8 << 20
)

// Server serves an engine over HTTP.
type Server struct {
	engine  *Engine
	address string
	client  *http.Client
	// life bounds what orders begin.
	life context.Context
}

// NewServer returns a server reached at address; client fetches KV caches. What orders begin ends with ctx.
func NewServer(ctx context.Context, e *Engine, address string, client *http.Client) *Server {
	return &Server{engine: e, address: address, client: client, life: ctx}
}

// Handler returns the endpoints.
func (s *Server) Handler() http.Handler {
	e := echo.New()
	e.POST("/v1/orders", s.order)
	e.GET("/v1/engine", func(c *echo.Context) error { return c.JSON(http.StatusOK, s.engine.State()) })
	e.GET("/v1/cache/blocks", func(c *echo.Context) error { return c.JSON(http.StatusOK, s.engine.CacheBlocks()) })
	e.DELETE("/v1/attempts/:attempt", s.cancel)
	e.POST("/v1/kv/exports", s.export)
	e.GET("/v1/kv/exports/:export", s.exported)
	e.GET("/ledger", func(c *echo.Context) error { return c.JSON(http.StatusOK, s.engine.Ledger()) })
	e.POST("/*", s.generate)
	return e
}

func readJSON(c *echo.Context, v any) error {
	return json.NewDecoder(io.LimitReader(c.Request().Body, maxBody)).Decode(v)
}

func (s *Server) order(c *echo.Context) error {
	var o wire.Order
	if err := readJSON(c, &o); err != nil || o.Upstream != s.engine.cfg.ID {
		return c.JSON(http.StatusBadRequest, wire.OrderAnswer{ID: o.ID, State: refused, Reason: "malformed"})
	}
	return c.JSON(http.StatusOK, s.engine.Order(s.life, o))
}

func (s *Server) cancel(c *echo.Context) error {
	s.engine.Cancel(c.Param("attempt"))
	return c.NoContent(http.StatusNoContent)
}

func (s *Server) export(c *echo.Context) error {
	var r wire.KVExportRequest
	if err := readJSON(c, &r); err != nil {
		return c.NoContent(http.StatusBadRequest)
	}
	handle, err := s.engine.Export(r.Attempt, s.address)
	if err != nil {
		return c.NoContent(http.StatusNotFound)
	}
	return c.JSON(http.StatusOK, handle)
}

func (s *Server) exported(c *echo.Context) error {
	data, ok := s.engine.Exported(c.Param("export"))
	if !ok {
		return c.NoContent(http.StatusNotFound)
	}
	return c.Blob(http.StatusOK, echo.MIMEOctetStream, data)
}

func (s *Server) generate(c *echo.Context) error {
	attempt := c.Request().Header.Get(headerAttempt)
	c.Response().Header().Set(headerAttempt, attempt)
	stream, err := s.open(c.Request(), attempt)
	switch {
	case errors.Is(err, ErrModel), errors.Is(err, ErrBusy):
		return refuse(c, http.StatusServiceUnavailable)
	case errors.Is(err, ErrUnknownAttempt):
		return refuse(c, http.StatusNotFound)
	case errors.Is(err, ErrOffset):
		return c.NoContent(http.StatusConflict)
	case err != nil:
		return refuse(c, http.StatusBadRequest)
	}
	defer stream.Close()
	return writeStream(c.Response(), c.Request(), stream)
}

func refuse(c *echo.Context, status int) error {
	c.Response().Header().Set(headerExecution, notRun)
	return c.NoContent(status)
}

// open begins, resumes or continues the stream that a request asks for.
func (s *Server) open(r *http.Request, attempt string) (*Stream, error) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBody))
	if err != nil || attempt == "" {
		return nil, errors.Newf("malformed call: %v", err)
	}
	if h := r.Header.Get(headerOffset); h != "" && r.Header.Get("Content-Type") != continuationType {
		offset, err := strconv.Atoi(h)
		if err != nil {
			return nil, errors.Wrap(err, "resume offset")
		}
		return s.engine.Resume(attempt, offset)
	}
	call, err := s.readCall(r, body)
	if err != nil {
		return nil, err
	}
	call.Attempt = attempt
	return s.engine.Generate(call)
}

func (s *Server) readCall(r *http.Request, body []byte) (Call, error) {
	in := wire.Continuation{Input: body}
	if r.Header.Get("Content-Type") == continuationType {
		in = wire.Continuation{}
		if err := json.Unmarshal(body, &in); err != nil {
			return Call{}, errors.Wrap(err, "continuation")
		}
	}
	digest, err := chain.InputDigest(in.Input)
	if err != nil {
		return Call{}, err
	}
	out := chain.Derive(r.URL.Path, digest)
	priority, _ := strconv.Atoi(r.Header.Get(headerPriority))
	limit, _ := strconv.Atoi(r.Header.Get(headerMaxTokens))
	call := Call{
		Model: r.Header.Get(headerModel), Digest: out.Digest, Priority: priority,
		Tokens: chain.TokenCount(out.Digest, s.engine.cfg.MeanTokens, limit),
		Offset: in.Offset, ExtraBlocks: len(in.Text) / prefix.BlockBytes,
	}
	call.Blocks = prefix.Blocks(call.Model, prefix.Prompt(in.Input))
	if in.Offset > 0 && in.Text != chain.Text(out.Digest, in.Offset) {
		return Call{}, errors.New("text before the offset isn't what was generated")
	}
	if in.Import != nil {
		call.Imported = s.fetchKV(r.Context(), *in.Import, call) == nil
	}
	return call, nil
}

func (s *Server) fetchKV(ctx context.Context, h wire.KVHandle, call Call) error {
	url := "http://" + h.Address + "/v1/kv/exports/" + h.Export
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return errors.Wrap(err, "KV request")
	}
	answer, err := s.client.Do(req)
	if err != nil {
		return errors.Wrap(err, "KV import")
	}
	defer answer.Body.Close()
	data, err := io.ReadAll(io.LimitReader(answer.Body, maxBody))
	if err != nil || answer.StatusCode != http.StatusOK {
		return errors.Newf("KV import: status %d, %v", answer.StatusCode, err)
	}
	return fits(data, call)
}

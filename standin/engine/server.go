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

// Headers of calls to engines, the media type of a continuation, the execution of a call that wasn't run, and the
// maximum size of a body.
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
	maxBodyBytes     = 8 << 20
)

// Server serves an engine over HTTP.
type Server struct {
	engine  *Engine
	address string
	client  *http.Client
	// orderContext bounds the loads and unloads that orders start, which continue after the request of the order.
	orderContext context.Context
}

// NewServer returns a server for an engine. address is the host and port from which other engines download KV caches;
// client downloads KV caches from other engines. ctx bounds the loads and unloads that orders start.
func NewServer(ctx context.Context, e *Engine, address string, client *http.Client) *Server {
	return &Server{engine: e, address: address, client: client, orderContext: ctx}
}

// Handler returns the handler of the engine's endpoints. A POST to any path that isn't an endpoint is a call to the
// stage with this path.
func (s *Server) Handler() http.Handler {
	e := echo.New()
	e.POST("/v1/orders", s.handleOrder)
	e.GET("/v1/engine", func(c *echo.Context) error { return c.JSON(http.StatusOK, s.engine.State()) })
	e.GET("/v1/cache/blocks", func(c *echo.Context) error { return c.JSON(http.StatusOK, s.engine.CacheBlocks()) })
	e.DELETE("/v1/attempts/:attempt", s.handleCancel)
	e.POST("/v1/kv/exports", s.handleExport)
	e.GET("/v1/kv/exports/:export", s.handleDownload)
	e.GET("/ledger", func(c *echo.Context) error { return c.JSON(http.StatusOK, s.engine.Ledger()) })
	e.POST("/*", s.handleGenerate)
	return e
}

// readJSON decodes the body of a request, of which it reads at most maxBodyBytes.
func readJSON(c *echo.Context, v any) error {
	return json.NewDecoder(io.LimitReader(c.Request().Body, maxBodyBytes)).Decode(v)
}

func (s *Server) handleOrder(c *echo.Context) error {
	var o wire.Order
	if err := readJSON(c, &o); err != nil || o.Upstream != s.engine.cfg.ID {
		return c.JSON(http.StatusBadRequest, wire.OrderAnswer{ID: o.ID, State: orderRefused, Reason: "malformed"})
	}
	return c.JSON(http.StatusOK, s.engine.Order(s.orderContext, o))
}

func (s *Server) handleCancel(c *echo.Context) error {
	s.engine.Cancel(c.Param("attempt"))
	return c.NoContent(http.StatusNoContent)
}

// handleExport serves the order to export the KV cache of an attempt.
func (s *Server) handleExport(c *echo.Context) error {
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

// handleDownload serves the download of an exported KV cache.
func (s *Server) handleDownload(c *echo.Context) error {
	data, ok := s.engine.Exported(c.Param("export"))
	if !ok {
		return c.NoContent(http.StatusNotFound)
	}
	return c.Blob(http.StatusOK, echo.MIMEOctetStream, data)
}

// handleGenerate serves a call to a stage. Errors before the call runs are answered with the execution notRun, except
// for a resume offset outside the generated tokens: the attempt may have run then.
func (s *Server) handleGenerate(c *echo.Context) error {
	attempt := c.Request().Header.Get(headerAttempt)
	c.Response().Header().Set(headerAttempt, attempt)
	stream, err := s.openStream(c.Request(), attempt)
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

// refuse answers a call that wasn't run.
func refuse(c *echo.Context, status int) error {
	c.Response().Header().Set(headerExecution, notRun)
	return c.NoContent(status)
}

// openStream starts, resumes or continues the stream of a request. A resume offset without a continuation resumes an
// attempt on this engine; a continuation is a new attempt that starts where an attempt on another engine stopped.
func (s *Server) openStream(r *http.Request, attempt string) (*Stream, error) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil || attempt == "" {
		return nil, errors.Newf("call without header Plantainlane-Attempt or with an unreadable body: %v", err)
	}
	if h := r.Header.Get(headerOffset); h != "" && r.Header.Get("Content-Type") != continuationType {
		offset, err := strconv.Atoi(h)
		if err != nil {
			return nil, errors.Wrap(err, "parse header Plantainlane-Resume-Offset")
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

// readCall decodes a call or a continuation, and downloads the KV cache that the continuation names, if any. If the
// download fails or the KV cache is another one, the engine computes the prompt instead.
func (s *Server) readCall(r *http.Request, body []byte) (Call, error) {
	input := wire.Continuation{Input: body}
	if r.Header.Get("Content-Type") == continuationType {
		input = wire.Continuation{}
		if err := json.Unmarshal(body, &input); err != nil {
			return Call{}, errors.Wrap(err, "continuation")
		}
	}
	digest, err := chain.InputDigest(input.Input)
	if err != nil {
		return Call{}, err
	}
	out := chain.Derive(r.URL.Path, digest)
	// A missing or malformed priority or token limit counts as 0.
	priority, _ := strconv.Atoi(r.Header.Get(headerPriority))
	limit, _ := strconv.Atoi(r.Header.Get(headerMaxTokens))
	call := Call{
		Model: r.Header.Get(headerModel), Digest: out.Digest, Priority: priority,
		Tokens: chain.TokenCount(out.Digest, s.engine.cfg.MeanTokens, limit),
		Offset: input.Offset, ExtraBlocks: len(input.Text) / prefix.BlockBytes,
	}
	call.Blocks = prefix.Blocks(call.Model, prefix.Prompt(input.Input))
	if input.Offset > 0 && input.Text != chain.Text(out.Digest, input.Offset) {
		return Call{}, errors.New("continuation: text before the offset differs from the generated text")
	}
	if input.Import != nil {
		call.Imported = s.fetchKV(r.Context(), *input.Import, call) == nil
	}
	return call, nil
}

// fetchKV downloads a KV cache from another engine. It returns ErrKVMismatch if the KV cache isn't the one of the call.
func (s *Server) fetchKV(ctx context.Context, h wire.KVHandle, call Call) error {
	url := "http://" + h.Address + "/v1/kv/exports/" + h.Export
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return errors.Wrap(err, "create KV cache request")
	}
	answer, err := s.client.Do(req)
	if err != nil {
		return errors.Wrap(err, "download KV cache")
	}
	defer answer.Body.Close()
	data, err := io.ReadAll(io.LimitReader(answer.Body, maxBodyBytes))
	if err != nil || answer.StatusCode != http.StatusOK {
		return errors.Newf("download KV cache: status %d, read error: %v", answer.StatusCode, err)
	}
	return checkKVCache(data, call)
}

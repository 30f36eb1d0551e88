package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// The key, its tenant and the host of all requests.
const (
	apiKey = "9dnn2ctnfzs989anu6ws"
	host   = "pule25.example"
)

var requests atomic.Int64

// record is where each request and its answer are written.
var record *recorder

// newID returns the ID of a new request.
func newID(kind string) string {
	return fmt.Sprintf("%s%013x", kind, requests.Add(1))
}

// resolve asks the directory of a machine for the addresses of the entries.
func (m *machine) resolve() []string {
	client := http.Client{Timeout: time.Second}
	res, err := client.Get(fmt.Sprintf("http://%s/plantainlane/resolve?name=%s&region=region&zone=%s", m.at(m.c.directory), host, m.zone))
	if err != nil {
		return nil
	}
	defer res.Body.Close()
	var a struct {
		Addresses []string `json:"addresses"`
	}
	if json.NewDecoder(res.Body).Decode(&a) != nil {
		return nil
	}
	return a.Addresses
}

// clientConn is a client's connection to an entry.
type clientConn struct {
	raw    net.Conn
	reader *bufio.Reader
}

func dial(address string) (*clientConn, error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &clientConn{c, bufio.NewReader(c)}, nil
}

// call is a client's request.
type call struct {
	method, path, id string
	body             []byte
	deadline         time.Duration
	// pace is the time in which the body is sent.
	pace time.Duration
	// headers are further header lines.
	headers string
	// sent is when the last byte was sent.
	sent time.Time
}

// result is what a client has seen of the answer to a request.
type result struct {
	// status is 0 if there was no answer.
	status   int
	seal     string
	complete bool
	body     string
	// closed is set if the connection ended before the answer was complete, and not by the client.
	closed bool
	err    error
	at     time.Time
}

// do sends a request and reads its answer until the deadline.
func (c *clientConn) do(q *call) (r result) {
	record.add("client: sends %s %s %s to %s, %d bytes of body", q.id, q.method, q.path, c.raw.RemoteAddr(), len(q.body))
	defer func() {
		r.at = time.Now()
		record.add("client: answer to %s: status %d, complete %v, closed %v", q.id, r.status, r.complete, r.closed)
	}()
	_ = c.raw.SetDeadline(time.Now().Add(q.deadline))
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\nAuthorization: Bearer %s\r\n%s",
		q.method, q.path, host, q.id, q.deadline.Milliseconds(), apiKey, q.headers)
	if q.method != http.MethodGet {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(q.body))
	}
	_, writeErr := io.WriteString(c.raw, head+"\r\n")
	const part = 64 << 10
	parts := len(q.body)/part + 1
	for i := 0; i < len(q.body) && writeErr == nil; i += part {
		_, writeErr = c.raw.Write(q.body[i:min(i+part, len(q.body))])
		if q.pace > 0 {
			time.Sleep(q.pace / time.Duration(parts))
		}
	}
	q.sent = time.Now()
	res, err := http.ReadResponse(c.reader, &http.Request{Method: q.method})
	if err != nil {
		return result{err: errors.Join(writeErr, err), closed: !isTimeout(err)}
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	return result{
		status: res.StatusCode, seal: res.Header.Get("Response-Seal"), complete: err == nil, body: string(body), closed: err != nil && !isTimeout(err), err: err,
	}
}

func isTimeout(err error) bool {
	var t net.Error
	return errors.As(err, &t) && t.Timeout()
}

// configuration returns a configuration of two services: llm with the streams under /guida/, which may be resumed, and
// accounts with the purchases under /acquisto/ and the reads under /preferiti/.
func configuration(version int) map[string]any {
	route := func(name, prefix, kind, service string, timeout, aim, attempts int) map[string]any {
		return map[string]any{
			"name": name, "host": host, "path_prefix": prefix, "route_type": kind, "timeout_ms": timeout, "target_latency_ms": aim,
			"priority": 1, "service": service, "max_attempts": attempts, "public": false, "session_affinity": false, "stream_resume": kind == "streaming",
			"gap_aim_ms": 400,
		}
	}
	service := func(name string) map[string]any {
		return map[string]any{"name": name, "health_path": "/health", "max_conns": 280, "protocol": "h1", "tls": false}
	}
	return map[string]any{
		"version": version,
		"routes": []any{
			route("guida", "/guida/", "streaming", "frasi", 15000, 1700, 2),
			route("acquisto", "/acquisto/", "non_idempotent", "conto", 600, 100, 1),
			route("preferiti", "/preferiti/", "idempotent", "conto", 600, 100, 2),
		},
		"services": []any{service("frasi"), service("conto")},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []any{map[string]any{"name": "bozi300", "api_keys": []string{apiKey}, "priority": 1}},
	}
}

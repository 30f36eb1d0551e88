package engine

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"plantainlane/wire"
)

const (
	exportTTL       = 30 * time.Second
	bytesPerKVToken = 64 // Padding of a token in the exported KV cache.
)

// ErrKVMismatch is returned for a KV cache of another model or prompt, or with fewer tokens than the call's offset.
var ErrKVMismatch = errors.New("engine: KV cache doesn't match the model, prompt or offset of the call")

// kvCache is the content of an exported KV cache. Instead of real KV data it holds padding in proportion to its number
// of tokens.
type kvCache struct {
	Model   string `json:"model"`
	Digest  string `json:"digest"`
	Tokens  int    `json:"tokens"`
	Padding []byte `json:"padding"`
}

// kvExport is an exported KV cache, ready for download until it expires.
type kvExport struct {
	data    []byte
	expires time.Time
}

// Export ends an attempt and keeps its KV cache for exportTTL, so that another engine can download it from address. It
// returns ErrUnknownAttempt if the attempt doesn't exist, has been ended, or hasn't computed its prompt.
func (e *Engine) Export(id, address string) (wire.KVHandle, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	a := e.attempts[id]
	if a == nil || a.ended || !a.prefilled {
		return wire.KVHandle{}, ErrUnknownAttempt
	}
	data, err := json.Marshal(kvCache{
		Model: a.Model, Digest: a.Digest, Tokens: a.generated, Padding: make([]byte, a.generated*bytesPerKVToken),
	})
	if err != nil {
		return wire.KVHandle{}, errors.Wrap(err, "encode KV cache")
	}
	now := time.Now()
	handle := wire.KVHandle{
		Address: address, Export: uuid.NewString(), Model: a.Model, Tokens: a.generated,
		Bytes: len(data), ExpiresMs: int(now.Add(exportTTL).UnixMilli()),
	}
	e.removeExpiredExports(now)
	e.exports[handle.Export] = kvExport{data: data, expires: now.Add(exportTTL)}
	e.ledger.Exported++
	e.endAttempt(a)
	delete(e.attempts, id)
	return handle, nil
}

// removeExpiredExports removes the exports that have expired by now. The caller holds e.mu.
func (e *Engine) removeExpiredExports(now time.Time) {
	for id, x := range e.exports {
		if now.After(x.expires) {
			delete(e.exports, id)
		}
	}
}

// Exported returns the content of an export. It reports false if the export is unknown or has expired.
func (e *Engine) Exported(id string) ([]byte, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.removeExpiredExports(time.Now())
	x, ok := e.exports[id]
	return x.data, ok
}

// checkKVCache returns ErrKVMismatch unless data is a KV cache that can be imported for a call.
func checkKVCache(data []byte, c Call) error {
	var kv kvCache
	if err := json.Unmarshal(data, &kv); err != nil {
		return errors.Mark(err, ErrKVMismatch)
	}
	if kv.Model != c.Model || kv.Digest != c.Digest || kv.Tokens < c.Offset {
		return ErrKVMismatch
	}
	return nil
}

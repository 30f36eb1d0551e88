package engine

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"plantainlane/wire"
)

const (
	exportFor       = 30 * time.Second
	bytesPerKVToken = 64
)

// ErrKVMismatch marks a KV cache of another prompt, model or offset.
var ErrKVMismatch = errors.New("engine: KV cache doesn't fit the call")

// kvCache is what a fake export consists of.
type kvCache struct {
	Model   string `json:"model"`
	Digest  string `json:"digest"`
	Tokens  int    `json:"tokens"`
	Padding []byte `json:"padding"`
}

type export struct {
	data    []byte
	expires time.Time
}

// Export ends an attempt and keeps its KV cache for another engine. It returns ErrUnknownAttempt.
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
		Bytes: len(data), ExpiresMs: int(now.Add(exportFor).UnixMilli()),
	}
	e.dropExports(now)
	e.exports[handle.Export] = export{data: data, expires: now.Add(exportFor)}
	e.ledger.Exported++
	e.end(a)
	delete(e.attempts, id)
	return handle, nil
}

func (e *Engine) dropExports(now time.Time) {
	for id, x := range e.exports {
		if now.After(x.expires) {
			delete(e.exports, id)
		}
	}
}

// Exported returns the bytes of an export; it reports false once the export has expired.
func (e *Engine) Exported(id string) ([]byte, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.dropExports(time.Now())
	x, ok := e.exports[id]
	return x.data, ok
}

// fits checks that a KV cache can be imported for a call.
func fits(data []byte, c Call) error {
	var kv kvCache
	if err := json.Unmarshal(data, &kv); err != nil {
		return errors.Mark(err, ErrKVMismatch)
	}
	if kv.Model != c.Model || kv.Digest != c.Digest || kv.Tokens < c.Offset {
		return ErrKVMismatch
	}
	return nil
}

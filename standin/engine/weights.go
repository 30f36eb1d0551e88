package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"plantainlane/wire"
)

// WeightSource provides the weights of models.
type WeightSource interface {
	// Fetch fetches the weights of a model. It returns a *WeightsRefusedError if the store is over its rate.
	Fetch(ctx context.Context, r wire.WeightRequest) error
}

// WeightsRefusedError is returned if the weight store is over its rate.
type WeightsRefusedError struct {
	// RetryAfter is the time to wait before the next try.
	RetryAfter time.Duration
}

func (e *WeightsRefusedError) Error() string {
	return "weight store is over its rate, retry after " + e.RetryAfter.String()
}

// WeightStore is a fake weight store. It limits the units that it serves with a token bucket, and refuses requests
// above the limit.
type WeightStore struct {
	rate wire.Rate

	mu sync.Mutex
	// available is the number of units in the token bucket at updatedAt.
	available float64
	updatedAt time.Time
	served    int // Requests served.
	refused   int // Requests refused.
}

// NewWeightStore returns a store that can serve its whole burst immediately.
func NewWeightStore(rate wire.Rate) *WeightStore {
	return &WeightStore{rate: rate, available: rate.Burst, updatedAt: time.Now()}
}

// Fetch implements WeightSource. It transfers no data.
func (s *WeightStore) Fetch(_ context.Context, r wire.WeightRequest) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.available = min(s.rate.Burst, s.available+now.Sub(s.updatedAt).Seconds()*s.rate.PerSecond)
	s.updatedAt = now
	if s.available < r.Units {
		s.refused++
		wait := (r.Units - s.available) / s.rate.PerSecond
		return &WeightsRefusedError{RetryAfter: time.Duration(wait * float64(time.Second))}
	}
	s.available -= r.Units
	s.served++
	return nil
}

// Counts returns the numbers of served and refused requests.
func (s *WeightStore) Counts() (served, refused int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.served, s.refused
}

// ServeHTTP serves POST /v1/loads. It answers a refused request with status 429 and a Retry-After header.
func (s *WeightStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var req wire.WeightRequest
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBodyBytes)).Decode(&req); err != nil {
		http.Error(w, "malformed", http.StatusBadRequest)
		return
	}
	var refused *WeightsRefusedError
	if err := s.Fetch(r.Context(), req); errors.As(err, &refused) {
		w.Header().Set("Retry-After", strconv.Itoa(int(refused.RetryAfter/time.Second)+1))
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// RemoteWeights fetches weights from a weight store over HTTP.
type RemoteWeights struct {
	// Address is the store's host and port.
	Address string
	// Client sends the requests.
	Client *http.Client
}

// Fetch implements WeightSource.
func (w RemoteWeights) Fetch(ctx context.Context, r wire.WeightRequest) error {
	body, err := json.Marshal(r)
	if err != nil {
		return errors.Wrap(err, "encode weight request")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+w.Address+"/v1/loads", bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "create weight request")
	}
	answer, err := w.Client.Do(req)
	if err != nil {
		return errors.Wrap(err, "send weight request")
	}
	defer answer.Body.Close()
	switch answer.StatusCode {
	case http.StatusOK:
		return nil
	case http.StatusTooManyRequests:
		seconds, _ := strconv.Atoi(answer.Header.Get("Retry-After"))
		return &WeightsRefusedError{RetryAfter: time.Duration(seconds) * time.Second}
	default:
		return errors.Newf("weight store %s: unexpected status %d", w.Address, answer.StatusCode)
	}
}

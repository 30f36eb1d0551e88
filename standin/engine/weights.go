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

// WeightSource delivers the weights of models.
type WeightSource interface {
	// Fetch returns a WeightsRefusedError if the store is over its rate.
	Fetch(ctx context.Context, r wire.WeightRequest) error
}

// WeightsRefusedError says that the weight store is over its rate.
type WeightsRefusedError struct {
	// RetryAfter is when asking again can help.
	RetryAfter time.Duration
}

func (e *WeightsRefusedError) Error() string {
	return "weight store is over its rate, retry after " + e.RetryAfter.String()
}

// WeightStore is a fake weight store that refuses what is over its rate.
type WeightStore struct {
	rate wire.Rate

	mu      sync.Mutex
	left    float64
	at      time.Time
	served  int
	refused int
}

// NewWeightStore returns a store whose burst is unused.
func NewWeightStore(rate wire.Rate) *WeightStore {
	return &WeightStore{rate: rate, left: rate.Burst, at: time.Now()}
}

// Fetch implements WeightSource.
func (s *WeightStore) Fetch(_ context.Context, r wire.WeightRequest) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.left = min(s.rate.Burst, s.left+now.Sub(s.at).Seconds()*s.rate.PerSecond)
	s.at = now
	if s.left < r.Units {
		s.refused++
		wait := (r.Units - s.left) / s.rate.PerSecond
		return &WeightsRefusedError{RetryAfter: time.Duration(wait * float64(time.Second))}
	}
	s.left -= r.Units
	s.served++
	return nil
}

// Counts returns the loads served and refused.
func (s *WeightStore) Counts() (served, refused int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.served, s.refused
}

// ServeHTTP serves POST /v1/loads.
func (s *WeightStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var req wire.WeightRequest
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBody)).Decode(&req); err != nil {
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

// RemoteWeights fetches weights from a store over HTTP.
type RemoteWeights struct {
	// Address is the store's host and port.
	Address string
	// Client carries the calls.
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
		return errors.Wrap(err, "weight request")
	}
	answer, err := w.Client.Do(req)
	if err != nil {
		return errors.Wrap(err, "weight store")
	}
	defer answer.Body.Close()
	switch answer.StatusCode {
	case http.StatusOK:
		return nil
	case http.StatusTooManyRequests:
		seconds, _ := strconv.Atoi(answer.Header.Get("Retry-After"))
		return &WeightsRefusedError{RetryAfter: time.Duration(seconds) * time.Second}
	default:
		return errors.Newf("weight store answered %d", answer.StatusCode)
	}
}

package pipeline

import (
	"maps"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"plantainlane/plantainlane/limit"
	"plantainlane/plantainlane/retry"
	"plantainlane/plantainlane/route"
	"plantainlane/wire"
)

const (
	// headroom is the calls in flight to a service over what its upstreams work on at once, so that an upstream
	// has its next call when it ends one.
	headroom = 1.25
	// borrowShare is the part of what other instances leave unused that an instance takes.
	borrowShare = 0.7
)

// Service is what this instance has learned of one service.
type Service struct {
	*retry.Service
	Semaphore *limit.Semaphore
}

// Services is the balancer together with what was learned of each service. Apply, Remove, SetPolicies and
// Review belong to one goroutine; Pick and Get may be called from any.
type Services struct {
	*route.Balancer
	instances func() int
	mu        sync.Mutex
	table     atomic.Pointer[map[string]*Service]
	policies  map[string]wire.UpstreamPolicy
}

// NewServices returns Services around a balancer. Instances returns the number of instances that share the
// upstreams.
func NewServices(b *route.Balancer, instances func() int) *Services {
	s := &Services{Balancer: b, instances: instances, policies: map[string]wire.UpstreamPolicy{}}
	s.table.Store(&map[string]*Service{})
	return s
}

// Get returns a service.
func (s *Services) Get(name string) *Service {
	if service := (*s.table.Load())[name]; service != nil {
		return service
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if service := (*s.table.Load())[name]; service != nil {
		return service
	}
	policy := s.policy(name)
	service := &Service{Service: retry.NewService(policy), Semaphore: limit.NewSemaphore(0, policy.QueueLimit)}
	service.Semaphore.SetLimits(time.Now(), s.places(name), policy.QueueLimit)
	next := maps.Clone(*s.table.Load())
	next[name] = service
	s.table.Store(&next)
	return service
}

func (s *Services) policy(name string) wire.UpstreamPolicy {
	if p, ok := s.policies[name]; ok {
		return p
	}
	p := route.DefaultPolicy
	p.Service = name
	return p
}

// SetPolicies replaces the upstream policies.
func (s *Services) SetPolicies(policies []wire.UpstreamPolicy) {
	s.Balancer.SetPolicies(policies)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.policies = map[string]wire.UpstreamPolicy{}
	for _, p := range policies {
		s.policies[p.Service] = p
	}
	for name, service := range *s.table.Load() {
		service.SetPolicy(s.policy(name))
	}
}

// Review is called every route.ReviewEvery.
func (s *Services) Review(now time.Time) {
	s.Balancer.Review(now)
	for name, service := range *s.table.Load() {
		service.Review(now)
		service.Semaphore.SetLimits(now, s.places(name), service.Policy().QueueLimit)
	}
}

// places is this instance's part of a service: its even share, and most of what the others leave unused.
func (s *Services) places(name string) int {
	r := s.ServiceCapacity(name)
	even := r.Capacity / float64(max(s.instances(), 1))
	unused := max(r.Capacity-even-r.OtherLoad, 0)
	return max(int(math.Ceil((even+borrowShare*unused)*headroom)), 1)
}

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
	// concurrencyHeadroom is the ratio of the calls in flight to a service to the calls that its upstreams process
	// concurrently. It is above 1 so that an upstream already holds its next call when it finishes one.
	concurrencyHeadroom = 1.25
	// borrowFraction is the fraction that this instance may use of the capacity that other instances leave unused.
	borrowFraction = 0.7
)

// Service holds the retry state and latency statistics of one service at this instance, and the semaphore that bounds
// the instance's concurrent calls to the service.
type Service struct {
	*retry.Service
	Semaphore *limit.Semaphore
}

// Services combines the balancer with the Service of each service. Apply, Remove, SetPolicies and Review must be called
// from one goroutine; Pick and Get are safe for concurrent use.
type Services struct {
	*route.Balancer
	instances func() int
	mu        sync.Mutex
	// table holds the services by name. It is replaced by a changed copy under mu, so that reads take no lock.
	table atomic.Pointer[map[string]*Service]
	// policies holds the declared policies by service, guarded by mu.
	policies map[string]wire.UpstreamPolicy
}

// NewServices returns the Services of a balancer. The function instances returns the number of instances that share the
// upstreams.
func NewServices(b *route.Balancer, instances func() int) *Services {
	s := &Services{Balancer: b, instances: instances, policies: map[string]wire.UpstreamPolicy{}}
	s.table.Store(&map[string]*Service{})
	return s
}

// Get returns the service with the given name and creates it on first use.
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
	service.Semaphore.SetLimits(time.Now(), s.concurrencyLimit(name), policy.QueueLimit)
	next := maps.Clone(*s.table.Load())
	next[name] = service
	s.table.Store(&next)
	return service
}

// policy returns the declared policy of a service, or the default policy. The caller holds mu.
func (s *Services) policy(name string) wire.UpstreamPolicy {
	if p, ok := s.policies[name]; ok {
		return p
	}
	p := route.DefaultPolicy
	p.Service = name
	return p
}

// SetPolicies replaces the upstream policies of all services.
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

// Review updates the balancer, the latency statistics and the concurrency limits. It must be called every
// route.ReviewInterval.
func (s *Services) Review(now time.Time) {
	s.Balancer.Review(now)
	for name, service := range *s.table.Load() {
		service.Review(now)
		service.Semaphore.SetLimits(now, s.concurrencyLimit(name), service.Policy().QueueLimit)
	}
}

// concurrencyLimit returns the number of concurrent calls that this instance may make to a service, at least 1. It is
// concurrencyHeadroom times the sum of an even part of the service's capacity and borrowFraction of the capacity that
// other instances leave unused.
func (s *Services) concurrencyLimit(name string) int {
	c := s.ServiceCapacity(name)
	even := c.Capacity / float64(max(s.instances(), 1))
	unused := max(c.Capacity-even-c.OtherLoad, 0)
	return max(int(math.Ceil((even+borrowFraction*unused)*concurrencyHeadroom)), 1)
}

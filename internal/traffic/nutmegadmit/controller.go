package nutmegadmit

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/nutmegwind/nutmegwind/internal/fleet/nutmegview"
	"github.com/nutmegwind/nutmegwind/nutmegid"
)

// Config configures a Controller.
type Config struct {
	Seed uint64 // of the random number generator
}

// Request holds the properties of a request that decide its admission.
type Request struct {
	Service       nutmegview.Service
	Workspace     nutmegid.Workspace
	Priority      int           // zero is the most urgent
	Tokens        int64         // that the request can use at most
	LatencyTarget time.Duration // for the first event; zero if there is none
}

// Reason states why a request was refused.
type Reason string

// The reasons for which a request is refused.
const (
	ReasonPriority  Reason = "priority"  // more urgent requests take the room
	ReasonWorkspace Reason = "workspace" // its workspace asks for more than its share
	ReasonLate      Reason = "late"      // it would probably begin after its latency target
)

// Decision is the answer to the question whether a request may be sent.
type Decision struct {
	Admitted   bool
	Reason     Reason        // for which such requests are refused; empty if none is
	RetryAfter time.Duration // zero if the request is admitted
	Room       Room
	Share      float64 // of such requests that is admitted now
	Rank       int     // number of more urgent priorities in demand
}

// String returns the inputs of the decision, for logs.
func (d Decision) String() string {
	return fmt.Sprintf("%s: %.2f requests and %.2f waiting for each slot by %.1f reports %d ms old; rank %d, %.2f of such requests admitted",
		d.Reason, d.Room.Load, d.Room.Waiting, d.Room.Reports, d.Room.Age.Milliseconds(), d.Rank, d.Share)
}

// Controller decides on the requests of one instance. It is safe for concurrent use.
type Controller struct {
	mu       sync.Mutex
	random   *rand.Rand
	services map[nutmegview.Service]*service
}

// New returns a Controller that knows no reports and admits all requests.
func New(cfg Config) *Controller {
	return &Controller{
		random:   rand.New(rand.NewPCG(cfg.Seed, cfg.Seed)),
		services: make(map[nutmegview.Service]*service),
	}
}

// SetConfig forgets the services that are no longer engines.
func (c *Controller) SetConfig(config *nutmegview.Config) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name := range c.services {
		if config.Services[name].Engine == nil {
			delete(c.services, name)
		}
	}
}

// RecordReport adds a report of one engine of a service.
func (c *Controller) RecordReport(name nutmegview.Service, r Report, now time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.service(name).reports.add(r, now)
}

// RecordServiceTime adds the time for which a request has been at an engine.
func (c *Controller) RecordServiceTime(name nutmegview.Service, took time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.service(name)
	s.serviceTime += time.Duration(serviceTimeWeight * float64(took-s.serviceTime))
}

// Decide decides whether a request may be sent now. Each request is to be decided once.
func (c *Controller) Decide(r Request, now time.Duration) Decision {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.service(r.Service)
	weighed := s.demand.add(r, now)
	d := s.decide(r, weighed, now)
	d.Admitted = d.Share == 1 || c.random.Float64() < d.Share
	if !d.Admitted {
		s.demand.debt -= weighed
		d.RetryAfter = c.retryAfter(d.Room, s.serviceTime)
	}
	return d
}

// service returns the state of a service.
func (c *Controller) service(name nutmegview.Service) *service {
	s, ok := c.services[name]
	if !ok {
		s = newService()
		c.services[name] = s
	}
	return s
}

// retryAfter returns when a refused caller is to come back: after the engines have ended
// the requests that wait, and one more for each slot, spread over as long again.
func (c *Controller) retryAfter(room Room, serviceTime time.Duration) time.Duration {
	wait := time.Duration((1 + room.Waiting) * float64(serviceTime))
	wait = min(max(wait, minRetryAfter), maxRetryAfter/2)
	return wait + time.Duration(c.random.Int64N(int64(wait)))
}

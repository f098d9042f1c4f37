package compiler

import "time"

// Priority is a class of requests. Work of a higher class goes first in a queue.
type Priority uint8

const (
	// PriorityLow is for work that may be late, such as internal checks.
	PriorityLow Priority = iota
	// PriorityNormal is for requests that do not say otherwise.
	PriorityNormal
	// PriorityHigh is for work that may not be late, such as payments.
	PriorityHigh
)

// ServiceSpec lists the settings of a Service for NewService. The key of each
// setting in a configuration file is its name in kebab case.
type ServiceSpec struct {
	// Name is the service's name, from its section's header.
	Name string
	// Owner is who pays for the service's idle capacity.
	Owner string
	// Hosts are the host names that select the service; empty for any.
	Hosts []string
	// Unrouted tells that only routes of their own lead to the service, none
	// that its hosts and path prefix describe.
	Unrouted bool
	// PathPrefix is the start of the paths that select the service.
	PathPrefix string
	// Timeout is the deadline of a request that names none.
	Timeout time.Duration
	// MaxTimeout bounds the deadline that a request may name.
	MaxTimeout time.Duration
	// StallTimeout is how long an answer may make no progress.
	StallTimeout time.Duration
	// Slots is how many requests an instance works on at once if it did not announce it.
	Slots int
	// Connections bounds the connections to one upstream if it did not announce it.
	Connections int
	// QueueLength bounds how many requests wait for a slot of one instance.
	QueueLength int
	// Priority is the highest class that a request of the service may have, and its default.
	Priority Priority
	// RepeatableMethods are the HTTP methods whose requests may run more than once.
	RepeatableMethods []string
	// RetryPercent bounds retries and hedges, as a share of fresh requests.
	RetryPercent int
	// MaxAttempts bounds how often one request is tried, the first included.
	MaxAttempts int
	// HedgeAfter is when a second attempt of a repeatable request starts; 0 for never.
	HedgeAfter time.Duration
	// KeyRetention is how long the outcome of an idempotency key is remembered.
	KeyRetention time.Duration
	// ProbeMessages bounds the load probes that one node sends for the service, per second.
	ProbeMessages int
	// ProbeBytes bounds the bytes of those probes and their answers, per second.
	ProbeBytes int
	// SampleMaxAge is how old a load sample may be to count in a choice.
	SampleMaxAge time.Duration
	// HealthPath is where the upstream tells its health, which is a hint only;
	// empty if it is not read.
	HealthPath string
	// ColdStart is how long a warming instance takes to get its full share of work.
	ColdStart time.Duration
	// MinHealthyPercent is the share of a service's instances that outlier
	// detection always leaves in the choice.
	MinHealthyPercent int
}

// Service is the compiled configuration of one service at one site. It is
// immutable.
type Service struct {
	spec       ServiceSpec
	repeatable map[string]bool
}

// NewService returns the service that spec describes. It checks nothing:
// Compile does.
func NewService(spec ServiceSpec) *Service {
	s := &Service{spec: spec, repeatable: make(map[string]bool, len(spec.RepeatableMethods))}
	for _, method := range spec.RepeatableMethods {
		s.repeatable[method] = true
	}
	return s
}

// DefaultServiceSpec returns the settings that hold where a configuration
// file is silent.
func DefaultServiceSpec(name string) ServiceSpec {
	return ServiceSpec{
		Name:              name,
		PathPrefix:        "/",
		Timeout:           2 * time.Second,
		MaxTimeout:        30 * time.Second,
		StallTimeout:      time.Second,
		Slots:             6,
		Connections:       240,
		QueueLength:       32,
		Priority:          PriorityNormal,
		RepeatableMethods: []string{"GET", "HEAD", "OPTIONS", "TRACE"},
		RetryPercent:      10,
		MaxAttempts:       3,
		HedgeAfter:        50 * time.Millisecond,
		KeyRetention:      15 * time.Minute,
		ProbeMessages:     20,
		ProbeBytes:        2000,
		SampleMaxAge:      100 * time.Millisecond,
		ColdStart:         5 * time.Second,
		MinHealthyPercent: 50,
	}
}

// Spec returns a copy of all settings.
func (s *Service) Spec() ServiceSpec { return s.spec }

// Name returns the service's name.
func (s *Service) Name() string { return s.spec.Name }

// Owner returns who pays for the service's idle capacity.
func (s *Service) Owner() string { return s.spec.Owner }

// Repeatable reports whether a request with the given method may run more than once.
func (s *Service) Repeatable(method string) bool { return s.repeatable[method] }

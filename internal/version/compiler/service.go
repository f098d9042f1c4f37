package compiler

import "time"

// Priority is the priority class of a request. Queues dispatch higher classes first.
type Priority uint8

const (
	// PriorityLow is for requests that may be delayed, such as internal checks.
	PriorityLow Priority = iota
	// PriorityNormal is the default.
	PriorityNormal
	// PriorityHigh is for requests that must not be delayed, such as payments.
	PriorityHigh
)

// ServiceSpec lists the settings of a Service for NewService. The key of each
// setting in a configuration file is its name in kebab case.
type ServiceSpec struct {
	// Name is the service's name, from its section's header.
	Name string
	// Owner is the name of the owner who pays for the service's idle capacity.
	Owner string
	// Hosts are the host names that select the service; empty for any.
	Hosts []string
	// Unrouted means that only explicit routes lead to the service: its hosts and
	// path prefix select no requests.
	Unrouted bool
	// PathPrefix selects the service for this path and those below it.
	PathPrefix string
	// Timeout is the timeout of a request that does not set one.
	Timeout time.Duration
	// MaxTimeout is the maximum timeout that a request may set.
	MaxTimeout time.Duration
	// StallTimeout is the time without progress of a response after which a repeatable
	// request is also sent elsewhere.
	StallTimeout time.Duration
	// Slots is the number of requests that an instance runs concurrently, unless it
	// announces another number.
	Slots int
	// Connections is the maximum number of connections to one upstream, unless its
	// instance announces another number.
	Connections int
	// QueueLength is the maximum number of requests that wait for a slot of one
	// instance.
	QueueLength int
	// Overload is what decides which requests wait or are refused beyond the capacity of an
	// instance.
	Overload Overload
	// Priority is the highest priority that a request of the service may have, and
	// its default.
	Priority Priority
	// RepeatableMethods are the HTTP methods whose requests may run more than once.
	RepeatableMethods []string
	// RetryPercent is the maximum number of retries and hedges, as a percentage of
	// first attempts.
	RetryPercent int
	// MaxAttempts is the maximum number of attempts per request, the first included.
	MaxAttempts int
	// HedgeAfter is the time after which a repeatable request gets a second attempt;
	// 0 for never.
	HedgeAfter time.Duration
	// KeyRetention is how long the outcome of an idempotency key is kept.
	KeyRetention time.Duration
	// ProbeMessages is the maximum number of load probes that one node sends for the
	// service per second.
	ProbeMessages int
	// ProbeBytes is the maximum size of those probes and their responses per second.
	ProbeBytes int
	// SampleMaxAge is the maximum age of a load sample that is used to pick an
	// instance.
	SampleMaxAge time.Duration
	// HealthPath is the path of the upstream's health endpoint, whose response is
	// only a hint; empty if health is not read.
	HealthPath string
	// ColdStart is the time that a warming instance takes to reach its full share of
	// requests.
	ColdStart time.Duration
	// ColdRate is the number of requests a second that an upstream bears in its cold
	// start; 0 for no limit.
	ColdRate float64
	// MinHealthyPercent is the share of a service's instances that outlier detection
	// never excludes.
	MinHealthyPercent int
}

// Service holds the compiled settings of one service at one site. It is immutable.
type Service struct {
	spec       ServiceSpec
	repeatable map[string]bool
}

// NewService returns the service with the given settings. It does not validate them;
// Compile does.
func NewService(spec ServiceSpec) *Service {
	s := &Service{spec: spec, repeatable: make(map[string]bool, len(spec.RepeatableMethods))}
	for _, method := range spec.RepeatableMethods {
		s.repeatable[method] = true
	}
	return s
}

// DefaultServiceSpec returns the defaults for the settings that a configuration file
// does not set.
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

// Owner returns the name of the owner who pays for the service's idle capacity.
func (s *Service) Owner() string { return s.spec.Owner }

// Repeatable reports whether a request with the given method may run more than once.
func (s *Service) Repeatable(method string) bool { return s.repeatable[method] }

package classifier

// Header names of requests and answers. All values are ASCII.
const (
	// HeaderOutcome holds an Outcome's name, on every answer of a node. An
	// upstream sets it to "not-run" on a request that it shed before any work.
	HeaderOutcome = "Banyanscale-Outcome"
	// HeaderReason holds a Reason, on every answer that a node made itself.
	HeaderReason = "Banyanscale-Reason"
	// HeaderRequestID holds the id of a request, for the explain command.
	HeaderRequestID = "Banyanscale-Request-Id"
	// HeaderTimeout holds the time left for the request, in whole milliseconds.
	// It is relative, since clocks of two machines differ.
	HeaderTimeout = "Banyanscale-Timeout-Ms"
	// HeaderDepth holds how many services the request has passed through.
	HeaderDepth = "Banyanscale-Depth"
	// HeaderPriority holds the request's priority class: "high", "normal" or "low".
	HeaderPriority = "Banyanscale-Priority"
	// HeaderInstance holds the id of the instance that made the answer.
	HeaderInstance = "Banyanscale-Instance"
	// HeaderRetried is "1" on a refusal after which the level that made it, or
	// one below, had retried already: levels above must not retry.
	HeaderRetried = "Banyanscale-Retried"
	// HeaderHop is on requests from an entry node to a serving node: "1", or the
	// number of the attempt.
	HeaderHop = "Banyanscale-Hop"
	// HeaderService holds the service's name on requests between nodes.
	HeaderService = "Banyanscale-Service"
	// HeaderKeyHome holds the id of the instance that keeps a request's
	// idempotency key, on requests from an entry node to that instance's node.
	HeaderKeyHome = "Banyanscale-Key-Home"
	// HeaderLoad holds the serving node's load on answers between nodes.
	HeaderLoad = "Banyanscale-Load"
	// HeaderDraining is "1" on an answer of an upstream that takes no new work.
	HeaderDraining = "Banyanscale-Draining"
	// HeaderDue holds, on requests between nodes, in how many milliseconds the
	// answer is due to be worth most.
	HeaderDue = "Banyanscale-Due-Ms"
	// HeaderStay is 1 on requests between nodes that are better answered by this
	// instance after a wait than by one of another failure domain.
	HeaderStay = "Banyanscale-Stay"
	// HeaderWork holds, on answers between nodes, how many milliseconds the upstream
	// would have taken if nothing had slowed it, and on requests, how many milliseconds the
	// upstream is expected to work on the request where nothing slows it.
	HeaderWork = "Banyanscale-Work-Ms"
	// HeaderUpstreamLoad holds what an upstream reports of its load, on its answers.
	HeaderUpstreamLoad = "Banyanscale-Upstream-Load"
	// HeaderUpstream holds the id of the upstream that a request is for, on
	// requests to one that announces its id.
	HeaderUpstream = "Banyanscale-Upstream"
	// HeaderRetryAfterMS holds when to come back, in whole milliseconds.
	HeaderRetryAfterMS = "Banyanscale-Retry-After-Ms"
	// HeaderRetryAfter is the standard header that tells, in whole seconds, when to come back.
	HeaderRetryAfter = "Retry-After"
	// HeaderIdempotencyKey names a request that may be sent again but must run at most once.
	HeaderIdempotencyKey = "Idempotency-Key"
)

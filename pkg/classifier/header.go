package classifier

// Names of request and response headers. All values are ASCII.
const (
	// HeaderOutcome holds an Outcome's name, on every response of a node. An upstream
	// sets it to "not-run" on a 503 response if it shed the request before any work.
	HeaderOutcome = "Banyanscale-Outcome"
	// HeaderReason holds a Reason, on every response that a node generates itself.
	HeaderReason = "Banyanscale-Reason"
	// HeaderRequestID holds the id of a request, for the explain command.
	HeaderRequestID = "Banyanscale-Request-Id"
	// HeaderTimeout holds the remaining time of the request, in whole milliseconds. It
	// is relative, since the clocks of sender and receiver may differ.
	HeaderTimeout = "Banyanscale-Timeout-Ms"
	// HeaderDepth holds the number of services that the request has passed through.
	HeaderDepth = "Banyanscale-Depth"
	// HeaderPriority holds the request's priority class: "high", "normal" or "low".
	HeaderPriority = "Banyanscale-Priority"
	// HeaderInstance holds the id of the instance that sent the response.
	HeaderInstance = "Banyanscale-Instance"
	// HeaderRetried is "1" on a refusal or a 503 response if its sender or a lower
	// level of the call chain has already retried: levels above must not retry.
	HeaderRetried = "Banyanscale-Retried"
	// HeaderHop holds the number of the attempt, from 1, on requests from an entry
	// node to a serving node.
	HeaderHop = "Banyanscale-Hop"
	// HeaderService holds the service's name, on requests between nodes.
	HeaderService = "Banyanscale-Service"
	// HeaderKeyHome holds the id of the home instance, which keeps the request's
	// idempotency key, on requests from an entry node to the node of that instance.
	HeaderKeyHome = "Banyanscale-Key-Home"
	// HeaderLoad holds the serving node's load, on responses between nodes.
	HeaderLoad = "Banyanscale-Load"
	// HeaderDraining is "1" on a response of an upstream that accepts no new requests.
	HeaderDraining = "Banyanscale-Draining"
	// HeaderUpstreamTimeout holds the time in milliseconds that the upstream gets, on requests
	// between nodes for which that is less than HeaderTimeout.
	HeaderUpstreamTimeout = "Banyanscale-Upstream-Timeout-Ms"
	// HeaderDue holds the time until the latency goal in milliseconds, on requests
	// between nodes.
	HeaderDue = "Banyanscale-Due-Ms"
	// HeaderStay is "1" on requests between nodes that prefer the local failure
	// domain: waiting at this instance is better than trying one in another domain.
	HeaderStay = "Banyanscale-Stay"
	// HeaderWork holds a duration in milliseconds: on responses between nodes how long
	// the upstream would have taken without a slowdown, and on requests between nodes
	// how long it is expected to take without one.
	HeaderWork = "Banyanscale-Work-Ms"
	// HeaderUpstreamLoad holds the load that an upstream reports, on its responses.
	HeaderUpstreamLoad = "Banyanscale-Upstream-Load"
	// HeaderRateLimit holds the requests a second, a decimal number, that an upstream
	// accepts from all nodes together, on its responses for as long as that holds.
	HeaderRateLimit = "Banyanscale-Rate-Limit"
	// HeaderColdMS holds for how many more milliseconds an upstream is cold, on its
	// responses. A healthy response of its health endpoint without it says that it is warm.
	HeaderColdMS = "Banyanscale-Cold-Ms"
	// HeaderUpstream holds the id of the upstream that a request is for, on requests to
	// an upstream that announces its id. On its health responses it is its own id.
	HeaderUpstream = "Banyanscale-Upstream"
	// HeaderUpstreamNotice holds what the upstream of an instance says of itself, on
	// responses between nodes. An entry node returns the latest one it received from an
	// instance with its requests to that.
	HeaderUpstreamNotice = "Banyanscale-Upstream-Notice"
	// HeaderAPIKey holds the API key of the caller's organisation, on requests of callers. It
	// never reaches an upstream.
	HeaderAPIKey = "Banyanscale-Api-Key"
	// HeaderOrganisation holds the name of the organisation whose API key the caller sent, on
	// requests between nodes and to upstreams. Only nodes set it.
	HeaderOrganisation = "Banyanscale-Organisation"
	// HeaderStalled is set by a node on a 102 response: its upstream has begun to respond,
	// but makes no progress.
	HeaderStalled = "Banyanscale-Stalled"
	// HeaderRetryAfterMS holds the time until a retry, in whole milliseconds.
	HeaderRetryAfterMS = "Banyanscale-Retry-After-Ms"
	// HeaderRetryAfter is the standard header for the time until a retry. Nodes set it
	// in whole seconds.
	HeaderRetryAfter = "Retry-After"
	// HeaderIdempotencyKey identifies a request that may be sent repeatedly but must
	// run at most once.
	HeaderIdempotencyKey = "Idempotency-Key"
)

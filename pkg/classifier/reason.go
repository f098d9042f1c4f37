package classifier

// Reason is the cause of a refusal, a retry or a failed response. The metrics of a
// node count each reason separately.
type Reason string

const (
	// ReasonNone means that the response has no failure.
	ReasonNone Reason = ""
	// ReasonNoService means that no route of the configuration matches the request.
	ReasonNoService Reason = "no-service"
	// ReasonNoInstance means that no instance of the service can accept the request.
	ReasonNoInstance Reason = "no-instance"
	// ReasonNoConfiguration means that the node has no configuration yet.
	ReasonNoConfiguration Reason = "no-configuration"
	// ReasonBadRequest means that a header of the request is malformed, or that its
	// method is CONNECT.
	ReasonBadRequest Reason = "bad-request"
	// ReasonBodyTooLarge means that the body of the request exceeds the configured
	// limit.
	ReasonBodyTooLarge Reason = "body-too-large"
	// ReasonHeadTooLarge means that the head of the request exceeds the limits.
	ReasonHeadTooLarge Reason = "head-too-large"
	// ReasonCrowded means that clients have sent more header lines at the same time than the
	// process has memory for.
	ReasonCrowded Reason = "crowded"
	// ReasonDepth means that the request passed through too many services.
	ReasonDepth Reason = "depth-exceeded"
	// ReasonUnknownKey means that no organisation has the API key of the request.
	ReasonUnknownKey Reason = "unknown-api-key"
	// ReasonQuota means that the organisation's quota is used up.
	ReasonQuota Reason = "quota-exceeded"
	// ReasonQueueFull means that the slots and the queue of the instance were full.
	ReasonQueueFull Reason = "queue-full"
	// ReasonQueueSlow means that the wait at the instance would be many times its usual
	// latency, or too large a share of the time until the latency goal or the deadline.
	ReasonQueueSlow Reason = "queue-slow"
	// ReasonPreempted means that a request of higher priority displaced the request
	// from the queue.
	ReasonPreempted Reason = "preempted"
	// ReasonGoal means that the request could not be served within its latency goal by this
	// instance, or too late to wait for.
	ReasonGoal Reason = "goal-unmet"
	// ReasonDisplaced means that the request gave its place to another one of its priority that
	// needs less work.
	ReasonDisplaced Reason = "displaced"
	// ReasonOverShare means that the request gave its place to another one because its
	// organisation has more than its share.
	ReasonOverShare Reason = "over-share"
	// ReasonDeadline means that the request could not complete in its remaining time.
	ReasonDeadline Reason = "deadline-unmet"
	// ReasonTimeout means that the deadline passed while the request was running.
	ReasonTimeout Reason = "timeout"
	// ReasonConnections means that the upstream's connection limit was reached.
	ReasonConnections Reason = "connection-limit"
	// ReasonRateLimit means that the upstream has said that it accepts no more requests a
	// second.
	ReasonRateLimit Reason = "rate-limited"
	// ReasonCold means that the upstream started recently and bears no more requests a second
	// until it has warmed up.
	ReasonCold Reason = "cold"
	// ReasonEvacuated means that operators have evacuated the failure domain of the instance.
	ReasonEvacuated Reason = "evacuated"
	// ReasonLeaving means that the instance is leaving and accepts no new requests.
	ReasonLeaving Reason = "leaving"
	// ReasonUpstream means that the instance's upstream has not announced itself, or is
	// draining.
	ReasonUpstream Reason = "upstream-unavailable"
	// ReasonShed means that the upstream itself refused the request before any work.
	ReasonShed Reason = "upstream-shed"
	// ReasonConnect means that no connection to the instance could be opened.
	ReasonConnect Reason = "connect-failed"
	// ReasonSend means that the connection broke while the request was being sent.
	ReasonSend Reason = "send-failed"
	// ReasonReset means that the connection broke before the head of the response.
	ReasonReset Reason = "answer-missing"
	// ReasonTruncated means that the response ended before it was complete.
	ReasonTruncated Reason = "answer-truncated"
	// ReasonStalled means that the response made no progress for the stall timeout.
	ReasonStalled Reason = "answer-stalled"
	// ReasonMalformed means that the response was not valid HTTP, or had neither a
	// length nor chunks.
	ReasonMalformed Reason = "answer-malformed"
	// ReasonRetryBudget means that a retry was denied because the service's retry budget
	// was spent.
	ReasonRetryBudget Reason = "retry-budget"
	// ReasonRetriedBelow means that a lower level of the call chain already retried.
	ReasonRetriedBelow Reason = "retried-below"
	// ReasonUpstreamError means that the upstream responded to a repeatable request with
	// 502, 503 or 504, or with 500 on an explicit route.
	ReasonUpstreamError Reason = "upstream-error"
	// ReasonHedge means that a second attempt was sent because the first was slow.
	ReasonHedge Reason = "hedge"
	// ReasonCanceled means that the caller canceled the request or disconnected.
	ReasonCanceled Reason = "caller-canceled"
	// ReasonKeyRunning means that a request with the same idempotency key is still
	// running.
	ReasonKeyRunning Reason = "key-running"
	// ReasonKeyMismatch means that the idempotency key was already used for a different
	// request.
	ReasonKeyMismatch Reason = "key-mismatch"
	// ReasonKeyUnknown means that it is unknown whether an earlier request with the
	// idempotency key ran.
	ReasonKeyUnknown Reason = "key-unknown"
	// ReasonKeyAnswer means that an earlier request with the idempotency key ran, but
	// its response was too large to keep.
	ReasonKeyAnswer Reason = "key-answer-not-kept"
	// ReasonQuarantined means that upstreams ended each time they ran an equal request, which
	// does not run again for some time.
	ReasonQuarantined Reason = "quarantined"
	// ReasonSuspected means that upstreams ended while they ran an equal request, and another
	// such request runs at the instance now.
	ReasonSuspected Reason = "suspected"
	// ReasonWrongInstance means that the instance is not the home instance of the
	// request's key, or does not belong to the request's service.
	ReasonWrongInstance Reason = "wrong-instance"
)

// Unread reports whether the refusing process has not read the head of the request to its end. The
// request has not run then, but the process does not know whether an earlier one with its
// idempotency key has.
func (r Reason) Unread() bool { return r == ReasonHeadTooLarge || r == ReasonCrowded }

// LackOfRoom reports whether a free slot at the instance would have prevented the refusal.
func (r Reason) LackOfRoom() bool {
	switch r {
	case ReasonQueueFull, ReasonQueueSlow, ReasonPreempted, ReasonDeadline, ReasonGoal, ReasonDisplaced, ReasonOverShare:
		return true
	}
	return false
}

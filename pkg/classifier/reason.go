package classifier

// Reason is the typed cause of a refusal, a retry or a failed answer. Each
// reason has a counter of its own in the metrics of a node.
type Reason string

const (
	// ReasonNone stands for an answer without any failure.
	ReasonNone Reason = ""
	// ReasonNoService means that no service of the configuration matches the request.
	ReasonNoService Reason = "no-service"
	// ReasonNoInstance means that no instance of the service can take the request.
	ReasonNoInstance Reason = "no-instance"
	// ReasonNoConfiguration means that the node holds no configuration yet.
	ReasonNoConfiguration Reason = "no-configuration"
	// ReasonBadRequest means that a header of the request could not be understood.
	ReasonBadRequest Reason = "bad-request"
	// ReasonBodyTooLarge means that the body of the request is larger than the configuration allows.
	ReasonBodyTooLarge Reason = "body-too-large"
	// ReasonDepth means that the request passed through too many services.
	ReasonDepth Reason = "depth-exceeded"
	// ReasonQueueFull means that the slots and the queue of the instance were full.
	ReasonQueueFull Reason = "queue-full"
	// ReasonQueueSlow means that the wait at the instance would be many times its usual latency.
	ReasonQueueSlow Reason = "queue-slow"
	// ReasonPreempted means that work of a higher priority took the place in the queue.
	ReasonPreempted Reason = "preempted"
	// ReasonDeadline means that the remaining time was too short to be answered in.
	ReasonDeadline Reason = "deadline-unmet"
	// ReasonTimeout means that the deadline passed while the request was running.
	ReasonTimeout Reason = "timeout"
	// ReasonConnections means that the upstream's connection limit was reached.
	ReasonConnections Reason = "connection-limit"
	// ReasonLeaving means that the instance is leaving and takes no new work.
	ReasonLeaving Reason = "leaving"
	// ReasonUpstream means that the instance's upstream has not announced itself, or drains.
	ReasonUpstream Reason = "upstream-unavailable"
	// ReasonShed means that the upstream itself refused the request before any work.
	ReasonShed Reason = "upstream-shed"
	// ReasonConnect means that no connection to the instance could be opened.
	ReasonConnect Reason = "connect-failed"
	// ReasonSend means that the connection broke while the request was being sent.
	ReasonSend Reason = "send-failed"
	// ReasonReset means that the connection broke before the head of the answer.
	ReasonReset Reason = "answer-missing"
	// ReasonTruncated means that the answer ended before it was whole.
	ReasonTruncated Reason = "answer-truncated"
	// ReasonStalled means that the answer made no progress for the stall timeout.
	ReasonStalled Reason = "answer-stalled"
	// ReasonMalformed means that the answer was not valid HTTP, or had no length.
	ReasonMalformed Reason = "answer-malformed"
	// ReasonRetryBudget means that a retry was due but the service's retry budget was spent.
	ReasonRetryBudget Reason = "retry-budget"
	// ReasonRetriedBelow means that a lower level of the call chain retried already.
	ReasonRetriedBelow Reason = "retried-below"
	// ReasonUpstreamError means that the upstream answered a repeatable request with 502, 503 or 504.
	ReasonUpstreamError Reason = "upstream-error"
	// ReasonHedge means that a second attempt was sent because the first was slow.
	ReasonHedge Reason = "hedge"
	// ReasonCanceled means that the caller went away.
	ReasonCanceled Reason = "caller-canceled"
	// ReasonKeyRunning means that a request with the same idempotency key is still running.
	ReasonKeyRunning Reason = "key-running"
	// ReasonKeyMismatch means that an idempotency key was sent again with another request.
	ReasonKeyMismatch Reason = "key-mismatch"
	// ReasonKeyUnknown means that it cannot be known whether the idempotency key ran before.
	ReasonKeyUnknown Reason = "key-unknown"
	// ReasonKeyAnswer means that the idempotency key ran before, and was answered, but the answer was too large to keep.
	ReasonKeyAnswer Reason = "key-answer-not-kept"
	// ReasonWrongInstance means that the request reached an instance that is not its home or not of its service.
	ReasonWrongInstance Reason = "wrong-instance"
)

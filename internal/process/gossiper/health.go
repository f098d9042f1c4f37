package gossiper

import "time"

const (
	// maxHealthScore bounds how far timeouts grow by lateness.
	maxHealthScore = 8
	// minAckTimeout and maxAckTimeout bound how long a ping waits for its ack
	// before others are asked.
	minAckTimeout = 400 * time.Millisecond
	maxAckTimeout = 2 * time.Second
	// rttShare and deviationShare are the weights of a new round trip in the
	// smoothed round-trip time and in its mean deviation.
	rttShare       = 0.125
	deviationShare = 0.25
	// deviations is how many mean deviations an ack may be late.
	deviations = 4
)

// health is this node's view of how timely it and the network are. Late
// answers and wrong suspicions raise its score; answers in time lower it.
// Timeouts grow with the score and with the round-trip time, so that a loaded
// node does not suspect others for its own lateness.
type health struct {
	score          int
	rtt, deviation time.Duration // Smoothed; 0 before the first ack.
}

func (h *health) worsen()  { h.score = min(h.score+1, maxHealthScore) }
func (h *health) improve() { h.score = max(h.score-1, 0) }

// observe takes the round-trip time of an ack, in time or late.
func (h *health) observe(rtt time.Duration) {
	if h.rtt == 0 {
		h.rtt = rtt
		h.deviation = rtt / 2
		return
	}
	difference := max(rtt-h.rtt, h.rtt-rtt)
	h.deviation += time.Duration(deviationShare * float64(difference-h.deviation))
	h.rtt += time.Duration(rttShare * float64(rtt-h.rtt))
}

// ackTimeout returns how long a ping waits for its ack.
func (h *health) ackTimeout() time.Duration { return h.scale(h.relayTimeout()) }

// relayTimeout returns how long a ping on behalf of another node waits for its
// ack. It does not grow with the score: the other node takes a nack that comes
// late for a fault of its own.
func (h *health) relayTimeout() time.Duration {
	return min(max(minAckTimeout, h.rtt+deviations*h.deviation), maxAckTimeout)
}

// indirectTimeout returns how long others may take to ping a member.
func (h *health) indirectTimeout() time.Duration {
	return max(h.scale(probePeriod-minAckTimeout), 2*h.ackTimeout())
}

// scale returns d grown by the score.
func (h *health) scale(d time.Duration) time.Duration {
	return d * time.Duration(h.score+1)
}

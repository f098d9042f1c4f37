package gossiper

import "time"

const (
	// maxHealthScore limits how far late responses extend timeouts.
	maxHealthScore = 8
	// minAckTimeout and maxAckTimeout bound how long a ping waits for its ack before
	// indirect pings are requested, at a health score of 0.
	minAckTimeout = 400 * time.Millisecond
	maxAckTimeout = 2 * time.Second
	// rttWeight and deviationWeight are the weights of a new sample in the smoothed
	// round-trip time and in its mean deviation.
	rttWeight       = 0.125
	deviationWeight = 0.25
	// deviationFactor is the number of mean deviations added to the ack timeout.
	deviationFactor = 4
)

// health estimates how slow this node and its network are. Late acks, missing nacks and
// refuted suspicions raise the score; acks in time lower it; 0 is healthy. Timeouts grow
// with the score and the round-trip time, so that an overloaded node does not suspect
// others because of its own delay.
type health struct {
	score          int
	rtt, deviation time.Duration // Smoothed; 0 before the first ack.
}

func (h *health) worsen()  { h.score = min(h.score+1, maxHealthScore) }
func (h *health) improve() { h.score = max(h.score-1, 0) }

// observeRTT adds the round-trip time of an ack, in time or late, to the estimate.
func (h *health) observeRTT(rtt time.Duration) {
	if h.rtt == 0 {
		h.rtt = rtt
		h.deviation = rtt / 2
		return
	}
	difference := max(rtt-h.rtt, h.rtt-rtt)
	h.deviation += time.Duration(deviationWeight * float64(difference-h.deviation))
	h.rtt += time.Duration(rttWeight * float64(rtt-h.rtt))
}

// ackTimeout returns how long a ping waits for its ack before indirect pings are
// requested.
func (h *health) ackTimeout() time.Duration { return h.scale(h.relayTimeout()) }

// relayTimeout returns how long a ping on behalf of another node waits for its ack. It
// does not grow with the score, because a late nack raises the score of the other node.
func (h *health) relayTimeout() time.Duration {
	return min(max(minAckTimeout, h.rtt+deviationFactor*h.deviation), maxAckTimeout)
}

// indirectTimeout returns how long this node waits for indirect pings.
func (h *health) indirectTimeout() time.Duration {
	return max(h.scale(probePeriod-minAckTimeout), 2*h.ackTimeout())
}

// scale multiplies d by the health score plus one.
func (h *health) scale(d time.Duration) time.Duration {
	return d * time.Duration(h.score+1)
}

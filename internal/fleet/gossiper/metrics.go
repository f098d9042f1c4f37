package gossiper

import (
	"github.com/uber-go/tally/v4"

	"github.com/banyanscale/banyanscale/internal/wire/gossipwire"
)

// kindTag is the metric tag that holds the kind of a message or an event.
const kindTag = "kind"

// event is a kind of event that is counted. Its value is its name in the metrics.
type event string

const (
	eventJoined         event = "joined"
	eventRestarted      event = "restarted"
	eventLeft           event = "left"
	eventSuspected      event = "suspected"
	eventFailed         event = "failed"
	eventRecovered      event = "recovered"
	eventRefuted        event = "refuted"
	eventDisputed       event = "disputed"
	eventStale          event = "stale-update"
	eventMalformed      event = "malformed"
	eventOverBudget     event = "over-budget"
	eventSendFailed     event = "send-failed"
	eventFrozen         event = "froze"
	eventExchange       event = "exchange"
	eventExchangeFailed event = "exchange-failed"
	eventExpired        event = "forgotten"
)

// metrics counts messages, bytes and events.
type metrics struct {
	scope            tally.Scope
	sentMessages     map[gossipwire.Datagram_Kind]tally.Counter
	sentBytes        tally.Counter
	receivedMessages tally.Counter
	liveMembers      tally.Gauge
	events           map[event]tally.Counter
}

func newMetrics(scope tally.Scope) metrics {
	m := metrics{
		scope:            scope,
		sentMessages:     make(map[gossipwire.Datagram_Kind]tally.Counter),
		sentBytes:        scope.Counter("gossip_sent_bytes"),
		receivedMessages: scope.Counter("gossip_received_messages"),
		liveMembers:      scope.Gauge("gossip_live_members"),
		events:           make(map[event]tally.Counter),
	}
	kinds := map[gossipwire.Datagram_Kind]string{
		gossipwire.Datagram_KIND_PING:         "ping",
		gossipwire.Datagram_KIND_ACK:          "ack",
		gossipwire.Datagram_KIND_PING_REQUEST: "ping-request",
		gossipwire.Datagram_KIND_PUSH:         "push",
		gossipwire.Datagram_KIND_NACK:         "nack",
	}
	for kind, name := range kinds {
		m.sentMessages[kind] = scope.Tagged(map[string]string{kindTag: name}).Counter("gossip_sent_messages")
	}
	for _, e := range []event{
		eventJoined, eventRestarted, eventLeft, eventSuspected, eventFailed, eventRecovered, eventRefuted, eventDisputed,
		eventStale, eventMalformed, eventOverBudget, eventSendFailed, eventFrozen, eventExchange, eventExchangeFailed, eventExpired,
	} {
		m.events[e] = scope.Tagged(map[string]string{kindTag: string(e)}).Counter("gossip_events")
	}
	return m
}

func (m *metrics) count(e event) { m.events[e].Inc(1) }

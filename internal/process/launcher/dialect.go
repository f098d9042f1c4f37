package launcher

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"

	"github.com/banyanscale/banyanscale/internal/connection/limiter"
	"github.com/banyanscale/banyanscale/internal/request/forwarder"
	"github.com/banyanscale/banyanscale/internal/request/server"
)

// Dialect adapts a node to a platform whose protocol differs from the node's own. The
// zero value is the node's own protocol.
type Dialect struct {
	// EchoHeader is the header that the upstream copies from a request to its response;
	// empty for none.
	EchoHeader string
	// UnframedResponses reports whether responses of the upstream may have no length and
	// end with their connection.
	UnframedResponses bool
	// Headers are the headers of callers that identify their organisations.
	Headers forwarder.OrganisationHeaders
	// WrapUpstream wraps the requester that sends requests to the upstream; nil to use it
	// as it is.
	WrapUpstream func(r server.Requester) server.Requester
	// Listeners returns the listeners that the node opens in addition to its own; nil for
	// none.
	Listeners func(n *Node) []ListenerSpec
}

// ListenerSpec describes a listener that a platform needs.
type ListenerSpec struct {
	Address netip.AddrPort
	Handler http.Handler
	// ServesCallers reports whether callers send requests to the listener. Such a listener
	// closes before the others at a planned stop.
	ServesCallers bool
}

// platformListener is a bound listener of the platform.
type platformListener struct {
	listener      *listener
	servesCallers bool
}

// platformListenerSpecs returns what listeners the platform needs.
func (n *Node) platformListenerSpecs() []ListenerSpec {
	if n.dialect.Listeners == nil {
		return nil
	}
	return n.dialect.Listeners(n)
}

// clients returns the kind of clients of the listener.
func (s *ListenerSpec) clients() clientKind {
	if s.ServesCallers {
		return callerClients
	}
	return localClients
}

// bindPlatformListeners binds the listeners of the platform.
func (n *Node) bindPlatformListeners(ctx context.Context, specs []ListenerSpec, clients *clientLimits) ([]platformListener, error) {
	var listeners []platformListener
	for _, spec := range specs {
		limits := limiter.DefaultLimits
		if spec.ServesCallers {
			limits = n.headLimits
		}
		l, err := listen(ctx, spec.Address, spec.Handler, clients.limiter(spec.clients(), limits))
		if err != nil {
			return nil, fmt.Errorf("bind the platform's address %s: %w", spec.Address, err)
		}
		listeners = append(listeners, platformListener{listener: l, servesCallers: spec.ServesCallers})
	}
	return listeners, nil
}

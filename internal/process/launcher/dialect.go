package launcher

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"

	"github.com/banyanscale/banyanscale/internal/request/server"
)

// Dialect is how a platform speaks to a node, where that differs from the
// node's own interface. The zero value is the node's own interface.
type Dialect struct {
	// EchoHeader is the header that an upstream copies from a request to its
	// answer; empty for none.
	EchoHeader string
	// UnframedAnswers tells that answers of the upstream may have no length and
	// end with their connection.
	UnframedAnswers bool
	// Upstream returns a requester that speaks to the upstream by r; nil for r itself.
	Upstream func(r server.Requester) server.Requester
	// Fronts returns the listeners of the node beside its own; nil for none.
	Fronts func(n *Node) []Front
}

// Front is a listener of a platform.
type Front struct {
	Address netip.AddrPort
	Handler http.Handler
	// Callers tells that callers' requests arrive here: it closes before the
	// others at a planned stop.
	Callers bool
}

// openFront is a front that is bound.
type openFront struct {
	listener *listener
	callers  bool
}

// openFronts binds the listeners of the platform.
func (n *Node) openFronts(ctx context.Context) ([]openFront, error) {
	if n.dialect.Fronts == nil {
		return nil, nil
	}
	var fronts []openFront
	for _, f := range n.dialect.Fronts(n) {
		l, err := listen(ctx, f.Address, f.Handler)
		if err != nil {
			return nil, fmt.Errorf("front %s: %w", f.Address, err)
		}
		fronts = append(fronts, openFront{listener: l, callers: f.Callers})
	}
	return fronts, nil
}

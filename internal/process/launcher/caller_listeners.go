package launcher

import (
	"context"
	"sync"
)

// callerListeners returns the listeners that serve callers.
func callerListeners(httpListener *listener, platformListeners []platformListener) []*listener {
	listeners := []*listener{httpListener}
	for _, l := range platformListeners {
		if l.servesCallers {
			listeners = append(listeners, l.listener)
		}
	}
	return listeners
}

// shutDownCallerListeners closes the listeners for callers after their requests ended. All
// requests end by their deadlines, but that may be later than ctx, and a caller may never read
// its response. If requests are open then, those without a response are refused.
func (n *Node) shutDownCallerListeners(ctx context.Context, listeners []*listener) {
	ctx, cancel := context.WithTimeout(ctx, n.longestTimeout()+callerReadMargin)
	defer cancel()
	if n.shutDownAll(ctx, listeners) {
		return
	}
	n.forwarder.ReportOpen()
	n.forwarder.Interrupt()
	refusalCtx, cancelRefusals := context.WithTimeout(context.Background(), refusalTimeout)
	defer cancelRefusals()
	n.shutDownAll(refusalCtx, listeners)
}

// closeCallerListeners waits for the responses that are still being written, up to closeTimeout
// or until ctx ends, and closes all connections.
func (n *Node) closeCallerListeners(ctx context.Context, listeners []*listener) {
	ctx, cancel := context.WithTimeout(ctx, closeTimeout)
	defer cancel()
	if n.shutDownAll(ctx, listeners) {
		return
	}
	n.forwarder.ReportCut()
	for _, l := range listeners {
		_ = l.server.Close() // The listener is closed already.
	}
}

// shutDownAll closes listeners and waits for the requests in flight until ctx ends. It reports
// whether they all ended.
func (n *Node) shutDownAll(ctx context.Context, listeners []*listener) bool {
	errs := make([]error, len(listeners))
	var wg sync.WaitGroup
	for i, l := range listeners {
		wg.Go(func() { errs[i] = l.shutdown(ctx) })
	}
	wg.Wait()
	ended := true
	for i, err := range errs {
		if err != nil {
			ended = false
			n.log.Warn().Err(err).Int("requests", n.forwarder.OpenRequests()).EmbedObject(listeners[i].clients).
				Msg("Connections of callers are still open at the end of the stop.")
		}
	}
	return ended
}

package gossiper

import (
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/banyanscale/banyanscale/internal/fleet/registrar"
	"github.com/banyanscale/banyanscale/internal/wire/controlwire"
)

// maxEvacuationBytes bounds the evacuated failure domains in a message, which must leave room
// for updates.
const maxEvacuationBytes = 420

// errInvalidEvacuation rejects evacuated failure domains from the network.
var errInvalidEvacuation = errors.New("evacuation has no revision or an impossible one, or a name that is empty or too long, or is too large")

// SetEvacuation records the evacuated failure domains and pushes them to random members
// immediately. A revision that is not newer than the last is ignored.
func (g *Gossiper) SetEvacuation(evacuation *controlwire.Evacuation) {
	if err := validateEvacuation(evacuation); err != nil {
		g.log.Error().Err(err).Uint64("revision", evacuation.GetRevision()).Msg("Evacuation not announced.")
		return
	}
	g.adoptEvacuation(evacuation)
}

// ObserveEvacuation adopts the evacuated failure domains of another process if they are
// newer, and passes them to OnEvacuation.
func (g *Gossiper) ObserveEvacuation(evacuation *controlwire.Evacuation) {
	if evacuation == nil {
		return
	}
	if err := validateEvacuation(evacuation); err != nil {
		g.metrics.count(eventMalformed)
		return
	}
	if g.adoptEvacuation(evacuation) && g.cfg.OnEvacuation != nil {
		g.cfg.OnEvacuation(evacuation)
	}
}

// adoptEvacuation reports whether the evacuated failure domains are newer than the last. If
// so, it pushes them to random members.
func (g *Gossiper) adoptEvacuation(evacuation *controlwire.Evacuation) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if evacuation.GetRevision() <= g.evacuation.GetRevision() {
		return false
	}
	g.evacuation = evacuation
	g.versionPushesLeft = versionPushes
	g.push(time.Now())
	return true
}

func validateEvacuation(evacuation *controlwire.Evacuation) error {
	if evacuation.GetRevision() == 0 || evacuation.GetRevision() > registrar.MaxRevisionNumber || proto.Size(evacuation) > maxEvacuationBytes {
		return errInvalidEvacuation
	}
	for _, name := range evacuation.GetFailureDomains() {
		if name == "" || !registrar.ValidName(name) {
			return errInvalidEvacuation
		}
	}
	return nil
}

package publisher_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/banyanscale/banyanscale/internal/fleet/publisher"
	"github.com/banyanscale/banyanscale/internal/fleet/registrar"
	"github.com/banyanscale/banyanscale/internal/version/compiler"
)

func TestSetConfigurationIgnoresOlderVersions(t *testing.T) {
	p := publisher.New()
	for _, tt := range []struct {
		number uint64
		want   bool
	}{{2, true}, {1, false}, {2, false}, {3, true}} {
		accepted := p.SetConfiguration(compiler.NewConfiguration(tt.number, "oaxaca", nil))
		assert.Equal(t, accepted, tt.want, "version %d", tt.number)
		p.SetView(registrar.NewView(nil))
	}
	assert.Equal(t, p.Snapshot().Configuration().Number(), uint64(3))
}

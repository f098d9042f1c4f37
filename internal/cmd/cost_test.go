package cmd

import (
	"bytes"
	"context"
	"net/netip"
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/banyanscale/banyanscale/internal/wire/controlwire"
)

// fakeReader returns the ledger of the worked example in docs/operators/cost.md.
type fakeReader struct{ lastRequest *controlwire.UsageRequest }

func (r *fakeReader) Usage(_ context.Context, _ netip.AddrPort, req *controlwire.UsageRequest) (*controlwire.UsageResponse, error) {
	r.lastRequest = req
	return &controlwire.UsageResponse{Counters: exampleCounters()}, nil
}

// exampleCounters returns the counters of four instances over 1,000 seconds.
func exampleCounters() []*controlwire.UsageCounter {
	return []*controlwire.UsageCounter{
		{
			Instance: "vitrina-1", Incarnation: 1, Owner: "talleres", Service: "vitrina", Slots: 6, UntilUnixMs: 1_000_000,
			BusySlotMs: 2_400_000, IdleSlotMs: 3_540_000, WarmingSlotMs: 60_000, Requests: 20_000, RefusedWhileIdle: 500, Ended: true,
		},
		{
			Instance: "vitrina-2", Incarnation: 1, Owner: "talleres", Service: "vitrina", Slots: 6, UntilUnixMs: 1_000_000,
			BusySlotMs: 3_600_000, IdleSlotMs: 2_340_000, LeavingSlotMs: 60_000, Requests: 30_000, Ended: true,
		},
		{
			Instance: "kwishyura-1", Incarnation: 1, Owner: "isuku", Service: "kwishyura", Slots: 9, UntilUnixMs: 1_000_000,
			BusySlotMs: 2_000_000, IdleSlotMs: 7_000_000, Requests: 10_000, Ended: true,
		},
		{
			Instance: "kwishyura-2", Incarnation: 1, Owner: "isuku", Service: "kwishyura", Slots: 9, UntilUnixMs: 800_000,
			BusySlotMs: 2_000_000, IdleSlotMs: 5_200_000, Requests: 10_000,
		},
		{
			Instance: "kwishyura-2", Incarnation: 900_000, Owner: "isuku", Service: "kwishyura", Slots: 9,
			SinceUnixMs: 900_000, UntilUnixMs: 1_000_000, WarmingSlotMs: 90_000, IdleSlotMs: 810_000, Ended: true,
		},
	}
}

func TestCostPrintsTheWorkedExample(t *testing.T) {
	var out bytes.Buffer
	reader := &fakeReader{}
	assert.NilError(t, printCost(t.Context(), &out, reader, netip.AddrPort{}, 48*time.Hour))
	assert.Equal(t, reader.lastRequest.GetToDay()-reader.lastRequest.GetFromDay(), uint32(2))
	page, err := os.ReadFile("../../docs/operators/cost.md")
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(string(page), out.String()), "docs/operators/cost.md lacks:\n%s", out.String())
}

func TestCostNeedsAnAddress(t *testing.T) {
	var out bytes.Buffer
	assert.Equal(t, Run([]string{"cost"}, &out, &out), exitUsage)
	assert.Equal(t, Run([]string{"cost", "--control", "somewhere"}, &out, &out), exitFailure)
}

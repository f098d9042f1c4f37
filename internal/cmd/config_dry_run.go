package cmd

import (
	"context"
	"fmt"
	"io"

	"github.com/banyanscale/banyanscale/internal/version/compiler"
	"github.com/banyanscale/banyanscale/internal/wire/controlwire"
)

// dryRunClient passes reads on to the control instances but submits nothing. It
// prints what a submission would change instead.
type dryRunClient struct {
	controlClient
	w io.Writer
}

func newDryRunClient(next controlClient, w io.Writer) *dryRunClient {
	return &dryRunClient{controlClient: next, w: w}
}

// Submit prints what req would change at each site. It returns the response that
// the control instances would send if no other change is accepted before.
func (c *dryRunClient) Submit(ctx context.Context, req *controlwire.SubmitRequest) (*controlwire.SubmitResponse, error) {
	current, err := c.Current(ctx)
	if err != nil {
		return nil, fmt.Errorf("read the version in force: %w", err)
	}
	number := current.GetDigest().GetNumber()
	if number != req.GetReplaces() {
		return &controlwire.SubmitResponse{
			Result: controlwire.SubmitResult_SUBMIT_RESULT_CONFLICT,
			Winner: c.winner(ctx, req.GetReplaces()),
		}, nil
	}
	printEffects(c.w, number, compiler.Effects(current.GetDocument(), req.GetDocument()))
	return &controlwire.SubmitResponse{Result: controlwire.SubmitResult_SUBMIT_RESULT_ACCEPTED, Version: number + 1}, nil
}

// winner returns the change that replaced a version, or nil if the history lacks it.
func (c *dryRunClient) winner(ctx context.Context, replaced uint64) *controlwire.HistoryEntry {
	entries, err := c.History(ctx, 0)
	if err != nil {
		return nil
	}
	for _, e := range entries {
		if e.GetNumber() == replaced+1 {
			return e
		}
	}
	return nil
}

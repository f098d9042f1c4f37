// Package injector provides a TCP proxy that injects network faults: it delays
// bytes, resets connections, and drops the bytes of one or both directions.
//
// # Usage
//
//	i := injector.New(injector.Spec{Target: addr, Seed: 7, PassPercent: 60})
//	err := i.Serve(ctx, listener)
//
// One mode applies to all connections at a time and changes after a random time.
// The seed determines the sequence of modes and their durations.
package injector

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// Mode is a way in which the proxy treats connections.
type Mode int32

const (
	// Pass forwards all bytes.
	Pass Mode = iota
	// Delay forwards each chunk after chunkDelay.
	Delay
	// Reset resets open and new connections.
	Reset
	// DropResponses forwards bytes to the target and drops those from it.
	DropResponses
	// Blackhole drops all bytes and keeps connections open until the mode is Pass.
	Blackhole
	// modeCount is the number of modes, not a mode itself.
	modeCount
)

const (
	// minModeDuration and maxModeDuration bound the duration of one mode.
	minModeDuration = 200 * time.Millisecond
	maxModeDuration = 1500 * time.Millisecond
	// chunkDelay is how long Delay holds back each chunk.
	chunkDelay = 40 * time.Millisecond
	// pollInterval is how often an idle connection checks the mode.
	pollInterval = 20 * time.Millisecond
	chunkSize    = 16 << 10
	fullPercent  = 100
)

// Spec lists the settings of an Injector.
type Spec struct {
	// Target is the address that connections are forwarded to.
	Target string
	// Seed determines the sequence of modes.
	Seed uint64
	// PassPercent is the share of the modes that are Pass, in percent.
	PassPercent int
}

// Injector is a TCP proxy that injects faults.
type Injector struct {
	spec Spec
	mode atomic.Int32
	wg   sync.WaitGroup
}

// New returns a proxy in mode Pass.
func New(spec Spec) *Injector { return &Injector{spec: spec} }

// SetMode sets the mode of all connections.
func (i *Injector) SetMode(m Mode) { i.mode.Store(int32(m)) }

func (i *Injector) current() Mode { return Mode(i.mode.Load()) }

// Serve forwards the connections of l to the target until ctx ends, and changes
// the mode at random times.
func (i *Injector) Serve(ctx context.Context, l net.Listener) error {
	defer i.wg.Wait()
	i.wg.Go(func() { i.changeModes(ctx) })
	stop := context.AfterFunc(ctx, func() { l.Close() })
	defer stop()
	for {
		conn, err := l.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return fmt.Errorf("accept: %w", err)
		}
		i.wg.Go(func() { i.forward(ctx, conn) })
	}
}

func (i *Injector) changeModes(ctx context.Context) {
	rng := rand.New(rand.NewPCG(i.spec.Seed, 1))
	for ctx.Err() == nil {
		mode := Pass
		if rng.IntN(fullPercent) >= i.spec.PassPercent {
			mode = 1 + Mode(rng.IntN(int(modeCount)-1))
		}
		i.SetMode(mode)
		sleep(ctx, minModeDuration+time.Duration(rng.Int64N(int64(maxModeDuration-minModeDuration))))
	}
}

// forward copies between one caller and the target until either side ends.
func (i *Injector) forward(ctx context.Context, caller net.Conn) {
	defer caller.Close()
	target, err := (&net.Dialer{}).DialContext(ctx, "tcp", i.spec.Target)
	if err != nil {
		resetOnClose(caller) // As if the caller had been refused by the target itself.
		return
	}
	defer target.Close()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { caller.Close(); target.Close() })
	defer stop()
	var copiers sync.WaitGroup
	copiers.Go(func() { i.copyOneWay(ctx, target, caller, false); cancel() })
	copiers.Go(func() { i.copyOneWay(ctx, caller, target, true); cancel() })
	copiers.Wait()
}

// copyOneWay copies the bytes of one direction as the mode demands. The flag
// responses marks the direction from the target to the caller.
func (i *Injector) copyOneWay(ctx context.Context, to, from net.Conn, responses bool) {
	chunk := make([]byte, chunkSize)
	for ctx.Err() == nil {
		// If this fails, the read fails as well.
		_ = from.SetReadDeadline(time.Now().Add(pollInterval))
		n, err := from.Read(chunk)
		mode := i.current()
		if mode == Reset {
			resetOnClose(to)
			resetOnClose(from)
			return
		}
		if n > 0 && !drops(mode, responses) {
			if mode == Delay {
				sleep(ctx, chunkDelay)
			}
			if _, err := to.Write(chunk[:n]); err != nil {
				return
			}
		} else if n > 0 {
			i.waitForPass(ctx)
			return // Bytes were dropped: no later ones may be forwarded.
		}
		if err != nil && !isTimeout(err) {
			closeWriteOnEOF(to, err)
			return
		}
	}
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

// closeWriteOnEOF closes the write side of to if reading ended with EOF.
func closeWriteOnEOF(to net.Conn, err error) {
	if tcp, ok := to.(*net.TCPConn); ok && errors.Is(err, io.EOF) {
		_ = tcp.CloseWrite() // Fails only if the connection has already ended.
	}
}

// resetOnClose makes a later close of the connection send a reset.
func resetOnClose(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // On failure, the connection closes without a reset.
	}
}

// drops reports whether mode m drops the bytes of a direction.
func drops(m Mode, responses bool) bool { return m == Blackhole || m == DropResponses && responses }

// waitForPass waits until the mode is Pass. A connection that lost bytes stays
// open until then.
func (i *Injector) waitForPass(ctx context.Context) {
	for ctx.Err() == nil && i.current() != Pass {
		sleep(ctx, pollInterval)
	}
}

func sleep(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// Package disturber is a proxy for TCP connections that spoils them: it delays
// bytes, resets connections, and swallows what goes one way or both ways.
//
// # Usage
//
//	d := disturber.New(disturber.Spec{Target: addr, Seed: 7, Calm: 60})
//	err := d.Serve(ctx, listener)
//
// One mood holds for all connections at a time and changes after a random time.
// The seed decides the moods and how long they last.
package disturber

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

// Mood is what the proxy does to connections for a while.
type Mood int32

const (
	// Pass hands on all bytes.
	Pass Mood = iota
	// Delay hands on each piece after delayTime.
	Delay
	// Reset resets connections, old and new.
	Reset
	// SwallowAnswers hands on what goes to the target and nothing of what comes back.
	SwallowAnswers
	// Silence hands on nothing, and keeps connections open.
	Silence
	moods
)

const (
	// minMood and maxMood bound how long one mood holds.
	minMood = 200 * time.Millisecond
	maxMood = 1500 * time.Millisecond
	// delayTime is for how long Delay holds back one piece.
	delayTime = 40 * time.Millisecond
	// pollInterval is how often a connection without bytes looks at the mood.
	pollInterval = 20 * time.Millisecond
	pieceSize    = 16 << 10
	fullPercent  = 100
)

// Spec lists the settings of a Disturber.
type Spec struct {
	// Target is where connections are handed on to.
	Target string
	// Seed decides the moods.
	Seed uint64
	// Calm is the share of the moods that are Pass, in percent.
	Calm int
}

// Disturber is one proxy.
type Disturber struct {
	spec Spec
	mood atomic.Int32
	wg   sync.WaitGroup
}

// New returns a proxy that begins in mood Pass.
func New(spec Spec) *Disturber { return &Disturber{spec: spec} }

// Set sets the mood.
func (d *Disturber) Set(m Mood) { d.mood.Store(int32(m)) }

func (d *Disturber) current() Mood { return Mood(d.mood.Load()) }

// Serve hands on the connections of a listener until ctx ends, and changes moods.
func (d *Disturber) Serve(ctx context.Context, l net.Listener) error {
	defer d.wg.Wait()
	d.wg.Go(func() { d.changeMoods(ctx) })
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
		d.wg.Go(func() { d.handOn(ctx, conn) })
	}
}

func (d *Disturber) changeMoods(ctx context.Context) {
	random := rand.New(rand.NewPCG(d.spec.Seed, 1))
	for ctx.Err() == nil {
		mood := Pass
		if random.IntN(fullPercent) >= d.spec.Calm {
			mood = 1 + Mood(random.IntN(int(moods)-1))
		}
		d.Set(mood)
		sleep(ctx, minMood+time.Duration(random.Int64N(int64(maxMood-minMood))))
	}
}

// handOn connects one caller to the target until either side ends.
func (d *Disturber) handOn(ctx context.Context, caller net.Conn) {
	defer caller.Close()
	target, err := (&net.Dialer{}).DialContext(ctx, "tcp", d.spec.Target)
	if err != nil {
		endByReset(caller) // The caller sees what it would have seen itself.
		return
	}
	defer target.Close()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { caller.Close(); target.Close() })
	defer stop()
	var pumps sync.WaitGroup
	pumps.Go(func() { d.pump(ctx, target, caller, false); cancel() })
	pumps.Go(func() { d.pump(ctx, caller, target, true); cancel() })
	pumps.Wait()
}

// pump moves bytes one way as the mood wants it.
func (d *Disturber) pump(ctx context.Context, to, from net.Conn, answers bool) {
	piece := make([]byte, pieceSize)
	for ctx.Err() == nil {
		// On failure the read fails too.
		_ = from.SetReadDeadline(time.Now().Add(pollInterval))
		n, err := from.Read(piece)
		mood := d.current()
		if mood == Reset {
			endByReset(to)
			endByReset(from)
			return
		}
		if n > 0 && !swallows(mood, answers) {
			if mood == Delay {
				sleep(ctx, delayTime)
			}
			if _, err := to.Write(piece[:n]); err != nil {
				return
			}
		} else if n > 0 {
			d.silence(ctx)
			return // What was swallowed is missing: nothing may follow it.
		}
		if err != nil && !timedOut(err) {
			passEnd(to, err)
			return
		}
	}
}

func timedOut(err error) bool {
	var network net.Error
	return errors.As(err, &network) && network.Timeout()
}

// passEnd tells the other side that this one has sent all, if it has.
func passEnd(to net.Conn, err error) {
	if tcp, ok := to.(*net.TCPConn); ok && errors.Is(err, io.EOF) {
		_ = tcp.CloseWrite() // On failure it ended already.
	}
}

// endByReset has a connection reset when it is closed.
func endByReset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // On failure it is closed in order.
	}
}

func swallows(m Mood, answers bool) bool { return m == Silence || m == SwallowAnswers && answers }

// silence keeps a connection open from which bytes are missing until the mood
// is calm, when it ends.
func (d *Disturber) silence(ctx context.Context) {
	for ctx.Err() == nil && d.current() != Pass {
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

package main

import (
	"fmt"
	"time"
)

// playStart starts the whole system for the first time. With the disruption the process of one of the
// three control machines is killed once, a moment after its start, and started again.
func playStart(rec *recorder, trouble bool) error {
	const (
		served      = 60 * time.Second // The time in which the system has to begin to serve.
		startSpread = 250 * time.Millisecond
		restart     = 500 * time.Millisecond
	)
	f, err := newFleet(rec, map[string]int{"balance": 3, "pay": 3}, []string{"balance", "pay"})
	if err != nil {
		return err
	}
	defer f.close()
	// All machines start within 0.3 s; the last of the core machines is the first to start.
	last := f.core[len(f.core)-1]
	if err := f.start(last, true); err != nil {
		return err
	}
	time.Sleep(startSpread / 2)
	if trouble {
		f.kill(last)
	}
	time.Sleep(startSpread / 2)
	for _, m := range append(f.core[:len(f.core)-1:len(f.core)-1], f.side...) {
		if err := f.startTarget(m); err != nil {
			return err
		}
		if err := f.start(m, true); err != nil {
			return err
		}
	}
	if trouble {
		time.Sleep(restart)
		if err := f.start(last, false); err != nil {
			return err
		}
	}
	deadline := time.Now().Add(served)
	acknowledged := f.order("/-/Config.Replace", 0, firstConfiguration(1), served)
	ok, sent := 0, 0
	for first := true; first || time.Now().Before(deadline) && ok == 0; first = false {
		for _, m := range f.side {
			sent++
			_, a := f.request(m, "GET", balanceHost, balancePath+"x", 1200*time.Millisecond)
			if a.status == 200 && validSignature(a.signature, a.body) {
				ok++
			}
		}
		time.Sleep(500 * time.Millisecond)
	}
	rec.add("the first configuration: %v; %d of %d requests served", acknowledged, ok, sent)
	if ok == 0 {
		return fmt.Errorf("%w: no request was served within %v of the start, and the first configuration was not acknowledged (%v)", errBroken, served, acknowledged)
	}
	return nil
}

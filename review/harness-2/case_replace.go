package main

import (
	"fmt"
	"os"
	"strconv"
	"syscall"
	"time"
)

// playReplace replaces two of the three control machines as planned, one after the other. The new ones
// have run for longer than CatchUpS when the first old one gets SIGTERM. The second one gets it once the
// process of the first has ended.
func playReplace(rec *recorder, trouble bool) error {
	const (
		caughtUp = 10 * time.Second // CatchUpS is 4 s.
		recovery = 45 * time.Second // RecoveryS is 15 s.
	)
	f, err := newFleet(rec, map[string]int{"balance": 2, "pay": 2}, []string{"balance", "pay"})
	if err != nil {
		return err
	}
	defer f.close()
	if err := f.startAll(); err != nil {
		return err
	}
	if a := f.order("/-/Config.Replace", 0, firstConfiguration(1), 30*time.Second); a.status != 200 {
		return fmt.Errorf("the first configuration: %v", a)
	}
	time.Sleep(3 * time.Second)
	stays, old := f.core[0], f.core[1:]
	var added []*machine
	for i, m := range old {
		n := &machine{name: fmt.Sprintf("core-%s-2", m.zone), ip: f.spareIPs[i], zone: m.zone}
		if err := f.start(n, false); err != nil {
			return err
		}
		added = append(added, n)
	}
	time.Sleep(caughtUp)
	if a := f.order("/-/Config.Replace", 1, firstConfiguration(2), 10*time.Second); a.status != 200 {
		return fmt.Errorf("the second configuration: %v", a)
	}
	if trouble {
		f.stopInTurn(old)
		f.core = append([]*machine{stays}, added...)
	}
	cfg, a := f.read(recovery)
	if cfg == nil {
		return fmt.Errorf("%w: the acknowledged configuration 00000002 doesn't come within %v: %v", errBroken, recovery, a)
	}
	if cfg["Version"] != "00000002" {
		return fmt.Errorf("%w: version %v is read back, 00000002 was acknowledged", errBroken, cfg["Version"])
	}
	return nil
}

// stopInTurn stops the processes of machines as planned, for good. PAUSE_MS is the time from the end of
// one to the stop of the next.
func (f *fleet) stopInTurn(machines []*machine) {
	const grace = 6 * time.Second
	pause, _ := strconv.Atoi(os.Getenv("PAUSE_MS"))
	for i, m := range machines {
		if i > 0 {
			time.Sleep(time.Duration(pause) * time.Millisecond)
		}
		f.rec.add("SIGTERM to the process of %s, which is removed", m.name)
		_ = m.process.cmd.Process.Signal(syscall.SIGTERM)
		select {
		case <-m.process.ended:
		case <-time.After(grace):
			f.kill(m)
		}
	}
}

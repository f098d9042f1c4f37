package main

import (
	"fmt"
	"os"
	"strconv"
	"syscall"
	"time"
)

// playReplace replaces a control machine as planned: the new one has run for longer than CatchUpS when
// the old one gets SIGTERM, ends and is removed. Then another machine loses its disk.
func playReplace(rec *recorder, trouble bool) error {
	const (
		caughtUp = 10 * time.Second // CatchUpS is 4 s.
		grace    = 6 * time.Second
		dark     = time.Second
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
	lost, old := f.core[0], f.core[2]
	added := &machine{name: "core-kgl-c-2", ip: f.spareIP, zone: old.zone}
	if err := f.start(added, false); err != nil {
		return err
	}
	time.Sleep(caughtUp)
	if a := f.order("/-/Config.Replace", 1, firstConfiguration(2), 10*time.Second); a.status != 200 {
		return fmt.Errorf("the second configuration: %v", a)
	}
	if trouble {
		rec.add("SIGTERM to the process of %s, which is removed", old.name)
		_ = old.process.cmd.Process.Signal(syscall.SIGTERM)
		select {
		case <-old.process.ended:
		case <-time.After(grace):
			f.kill(old)
		}
		f.core = []*machine{lost, f.core[1], added}
		time.Sleep(pauseBeforeLoss())
		f.kill(lost)
		rec.add("the disk of %s is lost", lost.name)
		if err := os.RemoveAll(f.dataDir(lost)); err != nil {
			return err
		}
		time.Sleep(dark)
		if err := f.start(lost, false); err != nil {
			return err
		}
	}
	cfg, a := f.read(recovery)
	if cfg == nil {
		return fmt.Errorf("%w: the acknowledged configuration 00000002 doesn't come for %v after all machines are back: %v", errBroken, recovery, a)
	}
	if cfg["Version"] != "00000002" {
		return fmt.Errorf("%w: version %v is read back, 00000002 was acknowledged", errBroken, cfg["Version"])
	}
	return nil
}

// pauseBeforeLoss returns the time from the end of the old machine until the disk is lost: PAUSE_MS, or
// one second.
func pauseBeforeLoss() time.Duration {
	if ms, err := strconv.Atoi(os.Getenv("PAUSE_MS")); err == nil {
		return time.Duration(ms) * time.Millisecond
	}
	return time.Second
}

package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// bigRoutes is the largest dose of big_config on our pages.
	bigRoutes = 1400
	// manyChanges is the number of changes after that.
	manyChanges = 700
	// changeGap is the least time between two changes.
	changeGap = 80 * time.Millisecond
	// maxEnds is how often the process of a machine may end by itself: three times are a fault.
	maxEnds = 2
)

// playMemory sends hundreds of changes, with the disruption after the configuration has grown by many
// routes. The platform kills and restarts each process that uses more than its machine's MemoryMb.
func playMemory(rec *recorder, trouble bool) error {
	f, err := newFleet(rec, map[string]int{"balance": 3, "pay": 3}, []string{"balance", "pay"})
	if err != nil {
		return err
	}
	defer f.close()
	if err := f.startAll(); err != nil {
		return err
	}
	routes := 0
	if a := f.order("/-/Config.Replace", 0, grownConfiguration(1, routes), 30*time.Second); a.status != 200 {
		return fmt.Errorf("the first configuration: %v", a)
	}
	time.Sleep(3 * time.Second)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	guard := &memoryGuard{fleet: f, ends: make(map[string]int), most: make(map[string]int)}
	wg.Go(func() { guard.run(stop) })
	ok, sent := 0, 0
	wg.Go(func() { ok, sent = f.lightTraffic(stop) })
	if trouble {
		routes = bigRoutes
	}
	changes, err := f.changeOften(routes, 100*time.Second)
	close(stop)
	wg.Wait()
	guard.restarting.Wait()
	rec.add("%d changes acknowledged, %d of %d requests served", changes, ok, sent)
	for _, m := range f.all() {
		rec.add("%s: at most %d KiB, ended by itself %d times", m.name, guard.most[m.name], guard.ends[m.name])
	}
	if err != nil {
		return err
	}
	often := 0
	for _, n := range guard.ends {
		if n > maxEnds {
			often++
		}
	}
	if often >= max(2, len(f.all())/10) {
		return fmt.Errorf("%w: within %d changes the processes of %d of %d machines ended three times or more, as they used more memory than MemoryMb (%v)",
			errBroken, changes, often, len(f.all()), guard.ends)
	}
	return nil
}

func (f *fleet) all() []*machine { return append(f.core[:len(f.core):len(f.core)], f.side...) }

// changeOften replaces the configuration again and again. Each version has other time-outs.
func (f *fleet) changeOften(routes int, timeout time.Duration) (int, error) {
	deadline := time.Now().Add(timeout)
	base := uint64(1)
	for n := range manyChanges {
		next := time.Now().Add(changeGap)
		a := f.order("/-/Config.Replace", base, grownConfiguration(base+1, routes), time.Until(deadline))
		if time.Now().After(deadline) {
			return n, nil
		}
		if a.status != 200 {
			return n, fmt.Errorf("change %d: %v", n, a)
		}
		base++
		time.Sleep(time.Until(next))
	}
	return manyChanges, nil
}

// grownConfiguration returns a configuration with more routes, whose time-outs and objectives depend
// on the version.
func grownConfiguration(version uint64, more int) []byte {
	change := func(r object) object {
		r["TimeoutS"] = 1.2 + float64(version)/1000
		r["LatencySloS"] = 0.5 + float64(version)/1000
		return r
	}
	paths := []object{change(route("r-balance", balancePath, "safe", "balance"))}
	for i := range more {
		paths = append(paths, change(route(fmt.Sprintf("r-more-%d", i), fmt.Sprintf("/more%d/", i), "safe", "balance")))
	}
	return encode(object{
		"Version":  fmt.Sprintf("%08x", version),
		"Services": []object{service("balance"), service("pay")},
		"Limits":   object{"MaxHeaderBytes": 16384, "MaxBodyBytes": 67108864, "HeaderTimeoutS": 3, "IdleTimeoutS": 15},
		"VirtualHosts": []object{
			{"Host": balanceHost, "Paths": paths},
			{"Host": payHost, "Paths": []object{change(route("r-pay", payPath, "non_idempotent", "pay"))}},
		},
	})
}

// lightTraffic sends a few requests a second until stop is closed.
func (f *fleet) lightTraffic(stop <-chan struct{}) (ok, sent int) {
	for i := 0; ; i++ {
		select {
		case <-stop:
			return ok, sent
		case <-time.After(100 * time.Millisecond):
		}
		sent++
		_, a := f.request(f.side[i%len(f.side)], "GET", balanceHost, balancePath+"x", 1200*time.Millisecond)
		if a.status == 200 {
			ok++
		}
	}
}

// memoryGuard kills the processes that use more memory than their machines have, and restarts them.
type memoryGuard struct {
	fleet      *fleet
	ends, most map[string]int // By machine: the kills, and the most memory in KiB.
	restarting sync.WaitGroup

	mu   sync.Mutex
	down map[*machine]bool
}

func (g *memoryGuard) run(stop <-chan struct{}) {
	g.down = make(map[*machine]bool)
	for {
		select {
		case <-stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
		for _, m := range g.fleet.all() {
			g.check(m)
		}
	}
}

func (g *memoryGuard) check(m *machine) {
	g.mu.Lock()
	down := g.down[m]
	g.mu.Unlock()
	if down {
		return
	}
	limitMb := 284
	if m.service == "" {
		limitMb = 280
	}
	used := residentKiB(m)
	g.most[m.name] = max(g.most[m.name], used)
	if used <= limitMb<<10 {
		return
	}
	g.ends[m.name]++
	g.fleet.rec.add("%s uses %d KiB, more than MemoryMb = %d", m.name, used, limitMb)
	g.fleet.kill(m)
	g.mu.Lock()
	g.down[m] = true
	g.mu.Unlock()
	g.restarting.Go(func() {
		time.Sleep(500 * time.Millisecond)
		if err := g.fleet.start(m, false); err != nil {
			g.fleet.rec.add("could not restart %s: %v", m.name, err)
		}
		g.mu.Lock()
		delete(g.down, m)
		g.mu.Unlock()
	})
}

// residentKiB returns the resident memory of the process of a machine.
func residentKiB(m *machine) int {
	data, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", m.process.cmd.Process.Pid))
	for _, line := range strings.Split(string(data), "\n") {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "VmRSS:" {
			n, _ := strconv.Atoi(fields[1])
			return n
		}
	}
	return 0
}

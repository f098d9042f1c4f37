package main

import (
	"fmt"
	"time"
)

// playVersion sends, with the disruption, a change whose Version is not above the current one: zero.
func playVersion(rec *recorder, trouble bool) error {
	f, err := newFleet(rec, map[string]int{"balance": 2, "pay": 2}, []string{"balance", "pay"})
	if err != nil {
		return err
	}
	defer f.close()
	if err := f.startAll(); err != nil {
		return err
	}
	const current = 5
	if a := f.order("/-/Config.Replace", 0, firstConfiguration(current), 30*time.Second); a.status != 200 {
		return fmt.Errorf("the first configuration: %v", a)
	}
	time.Sleep(3 * time.Second)
	if err := f.expectService("balance"); err != nil {
		return err
	}
	broken := false
	if trouble {
		// An update that moves a route, complete but for its version number.
		invalid := encode(object{
			"Version": "00000000",
			"Upsert": object{"VirtualHosts": []object{
				{"Host": balanceHost, "Paths": []object{route("r-balance", balancePath, "safe", "pay")}},
			}},
		})
		a := f.order("/-/Config.Update", current, invalid, 10*time.Second)
		rec.add("the invalid configuration: %v", a)
		broken = a.status == 200
	}
	time.Sleep(3 * time.Second)
	cfg, _ := f.read(5 * time.Second)
	if cfg == nil {
		return fmt.Errorf("the configuration could not be read")
	}
	inForce := f.expectService("balance")
	if broken || cfg["Version"] != fmt.Sprintf("%08x", current) || inForce != nil {
		return fmt.Errorf("%w: a configuration with Version 00000000 on top of %08x: acknowledged %v, version read %v, in force: %v",
			errBroken, current, broken, cfg["Version"], inForce)
	}
	return nil
}

// expectService returns an error unless requests on the balance route run at targets of a service.
func (f *fleet) expectService(name string) error {
	for _, m := range f.side {
		id, a := f.request(m, "GET", balanceHost, balancePath+"x", 1200*time.Millisecond)
		if a.status != 200 {
			return fmt.Errorf("a request on the balance route: %v", a)
		}
		for _, other := range f.side {
			for _, r := range other.target.runsOf(id) {
				if r.service != name {
					return fmt.Errorf("request %s was run by service %s", id, r.service)
				}
			}
		}
	}
	return nil
}

// runsOf returns the runs of a request at the target.
func (t *target) runsOf(id string) []run {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []run
	for _, r := range t.runs {
		if r.id == id {
			list = append(list, r)
		}
	}
	return list
}

package main

import (
	"encoding/json"
	"fmt"
	"time"
)

// playHost sends, with the disruption, a complete configuration that has a second entry of hosts, whose
// Host is empty and which has no routes.
func playHost(rec *recorder, trouble bool) error {
	f, err := newFleet(rec, map[string]int{"balance": 2, "pay": 2}, []string{"balance", "pay"})
	if err != nil {
		return err
	}
	defer f.close()
	if err := f.startAll(); err != nil {
		return err
	}
	const current, next = 5, 7
	if a := f.order("/-/Config.Replace", 0, firstConfiguration(current), 30*time.Second); a.status != 200 {
		return fmt.Errorf("the first configuration: %v", a)
	}
	time.Sleep(3 * time.Second)
	if err := f.expectService("balance"); err != nil {
		return err
	}
	if !trouble {
		return nil
	}
	var cfg object
	if err := json.Unmarshal(firstConfiguration(next), &cfg); err != nil {
		return err
	}
	cfg["VirtualHosts"] = append(cfg["VirtualHosts"].([]any), object{"Host": "", "Paths": []object{}})
	a := f.order("/-/Config.Replace", current, encode(cfg), 10*time.Second)
	read, _ := f.read(5 * time.Second)
	if read == nil {
		return fmt.Errorf("the configuration could not be read")
	}
	if a.status == 200 || read["Version"] != fmt.Sprintf("%08x", current) {
		return fmt.Errorf("%w: a configuration with an empty Host: %v, version read %v", errBroken, a, read["Version"])
	}
	return nil
}

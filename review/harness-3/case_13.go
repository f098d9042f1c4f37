package main

import (
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"time"
)

func init() { cases["13"] = tenantOfKeyedRequest }

const (
	transferHost = "kse.example"
	tenantName   = "sellers"
	tenantKey    = "key-of-sellers"
	transfers    = 24
	// keyMargin is the time after a change of the fleet from which on the product takes keys that
	// were issued since.
	keyMargin = 13 * time.Second
)

// tenantOfKeyedRequest sends transfers of a tenant with an Idempotency-Key before and after a target
// is added to the service. Without the trouble no target is added.
func tenantOfKeyedRequest(f *fleet, trouble bool) ([]string, error) {
	const service, other = "marketplace", "venue-data"
	if err := f.start(service, other); err != nil {
		return nil, err
	}
	for i, m := range f.nodes() {
		if _, err := f.startTarget(m, fmt.Sprintf("i-%d", i+1)); err != nil {
			return nil, err
		}
	}
	route := newRoute("r-transfer", "/transfers/", "non_idempotent", service)
	route.TimeoutS, route.LatencySloS = 6, 0.8
	cfg := newConfig("00000001", transferHost, []string{service, other}, route)
	cfg.Tenants = []tenantConfig{{Name: tenantName, ApiKeys: []string{tenantKey}}}
	if status, err := f.order("/-/Config.Replace", "00000000", cfg); err != nil || status != 200 {
		return nil, fmt.Errorf("configuration: status %d, %w", status, err)
	}
	if err := f.awaitReady(); err != nil {
		return nil, err
	}
	time.Sleep(keyMargin)
	entry := f.nodes()[0]
	if n, wrong := f.transfer(entry); n < transfers || wrong != 0 {
		return nil, fmt.Errorf("before the target is added, %d transfers run, %d with another tenant", n, wrong)
	}
	if trouble {
		added := f.addMachine("node", service)
		if err := added.start(); err != nil {
			return nil, err
		}
		if _, err := f.startTarget(added, "i-added"); err != nil {
			return nil, err
		}
	}
	if err := f.awaitReady(); err != nil {
		return nil, err
	}
	time.Sleep(keyMargin)
	n, wrong := f.transfer(entry)
	f.rec.notef("%d of %d transfers ran, %d with another tenant", n, transfers, wrong)
	if wrong == 0 {
		return nil, nil
	}
	return []string{fmt.Sprintf("UNASKED: %d of %d transfers run with a Tenant-Id that isn't the tenant that holds the client's key", wrong, n)}, nil
}

// transfer sends transfers to a machine. It returns how many a target ran, and how many of those had
// another tenant than that of the client's key.
func (f *fleet) transfer(entry *machine) (run, wrong int) {
	for i := range transfers {
		res := entry.send(request{
			method: "POST", host: transferHost, uri: fmt.Sprintf("/transfers/%d", i), deadline: 6 * time.Second, body: []byte("seat"),
			header: map[string]string{"X-Api-Key": tenantKey, "Idempotency-Key": newKey()},
		})
		for _, a := range f.runs()[res.id] {
			run++
			if tenant := a.header.Get("Tenant-Id"); tenant != tenantName {
				wrong++
				f.rec.notef("%s runs with Tenant-Id %q at %s", res.id, tenant, a.target)
			}
		}
	}
	return run, wrong
}

// newKey returns a UUID of version 7 (RFC 9562).
func newKey() string {
	var b [16]byte
	for i := range b {
		b[i] = byte(rand.Uint32())
	}
	ms := time.Now().UnixMilli()
	for i := range 6 {
		b[i] = byte(ms >> (40 - 8*i))
	}
	b[6], b[8] = b[6]&0x0f|0x70, b[8]&0x3f|0x80
	s := hex.EncodeToString(b[:])
	return s[:8] + "-" + s[8:12] + "-" + s[12:16] + "-" + s[16:20] + "-" + s[20:]
}

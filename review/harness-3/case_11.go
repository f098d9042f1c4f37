package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

func init() { cases["11"] = answersOfKeys }

// Both parties of a transfer confirm it, each at the host of its side and with the key of its tenant.
const (
	sellersHost   = "sellers.kse.example"
	buyersHost    = "buyers.kse.example"
	confirmations = 12
)

// party is one client of the case.
type party struct {
	tenant, apiKey, host, service string
	entry                         *machine
}

// answersOfKeys lets two tenants confirm the same transfers, with the id of the transfer as the
// Idempotency-Key, before and after a change that moves the route of one of them to the service of
// the other. Without the trouble the configuration stays as it is.
func answersOfKeys(f *fleet, trouble bool) ([]string, error) {
	const marketplace, venueData = "marketplace", "venue-data"
	if err := f.start(marketplace, venueData); err != nil {
		return nil, err
	}
	for i, m := range f.nodes() {
		t, err := f.startTarget(m, fmt.Sprintf("i-%d", i+1))
		if err != nil {
			return nil, err
		}
		t.handle = confirm
	}
	seller := party{"sellers", "key-of-sellers", sellersHost, marketplace, f.nodes()[0]}
	buyer := party{"buyers", "key-of-buyers", buyersHost, venueData, f.nodes()[1]}
	cfg := partyConfig("00000001", seller, buyer)
	if status, err := f.order("/-/Config.Replace", "00000000", cfg); err != nil || status != 200 {
		return nil, fmt.Errorf("configuration: status %d, %w", status, err)
	}
	if err := f.awaitReady(); err != nil {
		return nil, err
	}
	time.Sleep(keyMargin)
	if own, foreign := f.confirmAll(seller, buyer); own < 2*confirmations || foreign > 0 {
		return nil, fmt.Errorf("before the change, %d own answers and %d foreign ones", own, foreign)
	}
	if trouble {
		buyer.service = marketplace
		if status, err := f.order("/-/Config.Replace", "00000001", partyConfig("00000002", seller, buyer)); err != nil || status != 200 {
			return nil, fmt.Errorf("change: status %d, %w", status, err)
		}
	}
	time.Sleep(configDeadline + contactTime)
	own, foreign := f.confirmAll(seller, buyer)
	f.rec.notef("%d of %d confirmations got their own answer, %d that of the other tenant's request", own, 2*confirmations, foreign)
	if foreign == 0 {
		return nil, nil
	}
	return []string{fmt.Sprintf("MIXED: %d of %d confirmations got the answer that belongs to another tenant's request", foreign, 2*confirmations)}, nil
}

// partyConfig returns a configuration with a host and a tenant for each party.
func partyConfig(version string, parties ...party) config {
	cfg := newConfig(version, "", []string{"marketplace", "venue-data"})
	cfg.VirtualHosts = nil
	for _, p := range parties {
		route := newRoute("r-"+p.tenant, "/transfers/", "non_idempotent", p.service)
		route.TimeoutS, route.LatencySloS = 6, 0.8
		cfg.VirtualHosts = append(cfg.VirtualHosts, hostConfig{p.host, []routeConfig{route}})
		cfg.Tenants = append(cfg.Tenants, tenantConfig{p.tenant, []string{p.apiKey}})
	}
	return cfg
}

// confirm answers a confirmation with the tenant and the id of the request.
func confirm(w http.ResponseWriter, r *http.Request) {
	fmt.Fprintf(w, "confirmed for %s by %s\n", r.Header.Get("Tenant-Id"), r.Header.Get("Request-Id"))
}

// confirmAll lets each of the parties confirm some transfers, one after the other. It returns how many
// got the answer to their own request, and how many that to another request.
func (f *fleet) confirmAll(parties ...party) (own, foreign int) {
	for range confirmations {
		transfer := newKey()
		for _, p := range parties {
			res := p.entry.send(request{
				method: "POST", host: p.host, uri: "/transfers/" + transfer + "/confirm", deadline: 6 * time.Second,
				header: map[string]string{"X-Api-Key": p.apiKey, "Idempotency-Key": transfer},
			})
			switch {
			case res.status != http.StatusOK:
			case strings.HasSuffix(res.body, " by "+res.id+"\n"):
				own++
			default:
				foreign++
				f.rec.notef("%s of tenant %s ran %d times, and is answered: %s", res.id, p.tenant, len(f.runs()[res.id]), strings.TrimSpace(res.body))
			}
		}
	}
	return own, foreign
}

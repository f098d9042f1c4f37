package main

import (
	"fmt"
	"time"
)

func init() { cases["15"] = splitOfKeyedRequests }

const (
	splitHost     = "pay.example"
	splitRequests = 750
	splitPause    = 4 * time.Millisecond
	// splitMargin is how far the share of a part may lie off its weight's, and splitLeast the least
	// number of requests for which that holds.
	splitMargin = 0.2
	splitLeast  = 200
)

// splitParts are the services of the route after the change, with weights that add up to 100.
var splitParts = []weightConfig{{"pay-a", 50}, {"pay-b", 17}, {"pay-c", 17}, {"pay-d", 16}}

// splitOfKeyedRequests splits a route between four services, and sends requests with an
// Idempotency-Key. Without the trouble the route stays with one service.
func splitOfKeyedRequests(f *fleet, trouble bool) ([]string, error) {
	services := []string{"front"}
	for _, p := range splitParts {
		services = append(services, p.Service)
	}
	if err := f.start(services...); err != nil {
		return nil, err
	}
	for i, m := range f.nodes() {
		t, err := f.startTarget(m, fmt.Sprintf("i-%d", i+1))
		if err != nil {
			return nil, err
		}
		t.work = 5 * time.Millisecond
	}
	route := newRoute("r-pay", "/pay/", "non_idempotent", splitParts[0].Service)
	if status, err := f.order("/-/Config.Replace", "00000000", newConfig("00000001", splitHost, services, route)); err != nil || status != 200 {
		return nil, fmt.Errorf("first configuration: status %d, %w", status, err)
	}
	if err := f.awaitReady(); err != nil {
		return nil, err
	}
	time.Sleep(keyMargin)
	for range 20 {
		if res := f.pay(true); res.status != 200 {
			return nil, fmt.Errorf("before the change: status %d", res.status)
		}
	}
	if !trouble {
		return nil, nil
	}
	route.Service, route.WeightedServices = "", splitParts
	if status, err := f.order("/-/Config.Replace", "00000001", newConfig("00000002", splitHost, services, route)); err != nil || status != 200 {
		return nil, fmt.Errorf("change: status %d, %w", status, err)
	}
	time.Sleep(2 * contactTime)
	if breaks := f.checkSplit(false); len(breaks) > 0 {
		return nil, fmt.Errorf("the split of requests without a key: %v", breaks)
	}
	return f.checkSplit(true), nil
}

// pay sends one request to the node of the service front.
func (f *fleet) pay(keyed bool) result {
	q := request{method: "POST", host: splitHost, uri: "/pay/1", body: []byte("amount=1")}
	if keyed {
		q.header = map[string]string{"Idempotency-Key": newKey()}
	}
	return f.nodes()[0].send(q)
}

// checkSplit sends requests and returns the parts whose share is too far off their weight's.
func (f *fleet) checkSplit(keyed bool) []string {
	ids := make(map[string]bool)
	codes := make(map[int]int)
	for range splitRequests {
		res := f.pay(keyed)
		ids[res.id] = true
		codes[res.status]++
		time.Sleep(splitPause)
	}
	counts := make(map[string]int)
	total := 0
	for id, runs := range f.runs() {
		if ids[id] {
			counts[runs[0].service]++
			total++
		}
	}
	f.rec.notef("with a key: %v; answers by status: %v; runs by service: %v of %d", keyed, codes, counts, total)
	if total < splitLeast || codes[503]+codes[429] > 0 {
		f.rec.notef("too few requests ran, or a part turns requests away: nothing to check")
		return nil
	}
	var breaks []string
	for _, p := range splitParts {
		share, weight := float64(counts[p.Service])/float64(total), float64(p.Weight)/100
		if share > weight+splitMargin || share < weight-splitMargin {
			breaks = append(breaks, fmt.Sprintf("CONFIG: %s has the weight %.2f and gets the share %.2f of the %d requests that ran, of %d sent",
				p.Service, weight, share, total, splitRequests))
		}
	}
	return breaks
}

package main

import (
	"fmt"
	"time"
)

func init() { cases["14"] = encodedPrefix }

// The services and paths of the case. The plain path shows that the change is in force.
const (
	encodedHost   = "guias.example"
	otherHost     = "archivo.example"
	oldService    = "vitrina"
	newService    = "biblioteca"
	plainPath     = "/guias/"
	encodedPath   = "/gu%C3%ADas/"
	encodedChecks = 21
)

// encodedPrefix adds routes whose prefix has an escaped letter, and sends requests below that prefix
// later than ConfigDeadlineS after the acknowledgement. Without the trouble the configuration stays
// as it is.
func encodedPrefix(f *fleet, trouble bool) ([]string, error) {
	if err := f.start(oldService, newService, newService); err != nil {
		return nil, err
	}
	for i, m := range f.nodes() {
		if _, err := f.startTarget(m, fmt.Sprintf("i-%d", i+1)); err != nil {
			return nil, err
		}
	}
	services := []string{oldService, newService}
	root := newRoute("r-root", "/", "safe", oldService)
	cfg := newConfig("00000001", encodedHost, services, root)
	if status, err := f.order("/-/Config.Replace", "00000000", cfg); err != nil || status != 200 {
		return nil, fmt.Errorf("first configuration: status %d, %w", status, err)
	}
	if err := f.awaitReady(); err != nil {
		return nil, err
	}
	time.Sleep(contactTime)
	encoded := request{method: "GET", host: encodedHost, uri: encodedPath + "colores"}
	for _, m := range f.nodes() {
		if res := m.send(encoded); res.status != 200 {
			return nil, fmt.Errorf("before the change: status %d", res.status)
		}
	}
	wanted := oldService
	if trouble {
		wanted = newService
		cfg = newConfig("00000002", encodedHost, services, root,
			newRoute("r-plain", plainPath, "safe", newService), newRoute("r-encoded", encodedPath, "safe", newService))
		cfg.VirtualHosts = append(cfg.VirtualHosts, hostConfig{otherHost, []routeConfig{newRoute("r-other", encodedPath, "safe", newService)}})
		status, err := f.order("/-/Config.Replace", "00000001", cfg)
		if err != nil {
			return nil, err
		}
		if status != 200 {
			f.rec.notef("the change was refused, so that nothing has to be in force")
			return nil, nil
		}
		time.Sleep(contactTime) // Longer than ConfigDeadlineS.
	}
	breaks := make(map[string]int)
	for i := range encodedChecks {
		m := f.nodes()[i%len(f.nodes())]
		if trouble {
			if res := m.send(request{method: "GET", host: encodedHost, uri: plainPath + "colores"}); !f.ranBy(res, newService) {
				return nil, fmt.Errorf("the change is not in force at %s", m.name)
			}
			if res := m.send(request{method: "GET", host: otherHost, uri: encoded.uri}); res.status == 404 {
				breaks["refused with 404 though the route is there"]++
			}
		}
		if res := m.send(encoded); !f.ranBy(res, wanted) {
			breaks[fmt.Sprintf("not run by %s, but as only the older version allows", wanted)]++
		}
		time.Sleep(50 * time.Millisecond)
	}
	var list []string
	for what, n := range breaks {
		list = append(list, fmt.Sprintf("CONFIG: %d of %d requests for %s, sent later than ConfigDeadlineS after the acknowledgement, %s",
			n, encodedChecks, encoded.uri, what))
	}
	return list, nil
}

// ranBy reports whether targets of the service ran a request, and no others.
func (f *fleet) ranBy(res result, service string) bool {
	runs := f.runs()[res.id]
	for _, a := range runs {
		if a.service != service {
			return false
		}
	}
	return len(runs) > 0
}

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"
)

// request is one attempt of a client.
type request struct {
	method, host, uri string
	header            map[string]string
	body              []byte
	deadline          time.Duration
}

// result is what a client got.
type result struct {
	id        string
	sentAt    time.Time
	status    int // 0 if there was no complete answer.
	signature string
	body      string
	err       error
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// send sends a request to the Outbound address of a machine on a new connection.
func (m *machine) send(q request) result {
	if q.deadline == 0 {
		q.deadline = 1200 * time.Millisecond
	}
	res := result{id: newID(), sentAt: time.Now()}
	client := &http.Client{
		Timeout: q.deadline + time.Second,
		Transport: &http.Transport{
			DisableKeepAlives: true, DisableCompression: true,
			DialContext: (&net.Dialer{Timeout: time.Second}).DialContext,
		},
	}
	req, err := http.NewRequest(q.method, "http://"+m.address(portOutbound)+q.uri, bytes.NewReader(q.body))
	if err != nil {
		res.err = err
		return res
	}
	req.Host = q.host
	req.Header.Set("Request-Id", res.id)
	req.Header.Set("Deadline-Ms", fmt.Sprint(q.deadline.Milliseconds()))
	for name, value := range q.header {
		req.Header.Set(name, value)
	}
	m.fleet.rec.notef("%s sent to %s: %s %s%s", res.id, m.name, q.method, q.host, q.uri)
	resp, err := client.Do(req)
	if err == nil {
		defer resp.Body.Close()
		var body []byte
		body, err = io.ReadAll(resp.Body)
		res.body = string(body)
		res.signature = resp.Header.Get("Server-Signature")
		if err == nil {
			res.status = resp.StatusCode
		}
	}
	res.err = err
	m.fleet.rec.notef("%s answered: %d, signature %q, error %v", res.id, res.status, res.signature, err)
	return res
}

// order sends a call of the operator until it gets a clear answer, to any of the control
// instances, and returns its status.
func (f *fleet) order(call, base string, body any) (int, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return 0, fmt.Errorf("encode: %w", err)
	}
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	deadline := time.Now().Add(startTimeout)
	for time.Now().Before(deadline) {
		controls := f.controls()
		m := controls[rand.IntN(len(controls))]
		req, err := http.NewRequest(http.MethodPost, "http://"+m.address(portControl)+call, bytes.NewReader(data))
		if err != nil {
			return 0, err
		}
		req.Header.Set("Base-Version", base)
		req.Header.Set("Content-Type", "application/json")
		resp, err := client.Do(req)
		if err != nil {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		text, _ := io.ReadAll(resp.Body)
		resp.Body.Close()
		f.rec.notef("operator: %s on %s at %s: %d %s", call, base, m.name, resp.StatusCode, bytes.TrimSpace(text))
		switch resp.StatusCode {
		case 200, 400, 409, 412, 413, 422:
			return resp.StatusCode, nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	return 0, errTimeout
}

// Parts of a configuration.
type (
	routeConfig struct {
		Name, PathPrefix, Kind string
		TimeoutS, LatencySloS  float64
		Priority, MaxAttempts  int
		Service                string
	}
	hostConfig struct {
		Host  string
		Paths []routeConfig
	}
	serviceConfig struct {
		Name, HealthPath string
		MaxConnections   int
		Protocol         string
		Tls              bool
	}
	limitsConfig struct {
		MaxHeaderBytes, MaxBodyBytes int
		HeaderTimeoutS, IdleTimeoutS float64
	}
	tenantConfig struct {
		Name    string
		ApiKeys []string
	}
	config struct {
		Version      string
		Services     []serviceConfig
		Limits       limitsConfig
		Tenants      []tenantConfig `json:",omitempty"`
		VirtualHosts []hostConfig
	}
)

// newConfig returns a configuration of services and the routes of one host.
func newConfig(version, host string, services []string, routes ...routeConfig) config {
	c := config{Version: version, Limits: limitsConfig{16384, 67108864, 3, 15}, VirtualHosts: []hostConfig{{host, routes}}}
	for _, name := range services {
		c.Services = append(c.Services, serviceConfig{name, "/health", 220, "h1", false})
	}
	return c
}

// newRoute returns a route with the terms of the sheet.
func newRoute(name, prefix, kind, service string) routeConfig {
	return routeConfig{Name: name, PathPrefix: prefix, Kind: kind, TimeoutS: 1.2, LatencySloS: 0.5, Priority: 2, MaxAttempts: 2, Service: service}
}

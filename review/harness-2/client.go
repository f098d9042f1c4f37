package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"
)

// answer is what a client or the operator gets.
type answer struct {
	status    int // 0 if there was no answer.
	signature string
	body      []byte
	err       error
}

func (a answer) String() string {
	if a.status == 0 {
		return fmt.Sprintf("no answer (%v)", a.err)
	}
	return fmt.Sprintf("status %d", a.status)
}

// request sends one request of a client at a sidecar machine, on a new connection.
func (f *fleet) request(m *machine, method, host, path string, timeout time.Duration) (string, answer) {
	id := fmt.Sprintf("%016x", rand.Uint64())
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+m.address(f.ports.outbound)+path, nil)
	if err != nil {
		return id, answer{err: err}
	}
	req.Host = host
	req.Header.Set("Request-Id", id)
	req.Header.Set("Deadline-Ms", fmt.Sprint(timeout.Milliseconds()))
	f.rec.add("client at %s sends %s %s %s%s", m.name, id, method, host, path)
	a := exchange(req)
	f.rec.add("client at %s gets for %s: %v", m.name, id, a)
	return id, a
}

func exchange(req *http.Request) answer {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	resp, err := client.Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return answer{err: err}
	}
	return answer{status: resp.StatusCode, signature: resp.Header.Get("Server-Signature"), body: body}
}

// operate sends one order of the operator to a control machine, which gets a second to answer.
func (f *fleet) operate(m *machine, method, path string, base uint64, body []byte) answer {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+m.address(f.ports.control)+path, bytes.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	req.Header.Set("Content-Type", "application/json")
	if method == http.MethodPost {
		req.Header.Set("Base-Version", fmt.Sprintf("%08x", base))
	}
	a := exchange(req)
	f.rec.add("operator at %s: %s %s on top of %08x: %v", m.name, method, path, base, a)
	return a
}

// order sends an order again, to one control machine after the other, until it gets a clear answer
// or the time is over. As the protocol page says, that is a 2xx, or a 400, 409, 412, 413 or 422.
func (f *fleet) order(path string, base uint64, body []byte, timeout time.Duration) answer {
	deadline := time.Now().Add(timeout)
	pause := 100 * time.Millisecond
	for i := rand.IntN(len(f.core)); ; i++ {
		a := f.operate(f.core[i%len(f.core)], http.MethodPost, path, base, body)
		switch a.status {
		case 200, 400, 409, 412, 413, 422:
			return a
		}
		if time.Now().Add(pause).After(deadline) {
			return a
		}
		time.Sleep(pause)
		pause = min(2*pause, time.Second)
	}
}

// read reads the newest configuration, from one control machine after the other.
func (f *fleet) read(timeout time.Duration) (map[string]any, answer) {
	deadline := time.Now().Add(timeout)
	for i := rand.IntN(len(f.core)); ; i++ {
		a := f.operate(f.core[i%len(f.core)], http.MethodGet, "/-/Config.Read", 0, nil)
		var cfg map[string]any
		if a.status == 200 && json.Unmarshal(a.body, &cfg) == nil {
			f.rec.add("operator reads version %v", cfg["Version"])
			return cfg, a
		}
		if time.Now().After(deadline) {
			return nil, a
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// Names of the configuration that the cases use.
const (
	balanceHost = "jepu9.example"
	balancePath = "/lepu270/"
	payHost     = "hulo84.example"
	payPath     = "/xapu221/"
)

type object = map[string]any

func route(name, prefix, kind, service string) object {
	return object{
		"Name": name, "PathPrefix": prefix, "Kind": kind, "TimeoutS": 1.2, "LatencySloS": 0.5, "Priority": 1,
		"Service": service, "MaxAttempts": 2,
	}
}

func service(name string) object {
	return object{"Name": name, "HealthPath": "/health", "MaxConnections": 220, "Protocol": "h1", "Tls": false}
}

// firstConfiguration returns a configuration with a safe route to balance and an unsafe one to pay.
func firstConfiguration(version uint64) []byte {
	return encode(object{
		"Version":  fmt.Sprintf("%08x", version),
		"Services": []object{service("balance"), service("pay")},
		"Limits":   object{"MaxHeaderBytes": 16384, "MaxBodyBytes": 67108864, "HeaderTimeoutS": 3, "IdleTimeoutS": 15},
		"VirtualHosts": []object{
			{"Host": balanceHost, "Paths": []object{route("r-balance", balancePath, "safe", "balance")}},
			{"Host": payHost, "Paths": []object{route("r-pay", payPath, "non_idempotent", "pay")}},
		},
	})
}

func encode(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return data
}

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// errSetup means that a case could not run.
var errSetup = errors.New("the case could not run")

// fleet is a small deployment: control instances, nodes and the targets beside them.
type fleet struct {
	root, dir string
	trouble   bool
	rec       *recorder
	controls  []*process
	nodes     map[string]*node
	seeds     string
	grace     string

	mu    sync.Mutex
	procs []*process
}

// recorder writes what was sent, answered and run.
type recorder struct {
	mu    sync.Mutex
	f     *os.File
	start time.Time
	quiet bool
}

func (r *recorder) logf(format string, args ...any) {
	if r.quiet {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f  ", time.Since(r.start).Seconds()) + fmt.Sprintf(format, args...)
	fmt.Fprintln(r.f, line)
	fmt.Println(line)
}

// process is one process of the project. It can be killed and started again.
type process struct {
	name, config, address string
	args                  []string
	fleet                 *fleet
	cmd                   *exec.Cmd
	done                  chan struct{}
}

func (p *process) start() error {
	logs, err := os.OpenFile(filepath.Join(p.fleet.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer logs.Close()
	cmd := exec.Command(filepath.Join(p.fleet.root, "target/banyanscale-platform"), p.args...)
	cmd.Dir = p.fleet.root
	cmd.Env = append(os.Environ(), "BANYANSCALE_CONFIG="+p.config)
	cmd.Stdout, cmd.Stderr = logs, logs
	if err := cmd.Start(); err != nil {
		return err
	}
	p.cmd, p.done = cmd, make(chan struct{})
	go func(done chan struct{}) { _ = cmd.Wait(); close(done) }(p.done)
	return nil
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// kill ends the process with SIGKILL and waits for its end.
func (p *process) kill() {
	if p.cmd == nil {
		return
	}
	_ = p.cmd.Process.Kill()
	<-p.done
}

func (p *process) ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// node is a node with its addresses and its target.
type node struct {
	*process
	service, zone                   string
	outbound, ready, control, inner string
	target                          *target
}

// Ports of the fleet lie below those that the system gives to outgoing connections.
const firstPort, lastPort = 12000, 30000

// freeAddrs returns n different free addresses.
func freeAddrs(n int) []string {
	var out []string
	for len(out) < n {
		addr := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(lastPort-firstPort))
		l, err := net.Listen("tcp", addr)
		if err != nil {
			continue
		}
		l.Close()
		p, err := net.ListenPacket("udp", addr)
		if err != nil {
			continue
		}
		p.Close()
		if !slices.Contains(out, addr) {
			out = append(out, addr)
		}
	}
	return out
}

func newFleet(root, record string) (*fleet, error) {
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	return &fleet{
		root: root, dir: dir, trouble: os.Getenv("TROUBLE") != "0", grace: "6s",
		rec: &recorder{f: f, start: time.Now()}, nodes: map[string]*node{},
	}, nil
}

func (f *fleet) add(p *process) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.procs = append(f.procs, p)
}

// close ends all processes and removes the temporary folder.
func (f *fleet) close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.procs {
		if p.cmd != nil {
			p.signal(syscall.SIGCONT)
			p.kill()
		}
	}
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(f.dir)
	} else {
		fmt.Println("logs:", f.dir)
	}
}

// startControl starts three control instances in three zones.
func (f *fleet) startControl() error {
	addrs := freeAddrs(3)
	f.seeds = strings.Join(addrs, ", ")
	for i, a := range addrs {
		name := fmt.Sprintf("core-%d", i+1)
		cfg := filepath.Join(f.dir, name+".ini")
		text := fmt.Sprintf(`[control]
instance = %s
site = region-one
region = region-one
failure-domain = zone-%c
peer-address = %s
data-folder = %s
tolerated-losses = 1
voters = %s
`, name, 'a'+i, a, filepath.Join(f.dir, name), f.seeds)
		if err := os.MkdirAll(filepath.Join(f.dir, name), 0o755); err != nil {
			return err
		}
		if err := os.WriteFile(cfg, []byte(text), 0o644); err != nil {
			return err
		}
		p := &process{name: name, config: cfg, address: a, args: []string{"control"}, fleet: f}
		f.add(p)
		if err := p.start(); err != nil {
			return err
		}
		f.controls = append(f.controls, p)
	}
	return nil
}

// startNode starts a target and its node.
func (f *fleet) startNode(name, service, zone string, b behavior) (*node, error) {
	addrs := freeAddrs(6)
	n := &node{service: service, zone: zone, outbound: addrs[0], ready: addrs[1], control: addrs[2], inner: addrs[3]}
	cfg := filepath.Join(f.dir, name+".ini")
	text := fmt.Sprintf(`[node]
instance = %s
service = %s
owner = platform
site = region-one
region = region-one
failure-domain = %s
http-address = %s
peer-address = %s
upstream-address = %s
upstream-heartbeats = yes
seeds = %s
stop-grace = %s
policy = least-expected-finish
control-addresses = %s
retry-allowance = 60
memory-mb = 284
link-mbps = 1000
`, name, service, zone, n.inner, addrs[4], addrs[5], f.seeds, f.grace, f.seeds)
	if err := os.WriteFile(cfg, []byte(text), 0o644); err != nil {
		return nil, err
	}
	n.process = &process{
		name: name, config: cfg, fleet: f,
		args: []string{"node", "--callers=" + n.outbound, "--ready=" + n.ready, "--heartbeats=" + n.control},
	}
	f.add(n.process)
	t, err := newTarget(f.rec, "i-"+name, service, zone, addrs[5], n.control, b)
	if err != nil {
		return nil, err
	}
	n.target = t
	if err := n.start(); err != nil {
		return nil, err
	}
	t.startBeats()
	f.nodes[name] = n
	return n, nil
}

// route is a route of a configuration.
type route struct {
	Name, PathPrefix, Kind string
	TimeoutS, LatencySloS  float64
	Priority               int
	Service                string
	MaxAttempts            int
}

type service struct {
	Name, HealthPath string
	MaxConnections   int
	Protocol         string
	Tls              bool
}

func config(version string, services []string, host string, routes []route) map[string]any {
	var list []service
	for _, s := range services {
		list = append(list, service{Name: s, HealthPath: "/health", MaxConnections: 220, Protocol: "h1"})
	}
	return map[string]any{
		"Version": version, "Services": list,
		"Limits":       map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 67108864, "HeaderTimeoutS": 3, "IdleTimeoutS": 15},
		"VirtualHosts": []any{map[string]any{"Host": host, "Paths": routes}},
	}
}

// order is one call of the operator.
func order(addr, path, base string, body any, timeout time.Duration) (int, string, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return 0, "", err
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, "POST", "http://"+addr+path, bytes.NewReader(data))
	req.Header.Set("Base-Version", base)
	req.Header.Set("Content-Type", "application/json")
	return do(req)
}

func do(req *http.Request) (int, string, error) {
	c := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return resp.StatusCode, strings.TrimSpace(string(text)), err
}

// readConfig reads the configuration at a control instance.
func readConfig(addr string) (int, map[string]any, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, "GET", "http://"+addr+"/-/Config.Read", nil)
	status, text, err := do(req)
	if err != nil || status != 200 {
		return status, nil, err
	}
	var cfg map[string]any
	err = json.Unmarshal([]byte(text), &cfg)
	return status, cfg, err
}

// firstConfig sends the first configuration until it is accepted.
func (f *fleet) firstConfig(cfg map[string]any) error {
	end := time.Now().Add(25 * time.Second)
	for i := 0; time.Now().Before(end); i++ {
		c := f.controls[i%len(f.controls)]
		status, text, err := order(c.address, "/-/Config.Replace", "00000000", cfg, time.Second)
		if status == 200 {
			f.rec.logf("operator: first configuration %v accepted", cfg["Version"])
			return nil
		}
		if status == 400 {
			return fmt.Errorf("%w: first configuration: %s", errSetup, text)
		}
		_ = err
		time.Sleep(200 * time.Millisecond)
	}
	return fmt.Errorf("%w: no configuration was accepted", errSetup)
}

// awaitReady waits until all nodes are ready and serve a request on each path.
func (f *fleet) awaitReady(host string, paths ...string) error {
	end := time.Now().Add(20 * time.Second)
	for _, n := range f.nodes {
		for _, path := range paths {
			for {
				a := request{Method: "GET", Host: host, Path: path, DeadlineMs: 1000}.send(n.outbound)
				if a.status == 200 {
					break
				}
				if time.Now().After(end) {
					return fmt.Errorf("%w: node %s does not serve %s: %s", errSetup, n.name, path, a)
				}
				time.Sleep(100 * time.Millisecond)
			}
		}
	}
	return nil
}

package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Bounds of the deployment, as on the sheet of isuku-mesh.
const (
	contactTime        = 3 * time.Second
	configDeadline     = 2 * time.Second
	drainTime          = 2 * time.Second
	stopGrace          = 6 * time.Second
	heartbeatInterval  = 1500 * time.Millisecond
	startTimeout       = 30 * time.Second
	platformProgram    = "target/banyanscale-platform"
	controlInstances   = 3
	portInbound        = 0
	portOutbound       = 1
	portReady          = 2
	portControl        = 3
	portTarget         = 4
	portInternal       = 5
	portCount          = 6
	firstPossiblePort  = 21000
	possiblePortBlocks = 1000
)

var zones = []string{"kgl-a", "kgl-b", "kgl-c"}

// fleet is a small deployment. Each machine has a loopback address; ports are the same on all.
type fleet struct {
	rec    *record
	folder string
	net    string // The first three parts of the addresses.
	port   int    // The first port.

	mu       sync.Mutex
	machines []*machine
	targets  []*target
	stopped  bool
}

// machine runs one process of the system.
type machine struct {
	fleet    *fleet
	name     string
	role     string // control or node
	ip       string
	zone     string
	service  string
	settings map[string]string
	started  bool // Whether it has run before, so that Bootstrap is false.

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
}

func newFleet(rec *record) (*fleet, error) {
	if _, err := os.Stat(platformProgram); err != nil {
		return nil, fmt.Errorf("%w: build the deploy file first: %w", errKeepQuiet, err)
	}
	folder, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, fmt.Errorf("create a temporary folder: %w", err)
	}
	return &fleet{
		rec:    rec,
		folder: folder,
		net:    fmt.Sprintf("127.%d.%d", 10+rand.IntN(200), rand.IntN(250)),
		port:   firstPossiblePort + portCount*rand.IntN(possiblePortBlocks),
	}, nil
}

// address returns the address of a port of a machine.
func (m *machine) address(port int) string {
	return fmt.Sprintf("%s:%d", m.ip, m.fleet.port+port)
}

// addMachine adds a machine without starting its process.
func (f *fleet) addMachine(role, service string) *machine {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := len(f.machines) + 1
	m := &machine{
		fleet: f, role: role, service: service,
		name: fmt.Sprintf("%s-%d", role, n), ip: fmt.Sprintf("%s.%d", f.net, n), zone: zones[n%len(zones)],
	}
	f.machines = append(f.machines, m)
	return m
}

// controls returns the machines that serve control.
func (f *fleet) controls() []*machine { return f.withRole("control") }

// nodes returns the machines with a target.
func (f *fleet) nodes() []*machine { return f.withRole("node") }

func (f *fleet) withRole(role string) []*machine {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []*machine
	for _, m := range f.machines {
		if m.role == role {
			list = append(list, m)
		}
	}
	return list
}

// start adds the control instances and a node for each of the services, and starts all at once.
func (f *fleet) start(services ...string) error {
	for range controlInstances {
		f.addMachine("control", "")
	}
	for _, service := range services {
		f.addMachine("node", service)
	}
	for _, m := range append(f.controls(), f.nodes()...) {
		if err := m.start(); err != nil {
			return err
		}
	}
	return nil
}

// seeds returns the Control addresses of the control instances.
func (f *fleet) seeds() string {
	var list []string
	for _, m := range f.controls() {
		list = append(list, m.address(portControl))
	}
	return strings.Join(list, ",")
}

// fields returns the settings that the platform fills into the templates.
func (m *machine) fields() map[string]string {
	fields := map[string]string{
		"Node": m.name, "Ip": m.ip, "Zone": m.zone, "Region": "rw-kigali", "Service": m.service,
		"Seeds": m.fleet.seeds(), "InternalPortRange.0": fmt.Sprint(m.fleet.port + portInternal),
		"AppAddr": m.address(portTarget), "DataDir": filepath.Join(m.fleet.folder, m.name),
		"Listen.Inbound": m.address(portInbound), "Listen.Outbound": m.address(portOutbound),
		"Listen.ReadinessAddress": m.address(portReady), "Listen.Control": m.address(portControl),
		"Bounds.GraceS": "6", "Bounds.BudgetSlack": "56", "FaultTolerance.Machines": "1",
		"Limits.MemoryMb": "284", "Limits.MaxFds": "4100", "Limits.LinkMbps": "1000.0",
	}
	if !m.started {
		fields["Bootstrap"] = "true"
	}
	for name, value := range m.settings {
		fields[name] = value
	}
	return fields
}

// start writes the settings file and starts the process with the command line of the deploy file.
func (m *machine) start() error {
	text, err := renderTemplate(filepath.Join("deploy", m.role+".ini"), m.fields())
	if err != nil {
		return err
	}
	path := filepath.Join(m.fleet.folder, m.name+".ini")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return fmt.Errorf("write settings: %w", err)
	}
	args := []string{m.role}
	if m.role == "node" {
		args = append(args, "--callers="+m.address(portOutbound), "--ready="+m.address(portReady), "--heartbeats="+m.address(portControl))
	}
	logs, err := os.OpenFile(filepath.Join(m.fleet.folder, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("open log: %w", err)
	}
	defer logs.Close()
	cmd := exec.Command(platformProgram, args...)
	cmd.Env = append(os.Environ(), "BANYANSCALE_CONFIG="+path)
	cmd.Stdout, cmd.Stderr = logs, logs
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", m.name, err)
	}
	m.started = true
	done := make(chan struct{})
	m.mu.Lock()
	m.cmd, m.done = cmd, done
	m.mu.Unlock()
	m.fleet.rec.notef("%s started at %s", m.name, m.ip)
	go func() {
		err := cmd.Wait()
		m.fleet.rec.notef("%s ended: %v", m.name, err)
		close(done)
	}()
	return nil
}

// signal sends a signal to the process.
func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	cmd := m.cmd
	m.mu.Unlock()
	if cmd == nil {
		return
	}
	m.fleet.rec.notef("%s gets %s", m.name, s)
	_ = cmd.Process.Signal(s)
}

// kill ends the process at once and waits for its end.
func (m *machine) kill() {
	m.signal(syscall.SIGKILL)
	m.wait()
}

// wait waits until the process has ended.
func (m *machine) wait() {
	m.mu.Lock()
	done := m.done
	m.mu.Unlock()
	if done != nil {
		<-done
	}
}

// running reports whether the process runs.
func (m *machine) running() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.done == nil {
		return false
	}
	select {
	case <-m.done:
		return false
	default:
		return true
	}
}

// log returns what the process has written.
func (m *machine) log() string {
	data, _ := os.ReadFile(filepath.Join(m.fleet.folder, m.name+".log"))
	return string(data)
}

// stop ends all targets and processes, and removes the temporary folder.
func (f *fleet) stop() {
	f.mu.Lock()
	targets, machines := f.targets, f.machines
	f.stopped = true
	f.mu.Unlock()
	for _, t := range targets {
		t.crash()
	}
	for _, m := range machines {
		if m.running() {
			m.signal(syscall.SIGCONT)
			m.kill()
		}
	}
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(f.folder)
	} else {
		fmt.Fprintln(os.Stderr, "kept", f.folder)
	}
}

// awaitReady waits until all nodes say that they are ready.
func (f *fleet) awaitReady() error {
	deadline := time.Now().Add(startTimeout)
	for _, m := range f.nodes() {
		for !m.ready() {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s isn't ready", m.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// ready asks the node as the platform does.
func (m *machine) ready() bool {
	conn, err := net.DialTimeout("tcp", m.address(portReady), time.Second)
	if err != nil {
		return false
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(time.Second))
	fmt.Fprintf(conn, "GET /-/ready HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n\r\n", m.ip)
	answer := make([]byte, 16)
	n, _ := conn.Read(answer)
	return strings.HasPrefix(string(answer[:n]), "HTTP/1.1 200")
}

// dial opens a connection to the Outbound address.
func (m *machine) dial() (net.Conn, error) {
	return net.DialTimeout("tcp", m.address(portOutbound), time.Second)
}

var errTimeout = errors.New("took too long")

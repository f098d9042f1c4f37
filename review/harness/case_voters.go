package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

const voterService = "/banyanscale.voter.Voter/"

// coreProxy passes the calls between control instances. For each call a rule says whether it passes,
// is lost, or is held up.
type coreProxy struct {
	target string // The address of the instance.
	name   string

	mu   sync.Mutex
	rule func(method string, body []byte) verdict
}

// verdict is what happens to a call. The zero value lets it pass.
type verdict struct {
	lost bool
	// request and response are waited for before the request or the response goes on.
	request, response chan struct{}
	// done is called once the instance has answered.
	done func()
}

func (p *coreProxy) set(rule func(method string, body []byte) verdict) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rule = rule
}

func (p *coreProxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	p.mu.Lock()
	var v verdict
	if p.rule != nil {
		v = p.rule(r.URL.Path[strings.LastIndex(r.URL.Path, "/")+1:], body)
	}
	p.mu.Unlock()
	if v.lost {
		if v.request != nil { // Silent until then.
			select {
			case <-v.request:
			case <-r.Context().Done():
			}
		}
		panic(http.ErrAbortHandler)
	}
	if v.request != nil {
		<-v.request
	}
	req, _ := http.NewRequest(r.Method, "http://"+p.target+r.URL.RequestURI(), bytes.NewReader(body))
	req.Header = r.Header.Clone()
	resp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(req)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if v.done != nil {
		v.done()
	}
	if v.response != nil {
		<-v.response
	}
	for k, vs := range resp.Header {
		w.Header()[k] = vs
	}
	w.WriteHeader(resp.StatusCode)
	_, _ = w.Write(data)
}

// startCores starts five control instances that call each other through proxies.
func (f *fleet) startCores() ([]*coreProxy, error) {
	const n = 5
	public, inner := freeAddrs(n), freeAddrs(n)
	write := func(i int, address string, seeds []string) error {
		name := fmt.Sprintf("core-%d", i+1)
		text := fmt.Sprintf("[control]\ninstance = %s\nsite = region-one\nregion = region-one\nfailure-domain = zone-%c\npeer-address = %s\ndata-folder = %s\ntolerated-losses = 2\nvoters = %s\nseeds = %s\n",
			name, 'a'+i%3, address, filepath.Join(f.dir, name), strings.Join(public, ", "), strings.Join(seeds, ", "))
		return os.WriteFile(filepath.Join(f.dir, name+".ini"), []byte(text), 0o644)
	}
	for i := range n {
		name := fmt.Sprintf("core-%d", i+1)
		if err := os.MkdirAll(filepath.Join(f.dir, name), 0o755); err != nil {
			return nil, err
		}
		if err := write(i, public[i], public); err != nil {
			return nil, err
		}
		p := &process{name: name, config: filepath.Join(f.dir, name+".ini"), address: public[i], args: []string{"control"}, fleet: f}
		f.add(p)
		if err := p.start(); err != nil {
			return nil, err
		}
		f.controls = append(f.controls, p)
	}
	first := f.controls
	f.controls = first[3:4] // The first change is core-4's.
	err := f.firstConfig(numbered(1))
	f.controls = first
	if err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	var proxies []*coreProxy
	for i, p := range f.controls {
		p.signal(syscall.SIGTERM)
		<-p.done
		if err := write(i, inner[i], inner); err != nil {
			return nil, err
		}
		p.address = inner[i]
		proxies = append(proxies, &coreProxy{target: inner[i], name: p.name})
	}
	for i, p := range f.controls {
		l, err := net.Listen("tcp", public[i])
		if err != nil {
			return nil, err
		}
		go func() { _ = (&http.Server{Handler: proxies[i]}).Serve(l) }()
		if err := p.start(); err != nil {
			return nil, err
		}
	}
	end := time.Now().Add(20 * time.Second)
	for _, p := range f.controls {
		for {
			if _, cfg, err := readConfig(p.address); err == nil && cfg != nil && cfg["Version"] == versionText(1) {
				break
			}
			if time.Now().After(end) {
				return nil, fmt.Errorf("%w: %s does not read the configuration", errSetup, p.name)
			}
			time.Sleep(200 * time.Millisecond)
		}
	}
	time.Sleep(2 * time.Second)
	return proxies, nil
}

var identityPattern = regexp.MustCompile(`"identity":\s*"([0-9a-f]{32})"`)

// ballotPattern matches the first ballot of a call: that of its proposer.
var ballotPattern = regexp.MustCompile("([0-9a-f]{32})/[0-9a-f]{32}")

// identity asks a control instance for its identity as a voter.
func identity(addr string) (string, error) {
	req, _ := http.NewRequest("POST", "http://"+addr+voterService+"Query", strings.NewReader("{}"))
	req.Header.Set("Content-Type", "application/json")
	_, text, err := do(req)
	if err != nil {
		return "", err
	}
	m := identityPattern.FindStringSubmatch(text)
	if m == nil {
		return "", fmt.Errorf("%w: no identity in %q", errSetup, text)
	}
	return m[1], nil
}

// splitVoters lets two operators change the same version while calls between control instances are
// lost or late.
func splitVoters(f *fleet) error {
	proxies, err := f.startCores()
	if err != nil {
		return err
	}
	ids := make([]string, 5)
	for i, p := range f.controls {
		if ids[i], err = identity(p.address); err != nil {
			return err
		}
	}
	const y, z, w = 0, 1, 2 // V and U are 3 and 4.
	const newVersion, otherVersion = 3, 5
	by := func(i int, body []byte) bool {
		m := ballotPattern.FindSubmatch(body)
		return m != nil && string(m[1]) == ids[i]
	}
	lateAccept, lateState := make(chan struct{}), make(chan struct{})
	var once [4]sync.Once
	gotNew, gotOther, fetched, acceptedOther := make(chan struct{}), make(chan struct{}), make(chan struct{}), make(chan struct{})
	accepts := 0 // Of core-3 at core-2; guarded by the proxy.
	open := make(chan struct{})
	opened := func() bool {
		select {
		case <-open:
			return true
		default:
			return false
		}
	}
	if f.trouble {
		// Z gets the change of Y, nothing else in time, and that of W late.
		proxies[z].set(func(method string, body []byte) verdict {
			switch {
			case method == "Accept" && by(y, body) && !opened():
				return verdict{done: func() { once[0].Do(func() { close(gotNew) }) }}
			case method == "Prepare" && by(y, body) && !opened():
				select {
				case <-gotNew:
					return verdict{lost: true}
				default:
					return verdict{}
				}
			case method == "Accept" && by(w, body):
				// The first one is answered: core-2 lacks its base. The second one brings the whole state.
				accepts++
				if accepts == 1 {
					return verdict{}
				}
				if accepts > 2 {
					return verdict{lost: true}
				}
				close(gotOther)
				return verdict{request: lateAccept, done: func() { once[2].Do(func() { close(acceptedOther) }) }}
			case method == "Accept" || method == "Prepare":
				return verdict{lost: true}
			}
			return verdict{}
		})
		// W is cut off: nothing reaches it, and after its first proposal nothing of it arrives.
		proxies[w].set(func(method string, body []byte) verdict {
			if method == "Prepare" && by(y, body) {
				select {
				case <-gotNew:
				default:
					return verdict{}
				}
			}
			return verdict{lost: true, request: map[bool]chan struct{}{true: open}[method == "Accept" && !opened()]}
		})
		for _, i := range []int{y, 3, 4} {
			proxies[i].set(func(method string, body []byte) verdict {
				switch {
				case method == "Accept" && by(y, body) && !by(w, body) && !opened():
					return verdict{lost: true, request: open}
				case method == "Prepare" && by(w, body):
					select {
					case <-gotOther:
						return verdict{lost: true}
					default:
						return verdict{lost: i == y}
					}
				case method == "Accept" && by(w, body):
					return verdict{lost: true}
				case method == "FetchState" && by(y, body) && opened():
					hold := false
					once[3].Do(func() { hold = true })
					if hold {
						return verdict{response: lateState, done: func() { close(fetched) }}
					}
				}
				return verdict{}
			})
		}
	}
	type result struct {
		status int
		text   string
		err    error
	}
	send := func(i, n int, timeout time.Duration) result {
		s, text, err := order(f.controls[i].address, "/-/Config.Replace", versionText(1), numbered(n), timeout)
		f.rec.logf("operator: version %s on %s at %s: %d %s %v", versionText(n), versionText(1), f.controls[i].name, s, text, err)
		return result{s, text, err}
	}
	newDone, otherDone := make(chan result, 1), make(chan result, 1)
	go func() { newDone <- send(y, newVersion, 4*time.Second) }()
	if f.trouble {
		if !await(gotNew, 3*time.Second) {
			return fmt.Errorf("%w: the change of core-1 did not reach core-2", errSetup)
		}
		f.rec.logf("links: core-2 has the change of core-1; core-3, core-4 and core-5 do not get it yet")
	}
	if !f.trouble {
		r := <-newDone
		newDone <- r
	}
	go func() { otherDone <- send(w, otherVersion, 4*time.Second) }()
	if f.trouble {
		if !await(gotOther, 3*time.Second) {
			return fmt.Errorf("%w: core-3 did not propose", errSetup)
		}
		f.rec.logf("links: core-3 has proposed its change; it is cut off now, and its call to core-2 is under way")
		close(open)
	}
	first := <-newDone
	if f.trouble && (first.err != nil || first.status >= 500) {
		first = send(y, newVersion, 2*time.Second)
	}
	if f.trouble {
		if await(fetched, 4*time.Second) {
			f.rec.logf("links: core-2 asks for a newer state; the answer is late")
			close(lateAccept)
			f.rec.logf("links: the call of core-3 reaches core-2: %v", await(acceptedOther, time.Second))
			time.Sleep(20 * time.Millisecond)
			close(lateState)
			f.rec.logf("links: the late answer reaches core-2")
			time.Sleep(100 * time.Millisecond)
		} else {
			f.rec.logf("links: core-2 asked for no state")
		}
	}
	// The operator of the other change got no clear answer, and sends it again to another machine.
	second := send(z, otherVersion, time.Second)
	for range 3 {
		if second.err == nil && second.status < 500 {
			break
		}
		second = send(z, otherVersion, time.Second)
	}
	for _, p := range proxies {
		p.set(nil)
	}
	f.rec.logf("links: all calls pass")
	for range 4 {
		time.Sleep(time.Second)
		for _, c := range f.controls {
			s, cfg, err := readConfig(c.address)
			if cfg != nil {
				f.rec.logf("operator: read at %s: version %v: %s", c.name, cfg["Version"], summary(cfg))
			} else {
				f.rec.logf("operator: read at %s: %d %v", c.name, s, err)
			}
		}
	}
	f.rec.logf("acknowledged: version %s: %v, version %s: %v", versionText(newVersion), first.status == 200, versionText(otherVersion), second.status == 200)
	if first.status == 200 && second.status == 200 {
		f.rec.logf("BROKEN: two changes on top of version %s were acknowledged", versionText(1))
		return errBroken
	}
	return nil
}

// await waits for c to be closed.
func await(c chan struct{}, limit time.Duration) bool {
	select {
	case <-c:
		return true
	case <-time.After(limit):
		return false
	}
}

package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

func init() { cases["14"] = uploadsOfClientsThatLeft }

const (
	uploadHost    = "ljud.example"
	uploadTargets = 7
	uploadWork    = 190 * time.Millisecond
	uploadBytes   = 60_000
	uploadAim     = 1200 * time.Millisecond
	uploadTimeout = 8 * time.Second
	// uploadRate is the number of uploads a second, about twice what the targets can run.
	uploadRate = 650
	warmUp     = 4 * time.Second
	giveUpTime = 5500 * time.Millisecond
	// giveUpDivisor is the inverse of the share of clients that leave.
	giveUpDivisor = 5
	// goneAfter is the time after which no request of a client that left may reach a target, and
	// goneFew the number of such requests that is no break.
	goneAfter = 500 * time.Millisecond
	goneFew   = 5
)

// uploader sends uploads and notes which clients left, and when.
type uploader struct {
	fleet *fleet
	mu    sync.Mutex
	left  map[string]time.Time
	codes map[int]int
}

// uploadsOfClientsThatLeft sends more uploads than the targets can run. A part of the clients closes
// its connection within half of the objective. Without the trouble none does.
func uploadsOfClientsThatLeft(f *fleet, trouble bool) ([]string, error) {
	const service, other = "ljudarkiv", "agentvy"
	services := []string{other, other}
	for range uploadTargets {
		services = append(services, service)
	}
	if err := f.start(services...); err != nil {
		return nil, err
	}
	for i, m := range f.nodes() {
		t, err := f.startTarget(m, fmt.Sprintf("i-%d", i+1))
		if err != nil {
			return nil, err
		}
		t.handle = func(w http.ResponseWriter, _ *http.Request) {
			time.Sleep(uploadWork * time.Duration(70+rand.IntN(60)) / 100)
			_, _ = io.WriteString(w, "stored\n")
		}
	}
	route := newRoute("r-upload", "/ljud/", "upload", service)
	route.TimeoutS, route.LatencySloS = uploadTimeout.Seconds(), uploadAim.Seconds()
	status, err := f.order("/-/Config.Replace", "00000000", newConfig("00000001", uploadHost, []string{service, other}, route))
	if err != nil || status != 200 {
		return nil, fmt.Errorf("configuration: status %d, %w", status, err)
	}
	if err := f.awaitReady(); err != nil {
		return nil, err
	}
	time.Sleep(2 * contactTime)
	u := &uploader{fleet: f, left: make(map[string]time.Time), codes: make(map[int]int)}
	u.run(trouble)
	late, ran := 0, 0
	for id, at := range u.left {
		for _, a := range f.runs()[id] {
			ran++
			if wait := a.at.Sub(at); wait > goneAfter {
				late++
				f.rec.notef("%s reaches %s %.0f ms after its client has left", id, a.target, float64(wait.Milliseconds()))
			}
		}
	}
	f.rec.notef("answers by status (-1: the client left): %v; of those that left %d ran, %d of them later than %s", u.codes, ran, late, goneAfter)
	if late <= goneFew {
		return nil, nil
	}
	return []string{fmt.Sprintf("GONE: %d requests reach a target over half a second after their clients have closed the connection", late)}, nil
}

// run sends the uploads and waits for all answers.
func (u *uploader) run(trouble bool) {
	var wg sync.WaitGroup
	ticker := time.NewTicker(time.Second / uploadRate)
	defer ticker.Stop()
	begin := time.Now()
	nodes := u.fleet.nodes()
	for n := 0; time.Since(begin) < warmUp+giveUpTime; n++ {
		<-ticker.C
		leaves := trouble && time.Since(begin) > warmUp && n%giveUpDivisor == 0
		wg.Go(func() { u.upload(nodes[n%len(nodes)], leaves) })
	}
	wg.Wait()
	time.Sleep(time.Second)
}

// upload sends one upload on a new connection, which the client closes early if it leaves.
func (u *uploader) upload(m *machine, leaves bool) {
	conn, err := net.DialTimeout("tcp", m.address(portOutbound), time.Second)
	if err != nil {
		return
	}
	defer conn.Close()
	id := newID()
	sent := time.Now()
	stays := uploadTimeout + time.Second
	if leaves {
		stays = time.Duration(rand.Int64N(int64(uploadAim / 2)))
	}
	_ = conn.SetDeadline(sent.Add(stays))
	_, err = fmt.Fprintf(conn, "POST /ljud/%s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\nContent-Length: %d\r\n\r\n",
		id, uploadHost, id, uploadTimeout.Milliseconds(), uploadBytes)
	if err == nil {
		_, err = conn.Write(make([]byte, uploadBytes))
	}
	status := 0
	if err == nil {
		var resp *http.Response
		if resp, err = http.ReadResponse(bufio.NewReader(conn), nil); err == nil {
			status = resp.StatusCode
			_, err = io.Copy(io.Discard, resp.Body)
		}
	}
	if err != nil && leaves {
		conn.Close()
		status = -1
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.codes[status]++
	if status == -1 {
		u.left[id] = time.Now()
		u.fleet.rec.notef("%s: the client leaves %s %.0f ms after it has sent the request", id, m.name, float64(time.Since(sent).Milliseconds()))
	}
}

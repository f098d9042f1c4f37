package gossiper

import (
	"flag"
	"fmt"
	"net/netip"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/banyanscale/banyanscale/internal/fleet/registrar"
	"github.com/banyanscale/banyanscale/internal/wire/gossipwire"
)

// scaleFlag makes TestTrafficByFleetSize measure the fleet sizes needed for
// extrapolation.
var scaleFlag = flag.Bool("scale", false, "measure how membership traffic grows with the fleet size")

const (
	membershipEventsPerDay = 1600
	versionsPerDay         = 8100
	day                    = 24 * time.Hour
	measurementPeriod      = 5 * time.Minute
)

// traffic returns the average bytes and messages per second that a node sends while f
// runs.
func (fl *fleet) traffic(f func()) (bytes, messages float64) {
	fl.withLock(func() {
		for _, node := range fl.nodes {
			node.sent, node.messages = 0, 0
		}
	})
	start := time.Now()
	f()
	fl.mu.Lock()
	defer fl.mu.Unlock()
	for _, node := range fl.nodes {
		bytes += float64(node.sent)
		messages += float64(node.messages)
	}
	seconds := time.Since(start).Seconds() * float64(len(fl.nodes))
	return bytes / seconds, messages / seconds
}

// churn restarts nodes and accepts versions at the rates of the design size.
func (fl *fleet) churn() {
	end := time.Now().Add(measurementPeriod)
	nextEvent := time.Now().Add(10 * time.Second)
	number := uint64(1000)
	for next := 0; time.Now().Before(end); time.Sleep(day / versionsPerDay) {
		number++
		fl.acceptVersion(number)
		if time.Now().After(nextEvent) {
			nextEvent = nextEvent.Add(day / membershipEventsPerDay)
			next++
			fl.nodes[2+next%20].kill()
			fl.nodes[2+next%20].start(registrar.StateReady)
		}
	}
}

// spreadTime returns the time from the acceptance of a version until it is in force at
// all nodes.
func (fl *fleet) spreadTime(number uint64) time.Duration {
	start := time.Now()
	fl.acceptVersion(number)
	for {
		behind := 0
		for _, node := range fl.nodes {
			if node.distributor.InForce().GetNumber() < number {
				behind++
			}
		}
		if behind == 0 || time.Since(start) > time.Minute {
			return time.Since(start)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func (node *fakeNode) liveCount() int {
	node.mu.Lock()
	defer node.mu.Unlock()
	return node.table.liveCount
}

// awaitAll waits until all nodes know n live members and returns how long that took.
func (fl *fleet) awaitAll(n int) time.Duration {
	start := time.Now()
	fl.await("all nodes know each other", 10*time.Minute, fl.nodes, func(node *fakeNode) bool { return node.liveCount() == n })
	return time.Since(start)
}

// TestTrafficByFleetSize checks that the traffic of a fleet stays small. With the flag
// -scale it also measures larger fleets, to log how traffic grows with the fleet size.
// The one-way latency of the simulated network averages 1 ms.
func TestTrafficByFleetSize(t *testing.T) {
	sizes := []int{25}
	if *scaleFlag {
		sizes = []int{25, 50, 100, 200}
	}
	for _, n := range sizes {
		synctest.Test(t, func(t *testing.T) {
			fl := newFleet(t, uint64(n))
			fl.current = newVersion(1)
			for range n {
				fl.add(registrar.StateReady)
			}
			start := fl.awaitAll(n)
			time.Sleep(30 * time.Second)
			idle, idleMessages := fl.traffic(func() { time.Sleep(measurementPeriod) })
			var slowest time.Duration
			for number := range uint64(20) {
				slowest = max(slowest, fl.spreadTime(number+2))
				time.Sleep(2 * time.Second)
			}
			busy, busyMessages := fl.traffic(fl.churn)
			fl.add(registrar.StateReady)
			join := fl.awaitAll(n + 1)
			fl.withLock(func() { fl.blocked = func(from, to *fakeNode) bool { return from.index%2 != to.index%2 } })
			time.Sleep(5 * time.Minute)
			fl.withLock(func() { fl.blocked = func(_, _ *fakeNode) bool { return false } })
			heal := fl.awaitAll(n + 1)
			t.Logf("n=%d idle %.0f B/s %.2f msg/s, churn %.0f B/s %.2f msg/s, version in force at all in %v, start %v, join %v, heal %v",
				n, idle, idleMessages, busy, busyMessages, slowest, start, join, heal)
			assert.Assert(t, idle < DefaultBytesPerSecond/10)
			assert.Assert(t, slowest < 5*time.Second)
			fl.assertBudget()
		})
	}
}

// BenchmarkFleet runs fleets over loopback sockets and reports the CPU time per node,
// including system time.
func BenchmarkFleet(b *testing.B) {
	for _, n := range []int{25, 50, 100, 200} {
		b.Run(fmt.Sprintf("nodes=%d", n), func(b *testing.B) {
			nodes := []*socketNode{startSocketNode(b, 0, nil)}
			seeds := []netip.AddrPort{nodes[0].courier.Address()}
			for i := 1; i < n; i++ {
				nodes = append(nodes, startSocketNode(b, i, seeds))
			}
			for _, node := range nodes {
				node.awaitView(func(v *registrar.View) bool { return v.Len() == n })
			}
			time.Sleep(10 * time.Second)
			const seconds = 10
			before := cpuTime(b)
			for b.Loop() {
				time.Sleep(seconds * time.Second)
			}
			used := cpuTime(b) - before
			b.ReportMetric(float64(used.Microseconds())/float64(n*seconds*b.N), "cpu-us/node/s")
		})
	}
}

// cpuTime returns the user and system time of this process.
func cpuTime(b *testing.B) time.Duration {
	b.Helper()
	var usage syscall.Rusage
	assert.NilError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// receivedRecords returns the announcements of n members, decoded as if received.
func receivedRecords(tb testing.TB, self *member, n int) []*gossipwire.Update {
	tb.Helper()
	var list []*gossipwire.Update
	for i := range n {
		u := encodeRecord(self)
		u.Id = fmt.Sprintf("vitrina-%d", i)
		u.Profile.Peer = encodeAddress(peerAddress(i + 1))
		data, err := proto.Marshal(u)
		assert.NilError(tb, err)
		received := &gossipwire.Update{}
		assert.NilError(tb, proto.Unmarshal(data, received))
		list = append(list, received)
	}
	return list
}

// BenchmarkTable reports the memory per member, including one view, and the peak memory
// of the process. It measures the time to merge a full table, to run the timers, to
// respond to a comparison in which one bucket in 16 differs, to collect the records that
// a peer lacks in 64 buckets, and to build a view.
func BenchmarkTable(b *testing.B) {
	sizes := []int{350, 700, 1400, 2800}
	bytes := make(map[int]float64)
	for _, n := range sizes {
		bytes[n] = tableBytes(b, n)
	}
	for _, n := range sizes {
		benchmarkTable(b, n, bytes[n])
	}
}

// replaceTable replaces the node's table by one merged from list.
func (node *fakeNode) replaceTable(list []*gossipwire.Update) {
	node.table = newTable(node.cfg.Random)
	node.table.put(node.self)
	for _, u := range list {
		node.apply(u, time.Now())
	}
}

// tableBytes returns the memory per member of a table of n members, including one view.
func tableBytes(b *testing.B, n int) float64 {
	b.Helper()
	node := newFleet(b, 1).add(registrar.StateReady)
	node.kill()
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	node.replaceTable(receivedRecords(b, node.self, n-1))
	view := node.table.view()
	runtime.GC()
	runtime.ReadMemStats(&after)
	assert.Equal(b, view.Len(), n)
	return float64(after.HeapAlloc-before.HeapAlloc) / float64(n)
}

func benchmarkTable(b *testing.B, n int, bytes float64) {
	b.Helper()
	node := newFleet(b, 1).add(registrar.StateReady)
	node.kill()
	list := receivedRecords(b, node.self, n-1)
	node.replaceTable(list)
	req := &gossipwire.CompareRequest{Sender: encodeRecord(node.self), Digests: slices.Clone(node.table.digests[:])}
	for i := 0; i < bucketCount; i += 16 {
		req.Digests[i]++
	}
	node.exchange.joining = false
	for name, f := range map[string]func(){
		"merge":   func() { node.replaceTable(list) },
		"tick":    func() { node.runDetection(time.Now()) },
		"compare": func() { node.newCompareResponse(req, DefaultBytesPerSecond, time.Now()) },
		"reconcile": func() {
			for i := range bucketCount / 4 {
				node.reconcileBucket(&gossipwire.Bucket{Index: uint32(i)}, &gossipwire.ReconcileRequest{}, time.Now())
			}
		},
		"view": func() { node.table.view() },
	} {
		b.Run(fmt.Sprintf("%s/members=%d", name, n), func(b *testing.B) {
			for b.Loop() {
				f()
			}
			var usage syscall.Rusage
			assert.NilError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
			b.ReportMetric(bytes, "bytes/member")
			b.ReportMetric(float64(usage.Maxrss)/1024, "peak-MiB")
		})
	}
}

// eventSizes lists the fleet sizes that TestEvents measures.
var eventSizes = flag.String("events", "", "comma-separated fleet sizes for TestEvents")

// TestEvents measures how fleets handle the events of the design size: a simultaneous
// start, two simultaneous crashes while 20 % of the datagrams are lost, and a partition
// between halves for five minutes, at whose end one node in 50 restarts. It runs only
// with the flag -events.
func TestEvents(t *testing.T) {
	for size := range strings.FieldsFuncSeq(*eventSizes, func(r rune) bool { return r == ',' }) {
		n, err := strconv.Atoi(size)
		assert.NilError(t, err)
		synctest.Test(t, func(t *testing.T) {
			fl := newFleet(t, uint64(n))
			for range n {
				fl.add(registrar.StateReady)
			}
			var start, heal time.Duration
			startBytes, _ := fl.traffic(func() { start = fl.awaitAll(n) })
			t.Logf("n=%d start %v, %.0f B/s", n, start, startBytes)
			time.Sleep(time.Minute)
			t.Logf("n=%d crash %s", n, fl.crashTwo())
			half := n / 2
			fl.withLock(func() { fl.blocked = func(from, to *fakeNode) bool { return (from.index < half) != (to.index < half) } })
			time.Sleep(5 * time.Minute)
			healBytes, _ := fl.traffic(func() {
				for i := 0; i < n; i += 50 {
					fl.nodes[i].kill()
					fl.nodes[i].start(registrar.StateReady)
				}
				fl.withLock(func() { fl.blocked = func(_, _ *fakeNode) bool { return false } })
				heal = fl.awaitAll(n)
			})
			t.Logf("n=%d heal %v, %.0f B/s, largest burst of a node %.0f bytes", n, heal, healBytes, fl.maxPeakLevel())
			fl.assertBudget()
		})
	}
}

// crashTwo kills two nodes while datagrams are lost, and restarts them. It returns how
// long the first and the last of the other nodes took to detect the failure of node-3,
// and the number of false failures.
func (fl *fleet) crashTwo() string {
	node, n := fl.nodes[3], len(fl.nodes)
	rest := fl.allExcept(node, fl.nodes[5])
	failed := func(other *fakeNode) bool { return other.state(node) == registrar.StateFailed }
	fl.withLock(func() { fl.loss = 0.2 })
	node.kill()
	fl.nodes[5].kill()
	start := time.Now()
	for !slices.ContainsFunc(rest, failed) {
		time.Sleep(100 * time.Millisecond)
	}
	first := time.Since(start)
	fl.await("failure detected", time.Minute, rest, failed)
	last := time.Since(start)
	time.Sleep(2 * time.Minute)
	falseFailures := 0
	fl.withLock(func() {
		for _, other := range fl.nodes {
			falseFailures += len(other.falseFailures)
		}
		fl.loss = 0
	})
	node.start(registrar.StateReady)
	fl.nodes[5].start(registrar.StateReady)
	fl.awaitAll(n)
	return fmt.Sprintf("detected at the first node after %v, at the last after %v, %d false failures", first, last, falseFailures)
}

// maxPeakLevel returns the largest burst of any node, in bytes.
func (fl *fleet) maxPeakLevel() float64 {
	highest := 0.0
	fl.withLock(func() {
		for _, node := range fl.nodes {
			highest = max(highest, node.peakLevel)
		}
	})
	return highest
}

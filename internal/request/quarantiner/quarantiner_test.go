package quarantiner_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/banyanscale/banyanscale/internal/request/crashwatcher"
	"github.com/banyanscale/banyanscale/internal/request/fingerprinter"
	"github.com/banyanscale/banyanscale/internal/request/quarantiner"
	"github.com/banyanscale/banyanscale/internal/request/refuser"
	"github.com/banyanscale/banyanscale/pkg/classifier"
)

// runTime is the time between two runs at a node.
const runTime = 50 * time.Millisecond

// node is the quarantine of one node, beside an upstream of its own.
type node struct {
	*quarantiner.Quarantiner
	// runsTrials reports whether the node runs requests on trial.
	runsTrials bool
	peers      []*node
}

// newNodes returns nodes that learn of each other's evidence at once. The first one runs trials.
func newNodes(n int) []*node {
	nodes := make([]*node, n)
	for i := range nodes {
		nodes[i] = &node{runsTrials: i == 0}
	}
	for _, n := range nodes {
		n.peers = nodes
		n.Quarantiner = quarantiner.New(quarantiner.Config{
			RunsTrial: func(quarantiner.Trial) bool { return n.runsTrials },
			OnChange:  func(e quarantiner.Evidence) { go n.spread(e) },
			Scope:     tally.NoopScope, Log: zerolog.Nop(),
		})
	}
	return nodes
}

func (n *node) spread(e quarantiner.Evidence) {
	for _, peer := range n.peers {
		peer.Merge([]quarantiner.Evidence{e})
	}
}

func request(path string) *fingerprinter.Request {
	return fingerprinter.New(httptest.NewRequest(http.MethodGet, "http://vitrina.example"+path, nil))
}

func fingerprint(path string) fingerprinter.Fingerprint {
	f, _ := request(path).Fingerprint()
	return f
}

// run runs a request at the node's upstream, which ends if crashes is true. It returns the
// reason of a refusal.
func (n *node) run(path string, crashes bool) classifier.Reason {
	return n.runAll(crashes, path)[0]
}

// runAll is like run, for requests that run beside each other.
func (n *node) runAll(crashes bool, paths ...string) []classifier.Reason {
	reasons := make([]classifier.Reason, len(paths))
	releases := make([]func(), len(paths))
	for i, path := range paths {
		r := request(path)
		err := n.Check(context.Background(), r)
		if err == nil {
			releases[i], err = n.Start(r)
		}
		var refusal *refuser.Refusal
		if errors.As(err, &refusal) {
			reasons[i] = refusal.Reason()
		}
	}
	crash := crashwatcher.Crash{ID: crashwatcher.CrashID(rand.Uint64()), At: time.Now()}
	for i, path := range paths {
		switch {
		case releases[i] == nil:
			continue
		case crashes:
			n.Crashed(crash, fingerprint(path))
		default:
			n.Survived(request(path))
		}
		releases[i]()
	}
	time.Sleep(runTime)
	synctest.Wait()
	return reasons
}

// quarantine lets the request /a crash upstreams until it is in quarantine.
func quarantine(t *testing.T, nodes []*node) {
	t.Helper()
	for range 3 {
		assert.Equal(t, nodes[0].run("/a", true), classifier.ReasonNone)
	}
	for _, n := range nodes {
		assert.Equal(t, n.run("/a", true), classifier.ReasonQuarantined)
	}
}

func TestQuarantineAfterThreeCrashes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nodes := newNodes(4)
		for _, n := range nodes[1:] {
			assert.Equal(t, n.run("/a", true), classifier.ReasonNone)
		}
		// The last run was apart from others, so that the request is to blame.
		assert.Equal(t, nodes[0].run("/a", true), classifier.ReasonQuarantined)
		assert.Equal(t, nodes[0].run("/b", false), classifier.ReasonNone)
		refusal := nodes[0].Refusal(request("/a"))
		assert.Assert(t, refusal != nil)
		assert.Equal(t, refusal.Outcome(), classifier.NotRun)
		assert.Assert(t, refusal.RetryAfter() > 50*time.Second && refusal.RetryAfter() <= time.Minute, "%v", refusal.RetryAfter())
		assert.Assert(t, nodes[0].Refusal(request("/b")) == nil)
	})
}

// TestRequestBesideCrashingOneIsNotQuarantined guards against a quarantine of a request that was only in flight in crashes.
func TestRequestBesideCrashingOneIsNotQuarantined(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nodes := newNodes(4)
		for id, n := range nodes { // All four end before any node knows of the others.
			crash := crashwatcher.Crash{ID: crashwatcher.CrashID(id), At: time.Now()}
			n.Crashed(crash, fingerprint("/crashing"))
			n.Crashed(crash, fingerprint("/innocent"))
			time.Sleep(runTime)
		}
		synctest.Wait()
		assert.Equal(t, nodes[1].run("/innocent", false), classifier.ReasonSuspected)
		assert.Equal(t, nodes[0].run("/innocent", false), classifier.ReasonNone)
		assert.Equal(t, nodes[1].run("/innocent", false), classifier.ReasonNone)
		assert.Equal(t, nodes[0].run("/crashing", true), classifier.ReasonNone)
		assert.Equal(t, nodes[0].run("/crashing", true), classifier.ReasonQuarantined)
		assert.Equal(t, nodes[1].run("/innocent", false), classifier.ReasonNone)
	})
}

func TestSuspectedRequestsRunApart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nodes := newNodes(2)
		for range 2 {
			nodes[1].runAll(true, "/a", "/b")
		}
		reasons := nodes[1].runAll(false, "/a", "/b", "/c")
		assert.DeepEqual(t, reasons, []classifier.Reason{classifier.ReasonNone, classifier.ReasonSuspected, classifier.ReasonNone})
		assert.Equal(t, nodes[1].run("/b", false), classifier.ReasonNone)
		reasons = nodes[1].runAll(false, "/a", "/b")
		assert.DeepEqual(t, reasons, []classifier.Reason{classifier.ReasonNone, classifier.ReasonNone})
	})
}

// TestRequestThatStartedBeforeItWasSuspectedRunsApart guards against a request that is blamed for a crash by one that was in flight already when both were suspected.
func TestRequestThatStartedBeforeItWasSuspectedRunsApart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nodes := newNodes(2)
		release, err := nodes[0].Start(request("/crashing"))
		assert.NilError(t, err)
		for range 2 {
			nodes[1].runAll(true, "/crashing", "/innocent")
		}
		assert.Equal(t, nodes[0].run("/innocent", true), classifier.ReasonSuspected)
		release()
		assert.Equal(t, nodes[0].run("/innocent", false), classifier.ReasonNone)
	})
}

// TestPopularRequestIsNotSuspectedOfOtherCrashes guards against a quarantine of a popular request while upstreams crash for another reason.
func TestPopularRequestIsNotSuspectedOfOtherCrashes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nodes := newNodes(8)
		for round := range 50 {
			for i, n := range nodes {
				for range 3 {
					assert.Equal(t, n.run("/popular", false), classifier.ReasonNone)
				}
				if (round+i)%2 == 0 {
					n.runAll(true, "/popular", fmt.Sprintf("/once/%d/%d", round, i))
				}
			}
		}
	})
}

// TestFrequentRequestThatStartsToCrashIsQuarantined guards against a request that used to run well, and crashes upstreams since some data or a release changed.
func TestFrequentRequestThatStartsToCrashIsQuarantined(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nodes := newNodes(4)
		for _, n := range nodes {
			for range 100 {
				assert.Equal(t, n.run("/a", false), classifier.ReasonNone)
			}
		}
		quarantine(t, nodes)
	})
}

// TestUpstreamsThatEndAtTheSameMomentCountOnce guards against a quarantine of a request that was in flight at several upstreams when all ended for another reason.
func TestUpstreamsThatEndAtTheSameMomentCountOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nodes := newNodes(4)
		for round := range 1 {
			for i, n := range nodes {
				crash := crashwatcher.Crash{ID: crashwatcher.CrashID(10*round + i), At: time.Now()}
				n.Crashed(crash, fingerprint("/a"))
				time.Sleep(time.Millisecond)
			}
			time.Sleep(time.Second)
		}
		for _, n := range nodes {
			assert.Equal(t, n.Evidence()[0].Standing(time.Now()), quarantiner.OnTrial)
		}
		assert.Equal(t, nodes[0].run("/a", true), classifier.ReasonNone)
		assert.Equal(t, nodes[1].run("/a", false), classifier.ReasonSuspected)
		assert.Equal(t, nodes[0].run("/a", false), classifier.ReasonNone)
		for _, n := range nodes {
			assert.Equal(t, n.run("/a", false), classifier.ReasonNone)
		}
	})
}

// TestCrashesOfAnotherCauseNeedMoreEvidence guards against a quarantine of a request that was in flight by chance in each of three crashes, among others in which it was not.
func TestCrashesOfAnotherCauseNeedMoreEvidence(t *testing.T) {
	for name, other := range map[string]func(n *node){
		"another request crashed": func(n *node) { n.run("/b", true) },
		"both crashed":            func(n *node) { n.runAll(true, "/a", "/b") },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				nodes := newNodes(4)
				assert.Equal(t, nodes[0].run("/a", true), classifier.ReasonNone)
				other(nodes[1])
				chance := name == "another request crashed"
				if chance {
					assert.Equal(t, nodes[2].run("/a", true), classifier.ReasonNone)
				}
				assert.Equal(t, nodes[0].run("/a", true), classifier.ReasonNone)
				want := classifier.ReasonQuarantined
				if chance {
					want = classifier.ReasonNone
				}
				assert.Equal(t, nodes[0].run("/a", true), want)
				assert.Equal(t, nodes[0].run("/a", true), classifier.ReasonQuarantined)
				assert.Equal(t, nodes[0].run("/b", false), classifier.ReasonNone)
			})
		})
	}
}

// TestCrashOfTheFirstRunAfterAllUpstreamsEndedQuarantinesNothing guards against a quarantine of a request that was in flight at one upstream that ended, then at several that ended at the same moment, and runs on trial at one that ends once more.
func TestCrashOfTheFirstRunAfterAllUpstreamsEndedQuarantinesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nodes := newNodes(4)
		assert.Equal(t, nodes[0].run("/a", true), classifier.ReasonNone)
		time.Sleep(200 * time.Millisecond)
		for i, n := range nodes[1:] {
			n.Crashed(crashwatcher.Crash{ID: crashwatcher.CrashID(i), At: time.Now()}, fingerprint("/a"))
		}
		time.Sleep(3 * time.Second) // No upstream can respond.
		assert.Equal(t, nodes[0].run("/a", true), classifier.ReasonNone)
		assert.Equal(t, nodes[0].run("/a", true), classifier.ReasonNone)
		refusal := nodes[1].Refusal(request("/a")) // Two runs apart were enough.
		assert.Assert(t, refusal != nil)
		assert.Assert(t, refusal.RetryAfter() <= time.Minute, "%v", refusal.RetryAfter())
	})
}

func TestOneResponseEndsSuspicion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nodes := newNodes(2)
		for range 5 {
			for range 2 {
				assert.Equal(t, nodes[1].run("/a", true), classifier.ReasonNone)
			}
			assert.Equal(t, nodes[1].run("/a", false), classifier.ReasonNone)
		}
	})
}

func TestQuarantineEndsWithTrials(t *testing.T) {
	for name, tc := range map[string]struct {
		crashes bool
		after   classifier.Reason
	}{
		"it still crashes":  {true, classifier.ReasonQuarantined},
		"it does no longer": {false, classifier.ReasonNone},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				nodes := newNodes(3)
				quarantine(t, nodes)
				time.Sleep(time.Minute)
				assert.Equal(t, nodes[1].run("/a", tc.crashes), classifier.ReasonSuspected)
				assert.Equal(t, nodes[0].run("/a", tc.crashes), classifier.ReasonNone)
				assert.Equal(t, nodes[1].run("/a", tc.crashes), tc.after)
			})
		})
	}
}

// TestQuarantinedRequestRunsAtMostThreeTimesMore guards against trials without end.
func TestQuarantinedRequestRunsAtMostThreeTimesMore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nodes := newNodes(3)
		quarantine(t, nodes)
		runs := 0
		for range 2 * 60 * 60 {
			time.Sleep(time.Second)
			if nodes[0].run("/a", true) == classifier.ReasonNone {
				runs++
			}
		}
		assert.Assert(t, runs > 0 && runs <= 3, "%d runs", runs)
	})
}

func TestLift(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nodes := newNodes(3)
		quarantine(t, nodes)
		assert.Assert(t, !nodes[1].Lift(fingerprint("/b")))
		assert.Assert(t, nodes[1].Lift(fingerprint("/a")))
		time.Sleep(runTime)
		for _, n := range nodes {
			assert.Equal(t, n.run("/a", false), classifier.ReasonNone)
		}
		quarantine(t, nodes) // The evidence from before does not count.
	})
}

// TestMergeInAnyOrder guards against nodes that know the same and conclude differently.
func TestMergeInAnyOrder(t *testing.T) {
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, seed))
			now := time.Now()
			var changes []quarantiner.Evidence
			for i := range 60 {
				crash := quarantiner.Crash{
					Crash: crashwatcher.Crash{ID: crashwatcher.CrashID(i % 6), At: now.Add(-time.Duration(i%6) * time.Second)},
					Apart: random.IntN(3) == 0, Survived: random.IntN(4) == 0,
				}
				path := fmt.Sprint("/", i%6%2)
				changes = append(changes, quarantiner.Evidence{Fingerprint: fingerprint(path), Crashes: []quarantiner.Crash{crash}})
			}
			first, second := newNodes(1)[0], newNodes(1)[0]
			first.Merge(changes)
			random.Shuffle(len(changes), func(i, j int) { changes[i], changes[j] = changes[j], changes[i] })
			for _, c := range append(changes, changes[:10]...) {
				second.Merge([]quarantiner.Evidence{c})
			}
			assert.Equal(t, first.Digest(), second.Digest())
			assert.DeepEqual(t, first.Evidence(), second.Evidence())
		})
	}
}

// TestMergeOfManyInAnyOrder guards against nodes that keep different ones of many crashes of one request,
// and so would compare and send all evidence for two hours.
func TestMergeOfManyInAnyOrder(t *testing.T) {
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(2, seed))
			now := time.Now()
			var changes []quarantiner.Evidence
			for i := range 2 * quarantiner.MaxCrashes { // Three upstreams at a time end at the same moment.
				at := now.Add(-time.Duration(i/3) * time.Second)
				crash := quarantiner.Crash{Crash: crashwatcher.Crash{ID: crashwatcher.CrashID(random.Uint64()), At: at}}
				changes = append(changes, quarantiner.Evidence{Fingerprint: fingerprint("/a"), Crashes: []quarantiner.Crash{crash}})
			}
			first, second := newNodes(1)[0], newNodes(1)[0]
			first.Merge(changes)
			random.Shuffle(len(changes), func(i, j int) { changes[i], changes[j] = changes[j], changes[i] })
			for _, c := range append(changes, changes[:10]...) {
				second.Merge([]quarantiner.Evidence{c})
			}
			assert.Equal(t, first.Digest(), second.Digest())
			assert.DeepEqual(t, first.Evidence(), second.Evidence())
		})
	}
}

// TestCrashThatIsLearnedToBeOlderIsReordered guards against evidence whose newest crash depends on the
// order in which messages of different delay arrive.
func TestCrashThatIsLearnedToBeOlderIsReordered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		now := time.Now()
		evidence := func(id crashwatcher.CrashID, age time.Duration) quarantiner.Evidence {
			crash := quarantiner.Crash{Crash: crashwatcher.Crash{ID: id, At: now.Add(-age)}}
			return quarantiner.Evidence{Fingerprint: fingerprint("/a"), Crashes: []quarantiner.Crash{crash}}
		}
		late, other, early := evidence(1, 0), evidence(2, time.Second), evidence(1, 2*time.Second)
		first, second := newNodes(1)[0], newNodes(1)[0]
		first.Merge([]quarantiner.Evidence{late, other, early})
		second.Merge([]quarantiner.Evidence{early, other, late})
		assert.DeepEqual(t, first.Evidence(), second.Evidence())
	})
}

// TestEvidenceIsBounded guards against memory without bound, and against one request that crashes upstreams and is forgotten for many that do not.
func TestEvidenceIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nodes := newNodes(1)
		quarantine(t, nodes)
		for i := range 5000 {
			crash := crashwatcher.Crash{ID: crashwatcher.CrashID(i), At: time.Now()}
			nodes[0].Crashed(crash, fingerprint(fmt.Sprint("/once/", i)))
		}
		assert.Assert(t, len(nodes[0].Evidence()) <= 1024)
		assert.Equal(t, nodes[0].run("/a", true), classifier.ReasonQuarantined)
		time.Sleep(3 * time.Hour)
		assert.Equal(t, len(nodes[0].Evidence()), 0)
		assert.Equal(t, nodes[0].Digest(), uint64(0))
	})
}

// upload returns a request with a streamed body.
func upload(body string) *fingerprinter.Request {
	r := httptest.NewRequest(http.MethodPost, "http://vitrina.example/upload", io.NopCloser(strings.NewReader(body)))
	r.ContentLength = int64(len(body))
	return fingerprinter.New(r)
}

// TestUploadsAreHeldInBoundedMemory guards against bodies that are held in memory without need, without bound, or for longer than their requests.
func TestUploadsAreHeldInBoundedMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const size, fitting = 1 << 20, 8
		n := newNodes(1)[0]
		body := strings.Repeat("x", size)
		sent := upload(body)
		assert.NilError(t, sent.Buffer(func(int) bool { return true }))
		f, _ := sent.Fingerprint()
		n.Crashed(crashwatcher.Crash{ID: 1, At: time.Now()}, f)
		assert.Assert(t, !n.MayHold(upload(body)), "one crash holds nothing")
		n.Crashed(crashwatcher.Crash{ID: 2, At: time.Now()}, f)
		assert.Assert(t, n.MayHold(upload(body)))
		for range 3 {
			ctx, cancel := context.WithCancel(t.Context())
			for range fitting {
				assert.NilError(t, n.Check(ctx, upload(body)))
			}
			var refusal *refuser.Refusal
			assert.Assert(t, errors.As(n.Check(ctx, upload(body)), &refusal))
			assert.Equal(t, refusal.Reason(), classifier.ReasonSuspected)
			assert.Equal(t, refusal.Outcome(), classifier.NotRun)
			cancel()
			synctest.Wait()
		}
	})
}

package noticer

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
)

const (
	limited  = "upstream=i-1;started-ms=1777447491316;rate-limit=5.8"
	draining = "upstream=i-1;started-ms=1777447491316;draining=1"
)

func TestNoticeRoundTrip(t *testing.T) {
	start := time.UnixMilli(1777447491316)
	for want, notice := range map[string]Notice{
		"":       {Upstream: "i-1", StartedAt: start},
		limited:  {Upstream: "i-1", StartedAt: start, RateLimit: 5.8},
		draining: {Upstream: "i-1", StartedAt: start, Draining: true},
		"upstream=a%3B%3Db;draining=1;rate-limit=0.25": {Upstream: "a;=b", Draining: true, RateLimit: 0.25},
	} {
		t.Run(want, func(t *testing.T) {
			assert.Equal(t, notice.String(), want)
			if want == "" {
				return
			}
			parsed, err := Parse(want)
			assert.NilError(t, err)
			assert.Equal(t, parsed, notice)
		})
	}
}

func TestMalformedNoticesAreRejected(t *testing.T) {
	for _, s := range []string{
		"", "upstream=i-1", "upstream=i-1;draining=2", "upstream=i-1;rate-limit=NaN", "upstream=i-1;rate-limit=Inf",
		"upstream=i-1;rate-limit=-1", "draining=1;upstream=i-1", limited + ";x=1", limited + ";",
		"upstream=" + strings.Repeat("i", maxNoticeBytes) + ";draining=1",
	} {
		_, err := Parse(s)
		assert.ErrorIs(t, err, ErrMalformed, "%q", s)
	}
}

// FuzzParse checks that Parse accepts only text that String writes.
func FuzzParse(f *testing.F) {
	f.Add(limited)
	f.Add(draining)
	f.Fuzz(func(t *testing.T, s string) {
		if n, err := Parse(s); err == nil {
			assert.Equal(t, n.String(), s)
		}
	})
}

// runBoard runs a test in fake time with a board that holds a notice of instance "x",
// received now.
func runBoard(t *testing.T, held string, test func(t *testing.T, b *Board)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		b := NewBoard()
		assert.NilError(t, b.Record("x", held, time.Now()))
		test(t, b)
	})
}

func TestBoardKeepsLatestNotice(t *testing.T) {
	for name, tc := range map[string]struct {
		held, received string
		sent           time.Duration // After the held notice was received.
		want           string
	}{
		"limit ended":                        {limited, "", time.Second, ""},
		"limit in an earlier response":       {limited, "", -time.Second, limited},
		"draining after a limit":             {limited, draining, -time.Second, draining},
		"limit in an overtaken response":     {draining, limited, -time.Second, draining},
		"nothing in an overtaken response":   {draining, "", -time.Second, draining},
		"limit of the upstream that follows": {draining, limited, time.Second, limited},
		"malformed":                          {limited, "draining", time.Second, limited},
	} {
		t.Run(name, func(t *testing.T) {
			runBoard(t, tc.held, func(t *testing.T, b *Board) {
				sentAt := time.Now().Add(tc.sent)
				time.Sleep(2 * time.Second)
				err := b.Record("x", tc.received, sentAt)
				assert.Equal(t, errors.Is(err, ErrMalformed), name == "malformed")
				assert.Equal(t, b.Notice("x"), tc.want)
			})
		})
	}
}

func TestNoticeOfInstanceOutOfViewIsKeptForRetention(t *testing.T) {
	runBoard(t, draining, func(t *testing.T, b *Board) {
		outOfView := func(string) bool { return false }
		time.Sleep(retention)
		b.Retain(outOfView)
		assert.Equal(t, b.Notice("x"), draining)
		time.Sleep(time.Second)
		b.Retain(outOfView)
		assert.Equal(t, b.Notice("x"), "")
	})
}

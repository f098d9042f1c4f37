package compiler_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/banyanscale/banyanscale/internal/version/compiler"
	"github.com/banyanscale/banyanscale/internal/wire/controlwire"
)

const benchmarkServices = 190

// fleetFiles returns a base file and one overlay per site, each of which sets three
// keys of each service.
func fleetFiles(sites int) []compiler.Source {
	var text strings.Builder
	text.WriteString("[owner talleres]\nidle-rate = 0.25\ncurrency = MXN\n")
	for i := range benchmarkServices {
		fmt.Fprintf(&text, "[service s-%d]\nowner = talleres\nhosts = s-%d.example\ntimeout = %dms\n"+
			"priority = high\nretry-percent = 5%%\nprobe-messages = 10\nprobe-bytes = 1000\n", i, i, 500+i)
	}
	files := []compiler.Source{{Name: "base.ini", Data: []byte(text.String())}}
	for s := range sites {
		text.Reset()
		fmt.Fprintf(&text, "[site]\nname = site-%d\nregion = sur\nfailure-domains = a, b\n", s)
		for i := range benchmarkServices {
			fmt.Fprintf(&text, "[service s-%d]\nslots = %d\nconnections = 240\nqueue-length = 24\n", i, 6+s)
		}
		files = append(files, compiler.Source{Name: fmt.Sprintf("site-%d.ini", s), Data: []byte(text.String())})
	}
	return files
}

func benchmarkSites(b *testing.B, run func(b *testing.B, doc *controlwire.Document, files []compiler.Source)) {
	for _, sites := range []int{2, 4, 6, 8, 10} {
		b.Run(fmt.Sprintf("sites=%d", sites), func(b *testing.B) {
			files := fleetFiles(sites)
			doc, err := compiler.Parse(files)
			assert.NilError(b, err)
			b.ReportAllocs()
			before := cpuTime(b)
			run(b, doc, files)
			b.ReportMetric(float64(cpuTime(b)-before)/float64(b.N), "cpu-ns/op")
		})
	}
}

// cpuTime returns the CPU time that the process has used. Unlike elapsed time it does
// not include waiting for a busy CPU.
func cpuTime(b *testing.B) time.Duration {
	var usage unix.Rusage
	assert.NilError(b, unix.Getrusage(unix.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkEncodedSize reports the size of a version in each form in which it could
// be sent: as entries, as the text of the files, or as all settings of each site.
func BenchmarkEncodedSize(b *testing.B) {
	benchmarkSites(b, func(b *testing.B, doc *controlwire.Document, files []compiler.Source) {
		var text, copies int
		for b.Loop() {
			text, copies = 0, 0
			for _, file := range files {
				text += len(file.Data)
			}
			for _, site := range compiler.Sites(doc) {
				copies += len(compiler.FormatEffective(doc, site))
			}
		}
		b.ReportMetric(float64(proto.Size(doc)), "entries-B")
		b.ReportMetric(float64(text), "text-B")
		b.ReportMetric(float64(copies), "full-copies-B")
	})
}

func BenchmarkOperations(b *testing.B) {
	for name, operation := range map[string]func(*controlwire.Document, []compiler.Source) error{
		"parse": func(_ *controlwire.Document, files []compiler.Source) error {
			_, err := compiler.Parse(files)
			return err
		},
		"check": func(doc *controlwire.Document, _ []compiler.Source) error { return compiler.CheckAll(doc) },
		"compile": func(doc *controlwire.Document, _ []compiler.Source) error {
			_, err := compiler.Compile(doc, "site-0", 1)
			return err
		},
		"digest": func(doc *controlwire.Document, _ []compiler.Source) error { compiler.Digest(doc); return nil },
	} {
		b.Run(name, func(b *testing.B) {
			benchmarkSites(b, func(b *testing.B, doc *controlwire.Document, files []compiler.Source) {
				for b.Loop() {
					assert.NilError(b, operation(doc, files))
				}
			})
		})
	}
}

func BenchmarkApply(b *testing.B) {
	benchmarkSites(b, func(b *testing.B, doc *controlwire.Document, _ []compiler.Source) {
		next := proto.CloneOf(doc)
		next.Entries[0].Value = "0.50"
		changes := compiler.Diff(doc, next)
		delta := &controlwire.Delta{
			Base:    &controlwire.VersionDigest{Number: 8100, Digest: compiler.Digest(doc)},
			Target:  &controlwire.VersionDigest{Number: 8101, Digest: compiler.Digest(next)},
			Changes: changes,
		}
		for b.Loop() {
			_, err := compiler.Apply(doc, changes)
			assert.NilError(b, err)
		}
		b.ReportMetric(float64(proto.Size(delta)), "delta-B")
	})
}

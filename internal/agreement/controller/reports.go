package controller

import (
	"slices"
	"strings"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/banyanscale/banyanscale/internal/wire/controlwire"
)

// reportRetention is how long the last report of an instance is kept.
const reportRetention = 10 * time.Minute

// versionReports records which version each instance last reported as in force.
type versionReports struct {
	mu         sync.Mutex
	byInstance map[string]*controlwire.InForce
}

func newVersionReports() *versionReports {
	return &versionReports{byInstance: make(map[string]*controlwire.InForce)}
}

// add records a report, unless it is from an older incarnation than the last one.
func (r *versionReports) add(report *controlwire.InForce, now time.Time) {
	report = proto.Clone(report).(*controlwire.InForce)
	report.ReportedUnixMs = now.UnixMilli()
	r.mu.Lock()
	defer r.mu.Unlock()
	last := r.byInstance[report.GetInstance()]
	if last.GetIncarnation() > report.GetIncarnation() {
		return
	}
	r.byInstance[report.GetInstance()] = report
}

// list returns the reports within reportRetention, ordered by instance, and drops older
// ones.
func (r *versionReports) list(now time.Time) []*controlwire.InForce {
	r.mu.Lock()
	defer r.mu.Unlock()
	oldest := now.Add(-reportRetention).UnixMilli()
	var list []*controlwire.InForce
	for instance, report := range r.byInstance {
		if report.GetReportedUnixMs() < oldest {
			delete(r.byInstance, instance)
			continue
		}
		list = append(list, report)
	}
	slices.SortFunc(list, func(a, b *controlwire.InForce) int { return strings.Compare(a.GetInstance(), b.GetInstance()) })
	return list
}

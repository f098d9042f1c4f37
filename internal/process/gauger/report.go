package gauger

import (
	"fmt"

	"github.com/pkg/errors"
)

// ErrReport reports text that is not a report.
var ErrReport = errors.New("malformed report")

// reportFormat is the form of a report in classifier.HeaderUpstreamLoad.
const reportFormat = "running=%d;waiting=%d;slots=%d;slowness-percent=%d"

// ParseReport reads a report as String writes it.
func ParseReport(s string) (Report, error) {
	var r Report
	if _, err := fmt.Sscanf(s, reportFormat, &r.Running, &r.Waiting, &r.Slots, &r.SlownessPercent); err != nil {
		return Report{}, errors.Wrapf(ErrReport, "%q", s)
	}
	return r, nil
}

// String returns the report as the value of a header.
func (r Report) String() string {
	return fmt.Sprintf(reportFormat, r.Running, r.Waiting, r.Slots, r.SlownessPercent)
}

package gauger

import (
	"fmt"

	"github.com/pkg/errors"
)

// ErrMalformedReport means that text is not a load report.
var ErrMalformedReport = errors.New("malformed load report")

// reportFormat is the format of a report in classifier.HeaderUpstreamLoad.
const reportFormat = "running=%d;waiting=%d;slots=%d;slowness-percent=%d"

// Bounds of the fields of a report.
const (
	maxCount           = 1 << 20
	maxSlownessPercent = 60_000
)

// ParseReport parses a report written by Report.String. It returns ErrMalformedReport for one whose
// numbers no upstream can have.
func ParseReport(s string) (Report, error) {
	var r Report
	if _, err := fmt.Sscanf(s, reportFormat, &r.Running, &r.Waiting, &r.Slots, &r.SlownessPercent); err != nil {
		return Report{}, errors.Wrapf(ErrMalformedReport, "%q", s)
	}
	if !r.plausible() || r.String() != s {
		return Report{}, errors.Wrapf(ErrMalformedReport, "%q is out of bounds or not canonical", s)
	}
	return r, nil
}

// plausible reports whether each field is within its bounds.
func (r Report) plausible() bool {
	for _, n := range []int{r.Running, r.Waiting, r.Slots} {
		if n < 0 || n > maxCount {
			return false
		}
	}
	return r.SlownessPercent >= 0 && r.SlownessPercent <= maxSlownessPercent
}

// String returns the report as a header value.
func (r Report) String() string {
	return fmt.Sprintf(reportFormat, r.Running, r.Waiting, r.Slots, r.SlownessPercent)
}

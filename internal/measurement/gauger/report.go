package gauger

import (
	"fmt"

	"github.com/pkg/errors"
)

// ErrMalformedReport means that text is not a load report.
var ErrMalformedReport = errors.New("malformed load report")

// reportFormat is the format of a report in classifier.HeaderUpstreamLoad.
const reportFormat = "running=%d;waiting=%d;slots=%d;slowness-percent=%d"

// ParseReport parses a report written by Report.String.
func ParseReport(s string) (Report, error) {
	var r Report
	if _, err := fmt.Sscanf(s, reportFormat, &r.Running, &r.Waiting, &r.Slots, &r.SlownessPercent); err != nil {
		return Report{}, errors.Wrapf(ErrMalformedReport, "%q", s)
	}
	return r, nil
}

// String returns the report as a header value.
func (r Report) String() string {
	return fmt.Sprintf(reportFormat, r.Running, r.Waiting, r.Slots, r.SlownessPercent)
}

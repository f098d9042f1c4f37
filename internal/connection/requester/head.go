package requester

import (
	"fmt"
	"net/http"

	"github.com/pkg/errors"

	"github.com/banyanscale/banyanscale/internal/connection/fieldchecker"
)

// Status codes of HTTP. All others are invalid (RFC 9110, section 15).
const (
	minStatus = http.StatusContinue
	maxStatus = 599
)

// checkHead returns an error if a head that net/http accepts is none of HTTP/1: it takes any three
// digits for a status, and any field that fieldchecker finds.
func checkHead(resp *http.Response) error {
	if resp.StatusCode < minStatus || resp.StatusCode > maxStatus || resp.ProtoMajor != 1 {
		return errors.Wrapf(errBadStatus, "%.16s %.64q", resp.Proto, resp.Status)
	}
	if err := fieldchecker.Check(resp.Header); err != nil {
		return fmt.Errorf("check header: %w", err)
	}
	if err := fieldchecker.Check(resp.Trailer); err != nil {
		return fmt.Errorf("check names of trailers: %w", err)
	}
	return nil
}

package generator

import (
	"bufio"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"github.com/banyanscale/banyanscale/internal/testbed/emulator"
)

// checkResponse reads a response to its end and compares its body with the one
// that the stand-in sends for the job. It returns an error if reading fails,
// that is, if the caller can see that the response is incomplete.
func checkResponse(resp *http.Response, j job, body string) (bodyFault, error) {
	if resp.StatusCode >= http.StatusBadRequest {
		_, err := io.Copy(io.Discard, resp.Body)
		return faultNone, wrapReadError(err)
	}
	if size, ok := strings.CutPrefix(j.mix.Path, "/guide/"); ok {
		return checkGuide(resp.Body, size)
	}
	got, err := io.ReadAll(resp.Body)
	if err != nil {
		return faultNone, wrapReadError(err)
	}
	sum := sha256.Sum256([]byte(body))
	want := fmt.Sprintf("%s %s %s\n", j.mix.Method, j.id, hex.EncodeToString(sum[:8]))
	switch {
	case j.mix.Method == http.MethodHead || string(got) == want:
		return faultNone, nil
	case strings.HasPrefix(want, string(got)):
		return faultTruncated, nil
	default:
		return faultForeign, nil
	}
}

// checkGuide compares a guide of the given size with the expected bytes.
func checkGuide(r io.Reader, size string) (bodyFault, error) {
	want, err := strconv.ParseInt(size, 10, 64)
	if err != nil {
		return faultForeign, fmt.Errorf("parse size of the guide: %w", err)
	}
	br := bufio.NewReader(r)
	for n := int64(0); ; n++ {
		b, err := br.ReadByte()
		switch {
		case errors.Is(err, io.EOF) && n == want:
			return faultNone, nil
		case errors.Is(err, io.EOF):
			return faultTruncated, nil
		case err != nil:
			return faultNone, wrapReadError(err)
		case n >= want || b != emulator.GuideByte(n):
			return faultForeign, nil
		}
	}
}

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

	"github.com/banyanscale/banyanscale/internal/process/emulator"
)

// checkAnswer reads an answer to its end and compares it with what the
// stand-in must have sent. The error tells that the answer broke off visibly.
func checkAnswer(resp *http.Response, j job, body string) (answerCheck, error) {
	if resp.StatusCode >= http.StatusBadRequest {
		_, err := io.Copy(io.Discard, resp.Body)
		return answerWhole, wrapRead(err)
	}
	if size, ok := strings.CutPrefix(j.mix.Path, "/guide/"); ok {
		return checkGuide(resp.Body, size)
	}
	got, err := io.ReadAll(resp.Body)
	if err != nil {
		return answerWhole, wrapRead(err)
	}
	sum := sha256.Sum256([]byte(body))
	want := fmt.Sprintf("%s %s %s\n", j.mix.Method, j.id, hex.EncodeToString(sum[:8]))
	switch {
	case j.mix.Method == http.MethodHead || string(got) == want:
		return answerWhole, nil
	case strings.HasPrefix(want, string(got)):
		return answerCut, nil
	default:
		return answerForeign, nil
	}
}

func checkGuide(r io.Reader, size string) (answerCheck, error) {
	want, err := strconv.ParseInt(size, 10, 64)
	if err != nil {
		return answerForeign, fmt.Errorf("size of the guide: %w", err)
	}
	br := bufio.NewReader(r)
	for n := int64(0); ; n++ {
		b, err := br.ReadByte()
		switch {
		case errors.Is(err, io.EOF) && n == want:
			return answerWhole, nil
		case errors.Is(err, io.EOF):
			return answerCut, nil
		case err != nil:
			return answerWhole, wrapRead(err)
		case n >= want || b != emulator.GuideByte(n):
			return answerForeign, nil
		}
	}
}

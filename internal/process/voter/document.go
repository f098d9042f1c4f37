package voter

import (
	"slices"
	"strings"

	"github.com/banyanscale/banyanscale/internal/wire/controlwire"
)

// Where the base file names the addresses of the voters.
const (
	controlSection = "control"
	votersKey      = "voters"
)

// voterAddresses returns the addresses of the voters that the document names,
// in order and each once, or none.
func voterAddresses(doc *controlwire.Document) []string {
	for _, e := range doc.GetEntries() {
		if e.GetLayer() == "" && e.GetSection() == controlSection && e.GetKey() == votersKey {
			return splitAddresses(e.GetValue())
		}
	}
	return nil
}

func splitAddresses(value string) []string {
	list := strings.FieldsFunc(value, func(r rune) bool { return r == ',' || r == ' ' || r == '\t' })
	slices.Sort(list)
	return slices.Compact(list)
}

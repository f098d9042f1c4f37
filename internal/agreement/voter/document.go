package voter

import (
	"slices"
	"strings"

	"github.com/banyanscale/banyanscale/internal/wire/controlwire"
)

// Section and key of the base file that list the addresses of the voters.
const (
	controlSection = "control"
	votersKey      = "voters"
)

// documentVoters returns the addresses of the voters that the document names,
// sorted and without duplicates, or nil.
func documentVoters(doc *controlwire.Document) []string {
	for _, e := range doc.GetEntries() {
		if e.GetLayer() == "" && e.GetSection() == controlSection && e.GetKey() == votersKey {
			return parseAddresses(e.GetValue())
		}
	}
	return nil
}

func parseAddresses(text string) []string {
	addresses := strings.FieldsFunc(text, func(r rune) bool { return r == ',' || r == ' ' || r == '\t' })
	slices.Sort(addresses)
	return slices.Compact(addresses)
}

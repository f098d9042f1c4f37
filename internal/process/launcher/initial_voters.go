package launcher

import (
	"net/netip"
	"slices"
	"strings"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/banyanscale/banyanscale/internal/agreement/journaler"
	"github.com/banyanscale/banyanscale/internal/version/parser"
)

// initialVotersBlob is the name of the blob of the first voters' addresses in the data folder, one
// a line.
const initialVotersBlob = "initial-voters"

// initialVoters returns the addresses of the first voters: those in the settings or, without any,
// those in the settings of an earlier start on the same data folder. Settings may name them only at
// the very first start, and the process may end before the group has formed.
//
// Without the blob an instance still works once the group has formed, so that a failure is only
// logged.
func initialVoters(store blobStore, settings []netip.AddrPort, log zerolog.Logger) []netip.AddrPort {
	stored, err := readInitialVoters(store)
	if err != nil && !errors.Is(err, journaler.ErrNotFound) {
		log.Warn().Err(err).Msg("Failed to read the first voters.")
	}
	if len(settings) == 0 {
		return stored
	}
	if slices.Equal(stored, settings) {
		return settings
	}
	if err := store.WriteBlob(initialVotersBlob, []byte(strings.Join(addressStrings(settings), "\n"))); err != nil {
		log.Warn().Err(err).Msg("Failed to store the first voters.")
	}
	return settings
}

func readInitialVoters(store blobStore) ([]netip.AddrPort, error) {
	data, err := store.ReadBlob(initialVotersBlob)
	if err != nil {
		return nil, err
	}
	var list []netip.AddrPort
	for line := range strings.FieldsSeq(string(data)) {
		address, err := parser.Address(line)
		if err != nil {
			return nil, err
		}
		list = append(list, address)
	}
	return list, nil
}

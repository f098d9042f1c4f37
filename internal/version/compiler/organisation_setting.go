package compiler

import (
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"github.com/banyanscale/banyanscale/internal/version/parser"
)

const keyAPIKeys = "api-keys"

// organisationSettings lists the keys of an organisation's section, in the order of
// OrganisationSpec.
var organisationSettings = []setting[OrganisationSpec]{
	{key: keyAPIKeys, set: setAPIKeys, get: getAPIKeys},
	{key: "rank", set: setOrganisationRank, get: getOrganisationRank},
	numberSetting("rate", 0, maxRatePerSecond, func(s *OrganisationSpec) *float64 { return &s.Rate }),
	numberSetting("burst", 0, maxRatePerSecond, func(s *OrganisationSpec) *float64 { return &s.Burst }),
}

var organisationSettingsByKey = byKey(organisationSettings)

// setAPIKeys parses a list of API keys. Its errors don't contain them.
func setAPIKeys(s *OrganisationSpec, value string) error {
	s.APIKeys = nil
	if value == noAPIKeys {
		return nil
	}
	for key := range strings.SplitSeq(value, ",") {
		key = strings.TrimSpace(key)
		if key == "" {
			return errors.New("the list of API keys contains an empty item")
		}
		if err := checkAPIKey(key); err != nil {
			return err
		}
		s.APIKeys = append(s.APIKeys, key)
	}
	return nil
}

func getAPIKeys(s *OrganisationSpec) string {
	if len(s.APIKeys) == 0 {
		return noAPIKeys
	}
	return strings.Join(s.APIKeys, ", ")
}

func setOrganisationRank(s *OrganisationSpec, value string) (err error) {
	s.Rank, s.Ranked = 0, value != noRank
	if s.Ranked {
		s.Rank, err = parser.Int(value, 0, MaxRank)
	}
	return err
}

func getOrganisationRank(s *OrganisationSpec) string {
	if !s.Ranked {
		return noRank
	}
	return strconv.Itoa(s.Rank)
}

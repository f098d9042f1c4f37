package compiler

// Kinds of sections.
const (
	kindControl = "control"
	kindOwner   = "owner"
	kindService = "service"
	kindSite    = "site"
)

// Keys that are not read by a setting of a service alone.
const (
	keyCurrency       = "currency"
	keyFailureDomains = "failure-domains"
	keyIdleRate       = "idle-rate"
	keyName           = "name"
	keyOwner          = "owner"
	keyRegion         = "region"
	keyVoters         = "voters"
)

// Bounds of what operators and instances may set.
const (
	// MaxVoters bounds the voters among the control instances.
	MaxVoters = 7
	// MaxSlots bounds the slots of one instance.
	MaxSlots = 10_000
	// MaxConnections bounds the connections to one upstream.
	MaxConnections = 100_000
)

var (
	controlKeys = []string{keyVoters}
	ownerKeys   = []string{keyIdleRate, keyCurrency}
	siteKeys    = []string{keyName, keyRegion, keyFailureDomains}
	serviceKeys = func() []string {
		keys := make([]string, len(settings))
		for i, s := range settings {
			keys[i] = s.key
		}
		return keys
	}()
)

// Kinds of sections in the base and in an overlay, and whether each needs a name.
var (
	baseForms    = map[string]bool{kindControl: false, kindOwner: true, kindService: true}
	overlayForms = map[string]bool{kindSite: false, kindService: true}
)

func sectionForms(layer string) map[string]bool {
	if layer == baseLayer {
		return baseForms
	}
	return overlayForms
}

func keysOf(kind string) []string {
	switch kind {
	case kindControl:
		return controlKeys
	case kindOwner:
		return ownerKeys
	case kindSite:
		return siteKeys
	}
	return serviceKeys
}

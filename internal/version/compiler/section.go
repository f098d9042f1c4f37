package compiler

// Kinds of sections.
const (
	kindControl = "control"
	kindLimits  = "limits"
	kindOwner   = "owner"
	kindRoute   = "route"
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
	serviceKeys = keysOfSettings(settings)
	routeKeys   = keysOfSettings(routeSettings)
	limitsKeys  = keysOfSettings(limitsSettings)
)

// Kinds of sections in the base and in an overlay, and whether each needs a name.
var (
	baseForms    = map[string]bool{kindControl: false, kindLimits: false, kindOwner: true, kindRoute: true, kindService: true}
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
	case kindRoute:
		return routeKeys
	case kindLimits:
		return limitsKeys
	}
	return serviceKeys
}

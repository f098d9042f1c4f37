package compiler

// Kinds of sections.
const (
	kindControl      = "control"
	kindLimits       = "limits"
	kindOrganisation = "organisation"
	kindOwner        = "owner"
	kindRoute        = "route"
	kindService      = "service"
	kindSite         = "site"
)

// Keys of the sections of kind control, owner and site, and the owner key of services.
const (
	keyCurrency       = "currency"
	keyFailureDomains = "failure-domains"
	keyHosts          = "hosts"
	keyIdleRate       = "idle-rate"
	keyName           = "name"
	keyOwner          = "owner"
	keyRegion         = "region"
	keyVoters         = "voters"
)

// Maximum values that operators and instances may set.
const (
	// MaxVoters is the maximum number of voters among the control instances.
	MaxVoters = 7
	// MaxSlots is the maximum number of slots of one instance.
	MaxSlots = 10_000
	// MaxConnections is the maximum number of connections to one upstream.
	MaxConnections = 100_000
)

var (
	controlKeys      = []string{keyVoters}
	ownerRates       = []string{keyIdleRate, keyCurrency} // The keys that each owner needs.
	ownerKeys        = append([]string{keyHosts}, ownerRates...)
	siteKeys         = []string{keyName, keyRegion, keyFailureDomains}
	serviceKeys      = settingKeys(serviceSettings)
	routeKeys        = settingKeys(routeSettings)
	limitsKeys       = settingKeys(limitsSettings)
	organisationKeys = settingKeys(organisationSettings)
)

// Kinds of sections that the base and an overlay may have, mapped to whether the
// header includes a name.
var (
	baseKinds    = map[string]bool{kindControl: false, kindLimits: false, kindOrganisation: true, kindOwner: true, kindRoute: true, kindService: true}
	overlayKinds = map[string]bool{kindSite: false, kindService: true}
)

func allowedKinds(layer string) map[string]bool {
	if layer == baseLayer {
		return baseKinds
	}
	return overlayKinds
}

func keysOfKind(kind string) []string {
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
	case kindOrganisation:
		return organisationKeys
	}
	return serviceKeys
}

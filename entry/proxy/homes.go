package proxy

import (
	"lentilwind.dev/lentilwind/inventory"
	"lentilwind.dev/lentilwind/policy"
)

// isHome reports whether requests with the given homes may reach a data centre.
func (p *Proxy) isHome(homes policy.Homes, name inventory.DataCentre) bool {
	return !homes.Bound() || homes.Allow(p.cfg.Regions[name])
}

const outsideHomesDetail = "the primary is outside the regions that the route and the workspace allow"

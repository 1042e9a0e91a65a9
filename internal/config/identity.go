package config

import (
	"slices"
	"time"

	"mulleinpier/internal/membership"
	"mulleinpier/policy"
)

// noOriginKind is the value of OriginKind with which package policy considers no node the origin.
const noOriginKind = -1

// readIdentity reads the top-level keys (name, listen, zone, zones, types), and sets the settings that have no key in
// the file.
func (r *reader) readIdentity() {
	p, top := r.config.Proxy, r.top
	p.ReconcileLists, p.Membership = true, membership.DefaultLimits
	p.Name = top.text("name", defaultName, printable)
	p.Listen = top.text("listen", "", isAddress)
	if !top.has("listen") {
		r.errors.add("listen", "is missing: want HOST:PORT")
	}
	p.Policy = policy.Settings{
		ProxyCount:      1,
		OriginKind:      noOriginKind,
		OverQuotaFactor: 0.2,
		LoadReports:     policy.LoadReportInResponse,
		EventInterval:   5 * time.Millisecond,
	}
	settings := &p.Policy
	settings.Zones = top.texts("zones", []string{}, printable)
	settings.MachineKinds = top.texts("types", []string{}, printable)
	r.errors.addDuplicates("zones", settings.Zones)
	r.errors.addDuplicates("types", settings.MachineKinds)
	zone := top.text("zone", "", anything)
	if zone == "" {
		return
	}
	settings.Zone = slices.Index(settings.Zones, zone)
	if settings.Zone < 0 {
		r.errors.add("zone", "cannot be %q: want one of zones %q", zone, settings.Zones)
		settings.Zone = 0
	}
}

package fleettest

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"mulleinpier/internal/fake/node"
	"mulleinpier/internal/fleettest/faultinject"
)

// Upper bounds of the settings in scenarios.
const (
	maxProxies       = 99
	maxNodes         = 1000
	maxRate          = 20000
	maxPipelines     = 100
	maxPipelineDepth = 100
	maxClockDrift    = 0.5
	maxLateRetries   = 10
	maxLength        = 4 * time.Hour
	maxFactor        = 100 // of rates
	maxFaultDuration = 10 * time.Minute
	maxFaultCount    = 10000
)

var configVariants = []string{
	"", configSame, configQuota, configBroken, configGone, configHalf, configMoved, configFixed,
}

// linkEnds lists the valid other ends of the proxies' links.
var linkEnds = []string{linkToClients, linkToNodes, linkToList}

func isShare(x float64) bool { return x >= 0 && x <= 1 }

// check returns an error for the first invalid setting, with the setting's key in the scenario file.
func (s *Scenario) check() error {
	if err := s.Fleet.check(); err != nil {
		return err
	}
	if err := s.Load.check(&s.Fleet); err != nil {
		return err
	}
	if len(s.Phases) == 0 {
		return errors.New("there is no phase")
	}
	if total := s.length(); total > maxLength {
		return fmt.Errorf("the phases last %v: want 4h at most", total)
	}
	for i := range s.Phases {
		if err := s.Phases[i].check(s.Load.Tenants); err != nil {
			return err
		}
	}
	for i := range s.Events {
		if err := s.checkEvent(&s.Events[i]); err != nil {
			return fmt.Errorf("event %d: %w", i, err)
		}
	}
	return nil
}

func (f *FleetSettings) check() error {
	switch {
	case f.Proxies < 1 || f.Proxies > maxProxies:
		return fmt.Errorf("fleet.proxies cannot be %d: want 1 to %d", f.Proxies, maxProxies)
	case f.Nodes < 1 || f.Nodes > maxNodes:
		return fmt.Errorf("fleet.nodes cannot be %d: want 1 to %d", f.Nodes, maxNodes)
	case f.BinaryNodeEvery < 0:
		return fmt.Errorf("fleet.binary_nodes cannot be %d: want 0 or more", f.BinaryNodeEvery)
	case f.RestartPermits < 0 || f.RestartPermits > 0 && f.Proxies < permitVoters:
		return fmt.Errorf("fleet.permits cannot be %d: want 0, or more with at least %d proxies",
			f.RestartPermits, permitVoters)
	case f.ClockDrift < 0 || f.ClockDrift > maxClockDrift:
		return fmt.Errorf("fleet.drift cannot be %v: want 0 to %v", f.ClockDrift, maxClockDrift)
	case len(f.Zones) == 0:
		return errors.New("fleet.zones cannot be empty")
	}
	return f.checkTakeover()
}

func (f *FleetSettings) checkTakeover() error {
	if f.TakeoverMode == "" {
		return nil
	}
	known := f.TakeoverMode == takeoverPlain || f.TakeoverMode == takeoverStrict
	if !known || f.RestartPermits == 0 || f.TakeoverHolders < 1 || f.TakeoverHolders > 2 {
		return fmt.Errorf("fleet.takeover cannot be %q with holders %d: want plain or strict, 1 or 2 holders, permits",
			f.TakeoverMode, f.TakeoverHolders)
	}
	return nil
}

func (l *LoadSettings) check(f *FleetSettings) error {
	switch {
	case l.Rate < 0 || l.Rate > maxRate:
		return fmt.Errorf("load.rate cannot be %v: want 0 to %d", l.Rate, maxRate)
	case !isShare(l.BinaryShare) || l.BinaryShare > 0 && !f.Binary:
		return fmt.Errorf("load.binary cannot be %v: want 0 to 1, and fleet.binary if above 0", l.BinaryShare)
	case !isShare(l.LibraryShare):
		return fmt.Errorf("load.library cannot be %v: want 0 to 1", l.LibraryShare)
	case l.Skew <= 1 || l.Keys < 1 || !l.pipelinesInRange():
		return errors.New("load: want skew above 1, keys 1 or more, depth 1 to 100, pipelines 0 to 100")
	case l.TenantQuota < 0:
		return fmt.Errorf("load.quota cannot be %d: want 0 or more", l.TenantQuota)
	case l.LateRetries < 0 || l.LateRetries > maxLateRetries || !isShare(l.LateRetryShare):
		return fmt.Errorf("load: again %d, late %v: want again 0 to %d, late 0 to 1",
			l.LateRetries, l.LateRetryShare, maxLateRetries)
	}
	return nil
}

func (l *LoadSettings) pipelinesInRange() bool {
	depthInRange := l.PipelineDepth >= 1 && l.PipelineDepth <= maxPipelineDepth
	return depthInRange && l.Pipelines >= 0 && l.Pipelines <= maxPipelines
}

func (p *Phase) check(tenants []string) error {
	isFactor := func(x float64) bool { return x >= 0 && x <= maxFactor }
	floodWithoutTenants := p.FirstTenantFactor > 1 && len(tenants) == 0
	if !isFactor(p.RateFactor) || !isShare(p.RateSwing) || !isFactor(p.FirstTenantFactor) || floodWithoutTenants {
		return fmt.Errorf("phase %s: want rate 0 to 100, swing 0 to 1, flood 0 to 100, and tenants if flood is above 1",
			p.Name)
	}
	return nil
}

func (s *Scenario) checkEvent(e *Event) error {
	if err := s.checkFault(e); err != nil {
		return err
	}
	f := &s.Fleet
	isZoneEvent := e.Action == "dark" || e.Action == "light"
	switch {
	case isZoneEvent && !slices.Contains(f.Zones, e.Zone):
		return fmt.Errorf("there is no zone %q", e.Zone)
	case eventActions[e.Action] == "":
		return fmt.Errorf("unknown action %q", e.Action)
	case !slices.Contains(restartModes, e.Mode) || !slices.Contains(configVariants, e.ConfigVariant):
		return fmt.Errorf("unknown mode %q, or unknown configuration variant %q", e.Mode, e.ConfigVariant)
	case time.Duration(e.At) > s.length():
		return errors.New("at is later than the end of the last phase")
	}
	if err := f.checkTargets(e); err != nil {
		return err
	}
	if _, err := node.ParseFault(e.FaultKind); err != nil && e.Action != "list-down" && e.Action != "link" {
		return err
	}
	return nil
}

// checkTargets checks the proxies and nodes of an event.
func (f *FleetSettings) checkTargets(e *Event) error {
	switch {
	case e.Proxy < -1 || e.Proxy >= f.Proxies || e.Node < 0 || e.Node >= f.Nodes:
		return fmt.Errorf("there is no proxy %d, or no node %d", e.Proxy, e.Node)
	case slices.ContainsFunc(e.Proxies, outOfRange(f.Proxies)):
		return fmt.Errorf("there is no such proxy: %v", e.Proxies)
	case e.Count < 0 || e.Count > f.Nodes && (e.Action == "leave" || e.Action == "return"):
		return fmt.Errorf("times cannot be %d: want 0 or more, and at most the number of nodes for leave and return",
			e.Count)
	}
	return nil
}

// outOfRange returns a function that reports whether a number is outside 0 to count-1.
func outOfRange(count int) func(i int) bool { return func(i int) bool { return i < 0 || i >= count } }

// checkFault checks an event that injects a fault into processes or links. It accepts all other events.
func (s *Scenario) checkFault(e *Event) error {
	if !slices.Contains([]string{"stop", "link", "starve", "crowd"}, e.Action) {
		return nil
	}
	duration := time.Duration(e.Duration)
	switch {
	case slices.ContainsFunc(e.proxies(), outOfRange(s.Fleet.Proxies)):
		return fmt.Errorf("%s: there is no such proxy: %v", e.Action, e.proxies())
	case slices.ContainsFunc(e.Nodes, outOfRange(s.Fleet.Nodes)):
		return fmt.Errorf("%s: there is no such node: %v", e.Action, e.Nodes)
	case duration <= 0 && e.FaultKind != linkReset || duration > maxFaultDuration:
		return fmt.Errorf("%s: for cannot be %v: want more than 0 and at most 10m", e.Action, duration)
	case e.Count > maxFaultCount:
		return fmt.Errorf("%s: times cannot be %d: want %d at most", e.Action, e.Count, maxFaultCount)
	case e.Action == "link":
		return s.checkLink(e)
	}
	return nil
}

func (s *Scenario) checkLink(e *Event) error {
	switch {
	case !slices.Contains(linkEnds, e.LinkTo):
		return fmt.Errorf("link: between cannot be %q: want clients, nodes or list", e.LinkTo)
	case e.FaultKind != linkReset && faultinject.LinkFaults[e.FaultKind] == nil:
		return fmt.Errorf("link: there is no fault %q", e.FaultKind)
	case e.LinkTo != linkToClients && s.Fleet.Consul:
		return errors.New("link: between must be clients if the fleet uses Consul")
	}
	return nil
}

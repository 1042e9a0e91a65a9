package fleettest

import (
	"bytes"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// The variants of a proxy's configuration, as scenarios name them.
const (
	configSame   = "same"
	configQuota  = "quota"  // with another tenant quota
	configBroken = "broken" // not TOML
	configGone   = "gone"   // the file is removed
	configHalf   = "half"   // the file is truncated, like a file that is being written
	configMoved  = "moved"  // with another address of the directory
	configFixed  = "fixed"  // with a changed setting that takes effect only after a restart
)

// staysAfterReload reports whether a variant remains the configuration of the proxy. The other variants are invalid, or
// change a setting that needs a restart; they are replaced by configSame after the reload.
func staysAfterReload(variant string) bool {
	return variant == configSame || variant == configQuota || variant == configMoved
}

// configText returns a variant of the proxy's configuration.
func (p *proxyInstance) configText(variant string) ([]byte, error) {
	var b bytes.Buffer
	s := p.fleet.scenario
	zones := s.Fleet.Zones
	fmt.Fprintf(&b, "name = \"p%d\"\nlisten = %q\nzones = %s\nzone = %q\ntypes = [\"m1\", \"b1\"]\n",
		p.index, p.address, quoted(zones), zones[p.index%len(zones)])
	if variant == configBroken {
		fmt.Fprintln(&b, "zone = \"nowhere")
	}
	list, err := p.listConfig()
	if err != nil {
		return nil, err
	}
	fmt.Fprintf(&b, "%s[start]\nwait_for_address = \"10s\"\n", list)
	p.writeLimits(&b, variant)
	p.writePeers(&b)
	for _, t := range s.Load.Tenants {
		fmt.Fprintf(&b, "[[tenant]]\nname = %q\nquota = %d\n", t, p.tenantQuota)
	}
	if s.Fleet.Binary || s.Fleet.BinaryNodeEvery > 0 {
		p.writeBinary(&b)
	}
	text := b.Bytes()
	if variant == configHalf {
		text = text[:len(text)/3]
	}
	return text, nil
}

// listConfig returns the discovery part of the configuration.
func (p *proxyInstance) listConfig() (string, error) {
	text, err := p.fleet.directory.config(p.index)
	if err != nil || p.fleet.links.list == nil {
		return text, err
	}
	return p.fleet.linkToList(p.index, text)
}

// writeLimits writes the sections on resource limits, degradation and simulated clocks.
func (p *proxyInstance) writeLimits(b io.Writer, variant string) {
	s := &p.fleet.scenario.Fleet
	sockets := s.MaxSockets
	if variant == configFixed {
		sockets *= 2
	}
	fmt.Fprintf(b, "[limits]\nmemory_mb = %d\nsockets = %d\nconnections_per_node = %d\n",
		s.MemoryMB, sockets, s.ConnectionsPerNode)
	if s.DegradationOff {
		fmt.Fprintln(b, "[service]\nreduce = false")
	}
	if s.SuspendDuration > 0 || s.ClockDrift > 0 {
		drift := s.ClockDrift
		if p.index%2 == 1 {
			drift = -drift
		}
		fmt.Fprintf(b, "[test]\nsleep_at = %q\nsleep_for = %q\ndrift = %v\n",
			time.Duration(s.SuspendAt), time.Duration(s.SuspendDuration), drift)
	}
}

// writeBinary writes the sections of the binary protocol. If there are no tenants, the default routes apply.
func (p *proxyInstance) writeBinary(b io.Writer) {
	s := p.fleet.scenario
	fmt.Fprintf(b, "[binary]\nclients = %v\ntypes = [\"b1\"]\n", s.Fleet.Binary)
	if len(s.Load.Tenants) == 0 {
		return
	}
	for _, route := range []struct{ verb, class string }{{"read", "read"}, {"ticketed", "write"}, {"plain", "plain"}} {
		fmt.Fprintf(b, "[[route]]\nverb = %q\nclass = %q\ntenant = %q\n", route.verb, route.class, s.Load.Tenants[0])
	}
}

// quoted returns a TOML array of strings.
func quoted(texts []string) string {
	list := make([]string, len(texts))
	for i, t := range texts {
		list[i] = strconv.Quote(t)
	}
	return "[" + strings.Join(list, ", ") + "]"
}

const reloadPollInterval = 5 * time.Millisecond

// reload writes a variant of the configuration and signals the proxy to reload it, as often as times says. It waits
// until at least one reload has completed.
func (p *proxyInstance) reload(variant string, times int, every time.Duration) {
	p.changing.Lock()
	defer p.changing.Unlock()
	process := p.currentProcess()
	before := process.reloadCount()
	for i := range max(times, 1) {
		if i > 0 {
			time.Sleep(every)
		}
		if err := p.signalReload(process, variant); err != nil {
			p.fleet.addProblem("%v", err)
			return
		}
	}
	until := time.Now().Add(processTimeout)
	for ; process.reloadCount() == before; time.Sleep(reloadPollInterval) {
		if process.hasCrashed() || time.Now().After(until) {
			p.fleet.addCrash("proxy %d: reported no reload after SIGHUP: %s", p.index, logTail(process.logPath))
			return
		}
	}
	if !staysAfterReload(variant) { // the next process has to start with the usual configuration
		p.tryWriteConfig(configSame)
	}
}

// signalReload writes the configuration and signals the process. It returns an error only if the directory could not be
// moved; a file that could not be written is recorded as a problem.
func (p *proxyInstance) signalReload(process *process, variant string) error {
	p.mu.Lock()
	p.reloads++
	if variant == configQuota {
		p.tenantQuota++
	}
	p.mu.Unlock()
	if variant == configMoved {
		if err := p.fleet.directory.move(p.index); err != nil {
			return fmt.Errorf("move the list: %w", err)
		}
	}
	p.tryWriteConfig(variant)
	process.cmd.Process.Signal(syscall.SIGHUP)
	return nil
}

// tryWriteConfig writes the configuration, and records an error as a problem.
func (p *proxyInstance) tryWriteConfig(variant string) {
	if err := p.writeConfig(variant); err != nil {
		p.fleet.addProblem("proxy %d: %v", p.index, err)
	}
}

func (p *proxyInstance) writeConfig(variant string) error {
	if variant == configGone {
		return os.Remove(p.configPath)
	}
	text, err := p.configText(variant)
	if err != nil {
		return err
	}
	if variant == configHalf { // written in place, so that the proxy can read an incomplete file
		return os.WriteFile(p.configPath, text, 0o600)
	}
	if err := os.WriteFile(p.configPath+".new", text, 0o600); err != nil {
		return err
	}
	return os.Rename(p.configPath+".new", p.configPath)
}

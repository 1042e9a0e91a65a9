package fleettest

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"

	"mulleinpier/internal/fake/consul"
)

// MembersOptions say how to measure the cost of following a catalogue.
type MembersOptions struct {
	Options
	Nodes            int
	ChangesPerSecond int // a second
	Duration         time.Duration
}

// MembersReport is what was measured of one proxy without requests. In force means that a proxy acts on a change.
type MembersReport struct {
	Nodes            int     `json:"nodes"`
	ChangesPerSecond int     `json:"changes"`
	Seconds          float64 `json:"seconds"`
	CPUShare         float64 `json:"cpu_share"` // of one core
	ResidentMB       float64 `json:"resident_mb"`
	ListsReceived    int     `json:"lists"`
	BytesPerChange   float64 `json:"bytes_a_change"`
	MissedChanges    int     `json:"missed"` // changes that were never in force
	P50              float64 `json:"in_force_p50_ms"`
	P99              float64 `json:"in_force_p99_ms"`
	Max              float64 `json:"in_force_most_ms"`
	FromEntryP99     float64 `json:"from_entry_p99_ms"`
}

// nameOf returns the names of an instance of the catalogue.
func nameOf(i int) (host, id string) { return fmt.Sprintf("host-%d", i), fmt.Sprintf("cache-%d", i) }

func largeCatalogue(nodes int) *consul.Catalogue {
	c := consul.New()
	for i := range nodes {
		host, id := nameOf(i)
		c.Set(consul.Instance{
			Node:    host,
			ID:      id,
			Service: consulService,
			Address: "127.0.0.2",
			Port:    1 + i%60000,
			Meta:    map[string]string{"name": id, "zone": "a", "type": "m1", "group": "1"},
			Checks:  []consul.Check{{CheckID: "tcp", Status: "passing"}},
		})
	}
	return c
}

// MeasureMembership measures a proxy that follows a large catalogue with many changes: each node is set to maintenance
// once.
func MeasureMembership(ctx context.Context, o MembersOptions) (*MembersReport, error) {
	c := largeCatalogue(o.Nodes)
	agent, err := c.Start("here", "")
	if err != nil {
		return nil, err
	}
	defer agent.Close()
	log := filepath.Join(o.Folder, "members.log")
	p, err := o.startProxy(agent.Address(), log)
	if err != nil {
		return nil, err
	}
	defer p.end(syscall.SIGKILL)
	if err := p.awaitReady(); err != nil {
		return nil, err
	}
	sleep(ctx, time.Second)
	_, _, bytesBefore := agent.Stats()
	listsBefore, _, _ := agent.Stats()
	before, err := cpuTime(p.cmd.Process.Pid)
	if err != nil {
		return nil, err
	}
	r := &MembersReport{Nodes: o.Nodes}
	begun := time.Now()
	entered := o.changeAll(ctx, c, begun)
	r.ChangesPerSecond = len(entered)
	r.Seconds = time.Since(begun).Seconds()
	after, err := cpuTime(p.cmd.Process.Pid)
	if err != nil {
		return nil, err
	}
	r.CPUShare = (after - before).Seconds() / r.Seconds
	r.ResidentMB, _ = footprintOf(p.cmd.Process.Pid)
	sleep(ctx, time.Second)
	lists, _, bytes := agent.Stats()
	r.ListsReceived = lists - listsBefore
	r.BytesPerChange = float64(bytes-bytesBefore) / float64(max(r.ChangesPerSecond, 1))
	if err := r.fillTimes(agent, log, entered); err != nil {
		return nil, err
	}
	return r, ctx.Err()
}

// startProxy starts a proxy that follows an agent.
func (o *MembersOptions) startProxy(agentAddress, log string) (*process, error) {
	address, err := freeAddress()
	if err != nil {
		return nil, err
	}
	config := filepath.Join(o.Folder, "members.toml")
	os.Remove(log) // of a run before: when each node came to drain is read from it
	text := fmt.Sprintf("listen = %q\n[limits]\nmemory_mb = 32\n[nodes]\nconsul = %q\n[consul]\nservice = %q\n",
		address, agentAddress, consulService)
	if err := os.WriteFile(config, []byte(text), 0o600); err != nil {
		return nil, err
	}
	return startProcess(append(slices.Clone(o.ProxyCommand), config), nil, log)
}

// changeAll sets node after node to maintenance, and returns when it did.
func (o *MembersOptions) changeAll(ctx context.Context, c *consul.Catalogue, begun time.Time) []time.Time {
	var entered []time.Time
	for i := 0; i < o.Nodes && time.Since(begun) < o.Duration && ctx.Err() == nil; i++ {
		host, id := nameOf(i)
		c.SetMaintenance(host, id, true, "fleet test")
		entered = append(entered, time.Now())
		sleep(ctx, time.Until(begun.Add(time.Duration(i+1)*time.Second/time.Duration(o.ChangesPerSecond))))
	}
	return entered
}

// fillTimes reads from a proxy's log how long each change took, from its entry and from the agent's answer.
func (r *MembersReport) fillTimes(agent *consul.Agent, log string, entered []time.Time) error {
	force, err := inForce(log)
	if err != nil {
		return err
	}
	var took, all []float32
	for i, at := range entered {
		host, id := nameOf(i)
		told, wrote := agent.UnavailableReportedAt(host, id)
		known, ok := force[id]
		if !ok || !wrote {
			r.MissedChanges++
			continue
		}
		took = append(took, float32(max(known.Sub(told), 0).Seconds()))
		all = append(all, float32(max(known.Sub(at), 0).Seconds()))
	}
	slices.Sort(took)
	slices.Sort(all)
	r.P50 = quantile(took, 0.5)
	r.P99 = quantile(took, 0.99)
	r.Max = quantile(took, 1)
	r.FromEntryP99 = quantile(all, 0.99)
	return nil
}

// inForce reads from a proxy's log when each node came to drain.
func inForce(log string) (map[string]time.Time, error) {
	f, err := os.Open(log)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	force := make(map[string]time.Time)
	for in := bufio.NewScanner(f); in.Scan(); {
		line := in.Text()
		if !strings.Contains(line, `msg="node status changed" `) || !strings.Contains(line, " status=draining ") {
			continue
		}
		fields := make(map[string]string)
		for _, word := range strings.Fields(line) {
			if name, value, ok := strings.Cut(word, "="); ok && fields[name] == "" {
				fields[name] = value
			}
		}
		at, err := time.Parse(time.RFC3339Nano, fields["time"])
		if _, known := force[fields["node"]]; err == nil && !known {
			force[fields["node"]] = at
		}
	}
	return force, nil
}

// Print writes the report.
func (r *MembersReport) Print(out io.Writer) {
	fmt.Fprintf(out, "%d nodes, %d changes in %.1f s: "+
		"CPU %.1f%% of a core, %.1f MB resident, %d lists, %.0f bytes a change\n",
		r.Nodes, r.ChangesPerSecond, r.Seconds, 100*r.CPUShare, r.ResidentMB, r.ListsReceived, r.BytesPerChange)
	fmt.Fprintf(out, "from the agent's answer to the list in force: p50 %.0f ms, p99 %.0f ms, at the most %.0f ms; "+
		"from the entry in the catalogue p99 %.0f ms; %d never\n",
		r.P50, r.P99, r.Max, r.FromEntryP99, r.MissedChanges)
}

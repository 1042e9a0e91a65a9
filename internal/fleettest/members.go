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

	"mulleinpier/internal/delay"
	"mulleinpier/internal/fake/consul"
)

// MembersOptions configures MeasureMembership.
type MembersOptions struct {
	Options
	Nodes            int
	ChangesPerSecond int
	Duration         time.Duration // no more changes are made after this time
}

// MembersReport is the result of MeasureMembership, for one proxy without requests. A change is in force when the proxy
// acts on it. Times are in milliseconds, and start at the agent's answer that contains the change.
type MembersReport struct {
	Nodes            int     `json:"nodes"`
	ChangesPerSecond int     `json:"changes"` // total number of changes that were made, not a rate
	Seconds          float64 `json:"seconds"`
	CPUShare         float64 `json:"cpu_share"` // CPU time of the proxy as a fraction of one core
	ResidentMB       float64 `json:"resident_mb"`
	ListsReceived    int     `json:"lists"`
	BytesPerChange   float64 `json:"bytes_a_change"`
	MissedChanges    int     `json:"missed"` // changes that were never in force
	P50              float64 `json:"in_force_p50_ms"`
	P99              float64 `json:"in_force_p99_ms"`
	Max              float64 `json:"in_force_most_ms"`
	FromEntryP99     float64 `json:"from_entry_p99_ms"` // from the change of the catalogue
}

// instanceNames returns the names of an instance's host and service.
func instanceNames(i int) (host, id string) {
	return fmt.Sprintf("host-%d", i), fmt.Sprintf("cache-%d", i)
}

func largeCatalogue(nodes int) *consul.Catalogue {
	c := consul.New()
	for i := range nodes {
		host, id := instanceNames(i)
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
	delay.Wait(ctx, time.Second)
	_, _, bytesBefore := agent.Stats()
	listsBefore, _, _ := agent.Stats()
	before, err := cpuTime(p.cmd.Process.Pid)
	if err != nil {
		return nil, err
	}
	r := &MembersReport{Nodes: o.Nodes}
	start := time.Now()
	changedAt := o.changeAll(ctx, c, start)
	r.ChangesPerSecond = len(changedAt)
	r.Seconds = time.Since(start).Seconds()
	after, err := cpuTime(p.cmd.Process.Pid)
	if err != nil {
		return nil, err
	}
	r.CPUShare = (after - before).Seconds() / r.Seconds
	r.ResidentMB, _ = footprintOf(p.cmd.Process.Pid)
	delay.Wait(ctx, time.Second)
	lists, _, bytes := agent.Stats()
	r.ListsReceived = lists - listsBefore
	r.BytesPerChange = float64(bytes-bytesBefore) / float64(max(r.ChangesPerSecond, 1))
	if err := r.fillTimes(agent, log, changedAt); err != nil {
		return nil, err
	}
	return r, ctx.Err()
}

// startProxy starts a proxy that follows the catalogue through an agent.
func (o *MembersOptions) startProxy(agentAddress, log string) (*process, error) {
	address, err := freeAddress()
	if err != nil {
		return nil, err
	}
	config := filepath.Join(o.Folder, "members.toml")
	os.Remove(log) // the times of drains are read from the log, so it must not contain an earlier run
	text := fmt.Sprintf("listen = %q\n[limits]\nmemory_mb = 32\n[nodes]\nconsul = %q\n[consul]\nservice = %q\n",
		address, agentAddress, consulService)
	if err := os.WriteFile(config, []byte(text), 0o600); err != nil {
		return nil, err
	}
	return startProcess(append(slices.Clone(o.ProxyCommand), config), nil, log)
}

// changeAll sets one node after the other to maintenance, and returns the time of each change.
func (o *MembersOptions) changeAll(ctx context.Context, c *consul.Catalogue, start time.Time) []time.Time {
	var changedAt []time.Time
	for i := 0; i < o.Nodes && time.Since(start) < o.Duration && ctx.Err() == nil; i++ {
		host, id := instanceNames(i)
		c.SetMaintenance(host, id, true, "fleet test")
		changedAt = append(changedAt, time.Now())
		delay.Wait(ctx, time.Until(start.Add(time.Duration(i+1)*time.Second/time.Duration(o.ChangesPerSecond))))
	}
	return changedAt
}

// fillTimes computes from a proxy's log how long after the agent's answer, and after the change of the catalogue, each
// change was in force.
func (r *MembersReport) fillTimes(agent *consul.Agent, log string, changeTimes []time.Time) error {
	drainTimes, err := readDrainTimes(log)
	if err != nil {
		return err
	}
	var fromReport, fromChange []float32
	for i, changedAt := range changeTimes {
		host, id := instanceNames(i)
		reportedAt, reported := agent.UnavailableReportedAt(host, id)
		inForceAt, ok := drainTimes[id]
		if !ok || !reported {
			r.MissedChanges++
			continue
		}
		fromReport = append(fromReport, float32(max(inForceAt.Sub(reportedAt), 0).Seconds()))
		fromChange = append(fromChange, float32(max(inForceAt.Sub(changedAt), 0).Seconds()))
	}
	slices.Sort(fromReport)
	slices.Sort(fromChange)
	r.P50 = quantile(fromReport, 0.5)
	r.P99 = quantile(fromReport, 0.99)
	r.Max = quantile(fromReport, 1)
	r.FromEntryP99 = quantile(fromChange, 0.99)
	return nil
}

// readDrainTimes reads from a proxy's log when each node was first draining.
func readDrainTimes(log string) (map[string]time.Time, error) {
	f, err := os.Open(log)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	drainTimes := make(map[string]time.Time)
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
		if _, known := drainTimes[fields["node"]]; err == nil && !known {
			drainTimes[fields["node"]] = at
		}
	}
	return drainTimes, nil
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

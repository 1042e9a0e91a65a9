package fleettest

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"sort"
	"sync"
	"sync/atomic"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/google/pprof/profile"
	"golang.org/x/sys/unix"

	"mulleinpier/internal/binary"
	"mulleinpier/internal/fake/rawclient"
	"mulleinpier/internal/lease/agent"
	"mulleinpier/internal/request"
)

// CostOptions configures MeasureCost. Every field but Peers is needed.
type CostOptions struct {
	ProxyCommand         []string                   // starts a proxy; the path of its configuration is appended
	ProfiledProxyCommand func(path string) []string // the same, for a proxy that writes a CPU profile to path
	RelayCommand         []string                   // starts a byte relay; its address and its target's are appended
	Folder               string
	Peers                bool  // the proxy is a member of a fleet, whose voters run as other processes
	Runs                 int   // recorded runs, after one warm-up run
	Requests             int   // number of requests in each measurement
	Conns                []int // numbers of connections to measure with
	Progress             func(format string, a ...any)
}

// CostReport is the result of MeasureCost. Costs are CPU time in milliseconds for 1,000 requests.
type CostReport struct {
	Rows             []CostRow `json:"rows"`
	HottestFunctions []string  `json:"hottest"` // functions of the proxy with the most CPU time of their own
}

// CostRow has the results for one number of connections, with a value for each run.
type CostRow struct {
	Conns                   int       `json:"conns"`
	ProxyMillis             []float64 `json:"proxy_ms"`
	BinaryMillis            []float64 `json:"binary_ms"` // the proxy, with binary clients
	RelayMillis             []float64 `json:"relay_ms"`
	Ratio                   []float64 `json:"ratio"` // of the proxy's CPU time to the relay's
	RequestsPerSecond       []float64 `json:"proxy_requests_a_second"`
	BinaryRequestsPerSecond []float64 `json:"binary_requests_a_second"`
}

// cpuTime returns the CPU time of all threads of a process.
func cpuTime(pid int) (time.Duration, error) {
	var t unix.Timespec
	// The id of the CPU clock of another process, computed as clock_getcpuclockid(3) does.
	if err := unix.ClockGettime(int32(^pid<<3|2), &t); err != nil {
		return 0, fmt.Errorf("CPU clock of %d: %w", pid, err)
	}
	return time.Duration(t.Nano()), nil
}

// startVoters starts three voters that serve no clients. end kills them; it is nil if there is an error.
func startVoters(program []string, folder string) (list []agent.VoterAddress, end func(), err error) {
	f, err := newVoters(folder, newPortReserver())
	if err != nil {
		return nil, nil, err
	}
	var started []*process
	end = func() {
		for _, p := range started {
			p.end(syscall.SIGKILL)
		}
	}
	for i, v := range f.Voters {
		config := filepath.Join(folder, v.Name+".toml")
		text := "name = \"" + v.Name + "\"\nlisten = \"127.0.0.1:0\"\nnodes.addresses = [\"127.0.0.2:1\"]\n" +
			peersConfig(f.Voters, folder, i)
		if err = os.WriteFile(config, []byte(text), 0o600); err == nil {
			var p *process
			logFile := filepath.Join(folder, v.Name+".log")
			p, err = startProcess(append(slices.Clone(program), config), nil, logFile)
			if err == nil {
				started = append(started, p)
				err = p.awaitReady()
			}
		}
		if err != nil {
			end()
			return nil, nil, err
		}
	}
	return f.Voters, end, nil
}

type costSample struct {
	millis float64 // CPU time for a thousand requests, in ms
	rate   float64 // requests a second
}

func (rig *costRig) measure(
	ctx context.Context, p *process, address string, useBinary bool, conns int,
) (costSample, error) {
	cpu, took, err := drive(ctx, p, address, useBinary, conns, rig.options.Requests)
	requests := float64(rig.options.Requests)
	return costSample{millis: cpu * 1e6 / requests, rate: requests / took}, err
}

// measureRow measures the proxy, the relay and the proxy with binary clients, with the connections of a row. Run 0 is a
// warm-up and is not recorded.
func (rig *costRig) measureRow(ctx context.Context, row *CostRow, run int) error {
	proxy, err := rig.measure(ctx, rig.proxy, rig.proxyAddress, false, row.Conns)
	if err != nil {
		return err
	}
	relay, err := rig.measure(ctx, rig.relay, rig.relayAddress, false, row.Conns)
	if err != nil {
		return err
	}
	withBinary, err := rig.measure(ctx, rig.proxy, rig.proxyAddress, true, row.Conns)
	if err != nil || run == 0 {
		return err
	}
	row.ProxyMillis = append(row.ProxyMillis, proxy.millis)
	row.RelayMillis = append(row.RelayMillis, relay.millis)
	row.Ratio = append(row.Ratio, proxy.millis/relay.millis)
	row.RequestsPerSecond = append(row.RequestsPerSecond, proxy.rate)
	row.BinaryMillis = append(row.BinaryMillis, withBinary.millis)
	row.BinaryRequestsPerSecond = append(row.BinaryRequestsPerSecond, withBinary.rate)
	rig.options.Progress("run %d, %d connections: proxy %.1f ms, relay %.1f ms, proxy with binary clients %.1f ms",
		run, row.Conns, proxy.millis, relay.millis, withBinary.millis)
	return nil
}

// MeasureCost measures a proxy and a byte relay in front of the same node, alternately. Afterwards it profiles a proxy.
func MeasureCost(ctx context.Context, o CostOptions) (*CostReport, error) {
	rig, err := startCostRig(o)
	if err != nil {
		return nil, err
	}
	defer rig.close()
	r := &CostReport{}
	for _, conns := range o.Conns {
		r.Rows = append(r.Rows, CostRow{Conns: conns})
	}
	for run := range o.Runs + 1 {
		for i := range r.Rows {
			if err := rig.measureRow(ctx, &r.Rows[i], run); err != nil {
				return nil, err
			}
		}
	}
	r.HottestFunctions, err = hottestFunctions(ctx, o, rig.config, rig.proxyAddress, rig.proxy)
	return r, err
}

// freeAddress returns a free loopback address, on a host that no outgoing connection uses.
func freeAddress() (string, error) {
	l, err := listenAt(newHost())
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// drive sends requests over conns connections, one at a time on each. It returns the CPU seconds that the process used
// for them, and the seconds that they took.
func drive(
	ctx context.Context, p *process, address string, useBinary bool, conns, requests int,
) (cpu, took float64, err error) {
	var clients []*clientConn
	defer func() {
		for _, c := range clients {
			c.socket.Close()
		}
	}()
	for range conns {
		c, err := dial(address)
		if err != nil {
			return 0, 0, err
		}
		c.binary = useBinary
		c.socket.SetDeadline(time.Now().Add(5 * time.Minute))
		clients = append(clients, c)
	}
	var serial atomic.Int64
	// Warm up, because a proxy that gets many new connections at the same time rejects some requests until its
	// estimates have settled.
	if _, err := sendReads(ctx, clients, &serial, warmUpRequests*conns); err != nil {
		return 0, 0, err
	}
	before, err := cpuTime(p.cmd.Process.Pid)
	if err != nil {
		return 0, 0, err
	}
	start := time.Now()
	rejected, err := sendReads(ctx, clients, &serial, requests)
	took = time.Since(start).Seconds()
	if err != nil {
		return 0, 0, err
	}
	after, err := cpuTime(p.cmd.Process.Pid)
	if err != nil {
		return 0, 0, err
	}
	if rejected > requests/50 {
		return 0, 0, fmt.Errorf("measuring: %d of %d requests were rejected", rejected, requests)
	}
	return (after - before).Seconds(), took, nil
}

// warmUpRequests is the number of requests on each connection before the measurement.
const warmUpRequests = 20

// sendReads sends reads over the connections, one at a time on each, and counts those that were rejected.
func sendReads(ctx context.Context, clients []*clientConn, serial *atomic.Int64, requests int) (int, error) {
	var remaining, rejected atomic.Int64
	remaining.Store(int64(requests))
	var tasks sync.WaitGroup
	errs := make(chan error, len(clients))
	for _, c := range clients {
		tasks.Go(func() {
			for remaining.Add(-1) >= 0 && ctx.Err() == nil {
				isRejected, err := c.readOnce(serial.Add(1))
				if err != nil {
					errs <- err
					return
				}
				if isRejected {
					rejected.Add(1)
				}
			}
		})
	}
	tasks.Wait()
	select {
	case err := <-errs:
		return 0, fmt.Errorf("measuring: %w", err)
	default:
		return int(rejected.Load()), ctx.Err()
	}
}

// readOnce reads one of 64 keys, and reports whether the proxy rejected the read. A rejection costs CPU time, but does
// not count as a read.
func (c *clientConn) readOnce(id int64) (isRejected bool, err error) {
	key := fmt.Sprintf("k%d", id%64)
	if c.binary {
		c.opaque++
		_, err = c.socket.Write(rawclient.AppendKeyOnly(nil, binary.Get, key, c.opaque))
	} else {
		_, err = fmt.Fprintf(c.socket, "mg %s v O%x Pc=read,d=2000\r\n", key, id)
	}
	if err != nil {
		return false, err
	}
	a, _, err := c.readAnswer()
	switch {
	case err != nil:
		return false, err
	case a.Kind == request.Busy:
		return true, nil
	case a.Kind != request.Value:
		return false, fmt.Errorf("unexpected answer of kind %d to a read", a.Kind)
	}
	return false, nil
}

// hottestFunctions ends the measured proxy and starts one with a profiler at the same address. It returns the functions
// with the most CPU time of their own, at most ten.
func hottestFunctions(ctx context.Context, o CostOptions, config, address string, measured *process) ([]string, error) {
	if err := measured.end(syscall.SIGTERM); err != nil {
		return nil, err
	}
	path := filepath.Join(o.Folder, "cpu.profile")
	p, err := startProcess(append(o.ProfiledProxyCommand(path), config), nil, filepath.Join(o.Folder, "profiled.log"))
	if err != nil {
		return nil, err
	}
	if err = p.awaitReady(); err == nil {
		_, _, err = drive(ctx, p, address, false, slices.Max(o.Conns), 2*o.Requests)
	}
	if endErr := p.end(syscall.SIGTERM); err == nil {
		err = endErr
	}
	if err != nil {
		return nil, err
	}
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	parsed, err := profile.Parse(f)
	if err != nil {
		return nil, err
	}
	selfTime := make(map[string]int64)
	total := int64(0)
	for _, s := range parsed.Sample {
		value := s.Value[len(s.Value)-1]
		if total += value; len(s.Location) > 0 && len(s.Location[0].Line) > 0 {
			selfTime[s.Location[0].Line[0].Function.Name] += value
		}
	}
	var names []string
	for name := range selfTime {
		names = append(names, name)
	}
	sort.Slice(names, func(i, j int) bool { return selfTime[names[i]] > selfTime[names[j]] })
	var list []string
	for _, name := range names[:min(len(names), 10)] {
		list = append(list, fmt.Sprintf("%.1f%% %s", 100*float64(selfTime[name])/float64(total), name))
	}
	return list, nil
}

// formatSpread formats the median, minimum and maximum of values.
func formatSpread(values []float64) string {
	values = slices.Sorted(slices.Values(values))
	if len(values) == 0 {
		return "-"
	}
	return fmt.Sprintf("%.2f (%.2f to %.2f)", values[len(values)/2], values[0], values[len(values)-1])
}

// Print writes the report as a table. The report needs at least one row.
func (r *CostReport) Print(out io.Writer) {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "CPU ms for 1,000 reads\tproxy\tbyte relay\tratio\treads a second\t"+
		"binary clients\treads a second\t")
	for _, row := range r.Rows {
		fmt.Fprintf(w, "%d connections\t%s\t%s\t%s\t%s\t%s\t%s\t\n",
			row.Conns,
			formatSpread(row.ProxyMillis), formatSpread(row.RelayMillis), formatSpread(row.Ratio),
			formatSpread(row.RequestsPerSecond),
			formatSpread(row.BinaryMillis), formatSpread(row.BinaryRequestsPerSecond))
	}
	w.Flush()
	fmt.Fprintln(out, "median (least to most) of", len(r.Rows[0].Ratio), "runs; the proxy's hottest functions:")
	for _, line := range r.HottestFunctions {
		fmt.Fprintln(out, "  "+line)
	}
}

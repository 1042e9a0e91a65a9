package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

const (
	leaseLength = "3s"
	cutTime     = 6 * time.Second // of the link between the first holder and the voters; the pages allow 6 s
	overlap     = 50 * time.Millisecond
)

// worker is what a holder's command runs: it acts every 50 ms for 10 s, and does not stop at SIGTERM. Each act is a line
// with the fencing token and the time.
const worker = `trap "" TERM
echo $$ >> "$ACTS.pids"
i=0
while [ $i -lt 200 ]; do
	echo "$MULLEIN_LEASE $(date +%s.%N)" >> "$ACTS"
	i=$((i + 1))
	sleep 0.05
done
`

// fleet is three voters, and the links by which the first holder reaches them.
type fleet struct {
	voters    []string // addresses
	links     []*link
	processes []*process
}

func (f *fleet) end() {
	for _, p := range f.processes {
		p.kill()
	}
	for _, l := range f.links {
		l.listener.Close()
	}
}

// flag returns the flag --voters for a holder that is beside the voters, or behind the links.
func (f *fleet) flag(behindLinks bool) string {
	var names []string
	for i, address := range f.voters {
		if behindLinks {
			address = f.links[i].address()
		}
		names = append(names, fmt.Sprintf("v%d=%s", i, address))
	}
	return "--voters=" + strings.Join(names, ",")
}

func init() { scenarios["hold"] = hold }

// hold: a holder's machine is cut off from the voters. Its command, with its children, must have ended when the lease
// has, and the next holder begins.
func hold(ctx context.Context, rec *record, trouble bool) (isBroken bool, err error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return false, err
	}
	defer os.RemoveAll(folder)
	f, err := startFleet(ctx, rec, folder)
	if f != nil {
		defer f.end()
	}
	if err != nil {
		return false, err
	}
	acts := filepath.Join(folder, "acts")
	script := filepath.Join(folder, "worker.sh")
	if err := os.WriteFile(script, []byte(worker), 0o600); err != nil {
		return false, err
	}
	holder := func(name string, behindLinks bool) (*process, error) {
		return start(rec, folder, name, []string{"ACTS=" + acts, "WORKER=" + script}, "bin/mulleinctl", "lease", "hold",
			"--fleet=shop", f.flag(behindLinks), "--name="+name, "--length="+leaseLength, "--wait=40s", "backup", "--",
			"sh", "-c", `sh "$WORKER"; true`)
	}
	first, err := holder("first", true)
	if err != nil {
		return false, err
	}
	defer endWorkers(acts, script)
	defer first.kill()
	for range 100 {
		if text, _ := os.ReadFile(acts); len(text) > 0 {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	second, err := holder("second", false)
	if err != nil {
		return false, err
	}
	defer second.kill()
	time.Sleep(time.Second)
	if trouble {
		for _, l := range f.links {
			l.cut(cutTime, false)
		}
	}
	time.Sleep(14 * time.Second)
	return judgeActs(rec, acts)
}

// endWorkers ends workers that have outlived their holders, by the process ids that they have told.
func endWorkers(acts, script string) {
	text, _ := os.ReadFile(acts + ".pids")
	for line := range strings.Lines(string(text)) {
		pid, err := strconv.Atoi(strings.TrimSpace(line))
		if err != nil {
			continue
		}
		if command, _ := os.ReadFile(fmt.Sprintf("/proc/%d/cmdline", pid)); strings.Contains(string(command), script) {
			syscall.Kill(pid, syscall.SIGKILL)
		}
	}
}

// startFleet starts three proxies that vote, and waits until they grant a lease.
func startFleet(ctx context.Context, rec *record, folder string) (*fleet, error) {
	f := &fleet{}
	for range 3 {
		address, err := freeAddress("127.0.0.1")
		if err != nil {
			return f, err
		}
		f.voters = append(f.voters, address)
		l, err := startLinkTo(rec, address)
		if err != nil {
			return f, err
		}
		f.links = append(f.links, l)
	}
	for i := range f.voters {
		listen, err := freeAddress("127.0.0.1")
		if err != nil {
			return f, err
		}
		memory := filepath.Join(folder, fmt.Sprintf("memory%d", i))
		initial, err := start(rec, folder, fmt.Sprintf("init%d", i), nil, "bin/mulleinctl", "lease", "init",
			"--fleet=shop", f.flag(false), "--memory="+memory)
		if err != nil {
			return f, err
		}
		<-initial.ended
		quoted := strings.Split(strings.TrimPrefix(f.flag(false), "--voters="), ",")
		text := fmt.Sprintf("name = %q\nlisten = %q\nnodes.addresses = [\"127.0.0.1:1\"]\n[peers]\nfleet = \"shop\"\n"+
			"voters = [%q, %q, %q]\nvoter = \"v%d\"\nmemory = %q\n",
			fmt.Sprintf("p%d", i), listen, quoted[0], quoted[1], quoted[2], i, memory)
		config := filepath.Join(folder, fmt.Sprintf("p%d.toml", i))
		if err := os.WriteFile(config, []byte(text), 0o600); err != nil {
			return f, err
		}
		p, err := start(rec, folder, fmt.Sprintf("p%d", i), nil, "bin/mulleinpier", "serve", "--config", config)
		if err != nil {
			return f, err
		}
		f.processes = append(f.processes, p)
	}
	time.Sleep(2 * time.Second) // they elect a leader
	return f, ctx.Err()
}

// judgeActs says whether one holder acted after the next had begun.
func judgeActs(rec *record, acts string) (isBroken bool, err error) {
	text, err := os.ReadFile(acts)
	if err != nil {
		return false, err
	}
	first, last, count := make(map[int]float64), make(map[int]float64), make(map[int]int)
	var order []int
	for line := range strings.Lines(string(text)) {
		var token int
		var at float64
		if n, _ := fmt.Sscanf(line, "%d %f", &token, &at); n != 2 {
			continue
		}
		if count[token] == 0 {
			first[token] = at
			order = append(order, token)
		}
		last[token] = at
		count[token]++
	}
	base := float64(rec.start.UnixNano()) / 1e9
	for _, token := range order {
		rec.note("judge: holder with token %d acted %d times, from %.3f to %.3f", token, count[token],
			first[token]-base, last[token]-base)
	}
	if len(order) == 0 {
		return false, fmt.Errorf("nobody acted: %w", errEarly)
	}
	for i := 1; i < len(order); i++ {
		both := last[order[i-1]] - first[order[i]]
		if both > overlap.Seconds() {
			rec.note("judge: two holders acted at once for %.3f s", both)
			isBroken = true
		}
	}
	return isBroken, nil
}

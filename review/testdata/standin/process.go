package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"syscall"
	"time"
)

// process is a process that this program has started. It dies with this program.
type process struct {
	name  string
	cmd   *exec.Cmd
	rec   *record
	ended chan struct{}
}

// start starts a command in a process group of its own. What it writes goes to a file in the folder.
func start(rec *record, folder, name string, env []string, argv ...string) (*process, error) {
	log, err := os.Create(filepath.Join(folder, name+".log"))
	if err != nil {
		return nil, err
	}
	p := &process{name: name, cmd: exec.Command(argv[0], argv[1:]...), rec: rec, ended: make(chan struct{})}
	p.cmd.Env = append(os.Environ(), env...)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	rec.note("%s started, process %d", name, p.cmd.Process.Pid)
	go func() {
		defer close(p.ended)
		err := p.cmd.Wait()
		rec.note("%s ended: %v", name, errOrOK(err))
	}()
	return p, nil
}

func errOrOK(err error) any {
	if err == nil {
		return "status 0"
	}
	return err
}

// signal sends a signal to the process that was started.
func (p *process) signal(s syscall.Signal) {
	p.rec.note("%s gets %v", p.name, s)
	p.cmd.Process.Signal(s)
}

// kill ends the process and its children, and waits for the process.
func (p *process) kill() {
	if p == nil {
		return
	}
	syscall.Kill(-p.cmd.Process.Pid, syscall.SIGKILL)
	<-p.ended
}

// runLine returns the command run of the deploy file.
func runLine() (string, error) {
	text, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		return "", err
	}
	match := regexp.MustCompile(`(?m)^run = "(.*)"$`).FindSubmatch(text)
	if match == nil {
		return "", fmt.Errorf("deploy/balancer.toml has no line run")
	}
	return string(match[1]), nil
}

// freeAddress returns an address on which nothing listens now.
func freeAddress(host string) (string, error) {
	l, err := net.Listen("tcp", host+":0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// platformProxy starts a proxy as the platform does, by the command run, and waits until it answers mn with MN.
func platformProxy(rec *record, folder, discovery string, window time.Duration) (*process, string, error) {
	listen, err := freeAddress("127.0.0.1")
	if err != nil {
		return nil, "", err
	}
	run, err := runLine()
	if err != nil {
		return nil, "", err
	}
	config := map[string]any{
		"name": "n1", "listen": listen, "discovery": discovery, "seed": "8c1f30d27a5be964",
		"limits":   map[string]any{"cores": 1.0, "memory_mb": 128, "sockets": 512},
		"known":    map[string]any{"index": 0, "snapshot": true, "endpoints": []any{}},
		"settings": settings(window),
	}
	text, err := json.MarshalIndent(config, "", " ")
	if err != nil {
		return nil, "", err
	}
	path := filepath.Join(folder, "config.json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return nil, "", err
	}
	env := []string{"GW_CONFIG=" + path, "GW_NAME=n1", "GW_LISTEN=" + listen, "GW_DISCOVERY=" + discovery,
		"TMPDIR=" + folder}
	if level := os.Getenv("MULLEINPIER_LOG_LEVEL"); level != "" {
		env = append(env, "MULLEINPIER_LOG_LEVEL="+level)
	}
	p, err := start(rec, folder, "proxy", env, "/bin/sh", "-c", run)
	if err != nil {
		return nil, "", err
	}
	for range 200 {
		if answersNoop(listen) {
			rec.note("proxy ready at %s", listen)
			return p, listen, nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	p.kill()
	return nil, "", fmt.Errorf("the proxy was not ready: %w", errEarly)
}

func answersNoop(address string) bool {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return false
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(time.Second))
	fmt.Fprint(c, "mn\r\n")
	line, err := bufio.NewReader(c).ReadString('\n')
	return err == nil && line == "MN\r\n"
}

// siteWindow is Services[].Window of the keyed class at the site.
const siteWindow = 1500 * time.Millisecond

// settings returns the settings of the site viragut-rendeles for a small deployment, with a window for repeats.
func settings(window time.Duration) map[string]any {
	return map[string]any{
		"Charges": map[string]any{"Connection": 0.0, "CrossZone": 0.02, "Handshake": 0.0, "LateFail": 0.08,
			"Moves": 0.0, "Origin": 0.15, "Peer": 0.0, "Probe": 0.0, "RegistryMode": 0.0, "Waste": 0.05},
		"Clients": map[string]any{"MarksRetry": false},
		"Dcs":     []string{"budapest", "debrecen", "szeged", "pecs"},
		"Family":  "cache",
		"FamilyInfo": map[string]any{"Mode": "through", "Notes": "1 hit, 2 miss", "OriginFall": 3000.0,
			"OriginFallMultiple": 3.0, "OriginKind": -1, "ReportX0": "share of hits, lately", "ReportX1": "fetches out"},
		"Goal": map[string]any{"Whole": 0.7, "WorstClass": 0.1, "WorstTenant": 0.1, "WorstWindow": 0.1},
		"Limits": map[string]any{"Cancel": true, "ConnIdle": 15000.0, "ConnectTimeout": 200.0, "CpuUsPerRequest": 0.0,
			"CpuUsPerS": 536626, "MaxAttempts": 4, "MaxRetryAfter": 1200.0, "MayDuplicate": true, "MostHeld": 26831,
			"Peers": false, "Probes": false, "RetryAfter": true, "StreamsPerConn": 128},
		"Me": 0, "MyZone": 0, "NInstances": 4,
		"Obligations": map[string]any{"AnswerSlack": 20.0, "Fall": 2000.0, "MustAskIn": 10000.0, "RampTime": 8600.0,
			"StartCapacity": 0.3, "StopSendingWithin": 500.0, "TipMultiple": 3.0},
		"OverShareWorth": 0.2, "Quantum": 5.0,
		"Realms": []any{
			map[string]any{"Fraction": 1.0, "Name": "fovarosi-boltok", "QuotaRps": 145.0},
		},
		"RegistryMode": "on_request",
		"Services": []any{
			map[string]any{"Aim": 500.0, "DedupScope": "all", "Effect": "safe", "HardLimit": 2000.0, "Importance": 1.0,
				"LateShare": 0.3, "Name": "rendeles-olvasas", "Streamed": false, "Window": 5000.0},
			map[string]any{"Aim": 750.0, "DedupScope": "all", "Effect": "keyed", "HardLimit": 2500.0, "Importance": 2.0,
				"LateShare": 0.3, "Name": "kezbesites-rogzites", "Streamed": false, "Window": window.Milliseconds()},
		},
		"Skus": []string{"gyors", "lassu"}, "Stage": 0, "Stages": []string{"rendeles-gyorstar"},
		"Telemetry": map[string]any{"Columns": []string{"rps", "active", "x1"}, "How": "answers"},
		"ValueBy":   "request", "WeightKind": "none",
	}
}

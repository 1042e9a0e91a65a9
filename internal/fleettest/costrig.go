package fleettest

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"

	"mulleinpier/internal/fake/node"
	"mulleinpier/internal/fake/origin"
)

// costRig holds the processes that MeasureCost measures: a proxy and a byte relay, both in front of the same node.
type costRig struct {
	options      CostOptions
	config       string // path of the proxy's configuration
	proxy        *process
	proxyAddress string
	relay        *process
	relayAddress string
	closers      []func()
}

func startCostRig(o CostOptions) (*costRig, error) {
	rig := &costRig{options: o, config: filepath.Join(o.Folder, "cost.toml")}
	nodeAddress, err := rig.startNode()
	if err == nil {
		err = rig.startProxy(nodeAddress)
	}
	if err == nil {
		err = rig.startRelay(nodeAddress)
	}
	if err != nil {
		rig.close()
		return nil, err
	}
	return rig, nil
}

// close ends everything that was started, in reverse order.
func (rig *costRig) close() {
	for _, end := range slices.Backward(rig.closers) {
		end()
	}
}

func (rig *costRig) startNode() (address string, err error) {
	fakeOrigin := origin.New(origin.Config{Slots: 64, Queue: 1024, ServiceTime: time.Millisecond})
	rig.closers = append(rig.closers, fakeOrigin.Close)
	maxConns := slices.Max(rig.options.Conns)
	n, err := node.Start(node.Config{
		Name:     "n0",
		MaxConns: 2*maxConns + 64,
		Queue:    4 * maxConns,
		Slots:    4 * maxConns,
		Origin:   fakeOrigin,
		Group:    node.NewGroup(time.Second),
	})
	if err != nil {
		return "", err
	}
	rig.closers = append(rig.closers, func() { n.Close() })
	return n.Address(), nil
}

func (rig *costRig) startProxy(nodeAddress string) (err error) {
	o := rig.options
	if rig.proxyAddress, err = freeAddress(); err != nil {
		return err
	}
	text := fmt.Sprintf("listen = %q\nnodes.addresses = [%q]\nbinary.clients = true\n"+
		"[limits]\nsockets = 1024\nconnections_per_node = %d\n", rig.proxyAddress, nodeAddress, slices.Max(o.Conns))
	if o.Peers {
		voters, end, err := startVoters(o.ProxyCommand, o.Folder)
		if err != nil {
			return err
		}
		rig.closers = append(rig.closers, end)
		text += peersConfig(voters, o.Folder, -1)
		text = strings.Replace(text, "permit = \"wait\"\n", "", 1) // no successor would release the permit
	}
	if err := os.WriteFile(rig.config, []byte(text), 0o600); err != nil {
		return err
	}
	command := append(slices.Clone(o.ProxyCommand), rig.config)
	rig.proxy, err = rig.startProgram(command, "proxy.log")
	return err
}

func (rig *costRig) startRelay(nodeAddress string) (err error) {
	if rig.relayAddress, err = freeAddress(); err != nil {
		return err
	}
	command := append(slices.Clone(rig.options.RelayCommand), rig.relayAddress, nodeAddress)
	rig.relay, err = rig.startProgram(command, "relay.log")
	return err
}

// startProgram starts a program and waits until it is ready. The program ends when the rig is closed.
func (rig *costRig) startProgram(command []string, logName string) (*process, error) {
	p, err := startProcess(command, nil, filepath.Join(rig.options.Folder, logName))
	if err != nil {
		return nil, err
	}
	rig.closers = append(rig.closers, func() { p.end(syscall.SIGTERM) })
	return p, p.awaitReady()
}

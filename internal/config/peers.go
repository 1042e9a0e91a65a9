package config

import (
	"slices"
	"strings"
	"time"

	"mulleinpier/internal/lease/agent"
)

// readPeers reads the table peers. Without it, Config.Peers stays nil.
func (r *reader) readPeers() {
	if !r.top.has("peers") {
		return
	}
	t := r.top.table("peers")
	p := &Peers{
		Fleet:     agent.Fleet{Name: t.text("fleet", "", printable)},
		VoterName: t.text("voter", "", anything),
		StatePath: t.text("memory", "", anything),
	}
	for _, voter := range t.texts("voters", nil, anything) {
		name, address, _ := strings.Cut(voter, "=")
		p.Fleet.Voters = append(p.Fleet.Voters, agent.VoterAddress{Name: name, Address: address})
	}
	p.checkVoters(t)
	p.StatePath = r.optionalPath(p.StatePath)
	permit := t.text("permit", "none", oneOf("none", "go", "wait"))
	p.Permit = Permit{
		Enabled:  permit != "none",
		Required: permit == "wait",
		Timeout:  t.duration("permit_wait", 30*time.Second, 0, time.Hour),
	}
	takeover := t.text("takeover", "off", oneOf("off", "plain", "strict"))
	p.Takeover = Takeover{
		Enabled:        takeover != "off",
		RequireReplica: takeover == "strict",
		Replicas:       t.integer("holders", 1, 1, 2),
	}
	p.Listen = t.text("listen", "", isAddress)
	p.Advertise = t.text("advertise", p.Listen, isAddress)
	if p.Takeover.Enabled != t.has("listen") {
		t.add("listen", "must be set if and only if %s is \"plain\" or \"strict\"", t.key("takeover"))
	}
	t.rejectUnknown()
	r.config.Peers = p
}

// checkVoters checks the list of voters, and the settings of this process's voter.
func (p *Peers) checkVoters(t *table) {
	if err := p.Fleet.Validate(); err != nil {
		t.add("voters", "is invalid: %v", err)
	}
	isSelf := func(voter agent.VoterAddress) bool { return voter.Name == p.VoterName }
	if p.VoterName != "" && !slices.ContainsFunc(p.Fleet.Voters, isSelf) {
		t.add("voter", "cannot be %q: want the name of one of the voters", p.VoterName)
	}
	if (p.VoterName == "") != (p.StatePath == "") {
		t.add("memory", "must be set together with %s", t.key("voter"))
	}
}

package takeover

const (
	// faultTicks is how long a process is paused or cut off: three seconds.
	faultTicks = 60
	// restartDelayTicks is the delay until a killed process is restarted: half a second.
	restartDelayTicks = 10
	// Ticks until the others consider a process gone after a crash or in silence, or as returned.
	crashDetectionTicks   = 2
	silenceDetectionTicks = 13
	returnDetectionTicks  = 3
)

// injectProcessFault lets the chooser crash, pause or cut off a process.
func (s *simulation) injectProcessFault() {
	if s.faultsLeft == 0 || s.processFaults >= s.maxProcessFaults {
		return
	}
	fault := s.chooser.choose("fault", 10)
	if fault == 0 {
		return
	}
	s.faultsLeft--
	s.processFaults++
	p := s.proxies[(fault-1)%3]
	switch (fault - 1) / 3 {
	case 0:
		s.kill(p)
	case 1:
		s.pause(p)
	case 2:
		s.cutOff(p)
	}
}

// kill ends a process and schedules its restart with a new incarnation.
func (s *simulation) kill(p *simulatedProxy) {
	old := p.Owner
	p.up = false
	s.reportGone(old, crashDetectionTicks)
	s.after(restartDelayTicks, func() { p.start(old.Incarnation + 10) })
}

func (s *simulation) pause(p *simulatedProxy) {
	p.pausedUntil = s.now + faultTicks
	s.reportGone(p.Owner, silenceDetectionTicks)
	s.after(faultTicks, func() {
		deferred := p.deferred
		p.deferred = nil
		p.handle(Rejoined{})
		s.reportReturned(p.Owner)
		for _, do := range deferred {
			do()
		}
	})
}

func (s *simulation) cutOff(p *simulatedProxy) {
	p.cutOff = true
	s.reportGone(p.Owner, silenceDetectionTicks)
	s.after(faultTicks, func() {
		p.cutOff = false
		p.whenRunning(func() { p.handle(Rejoined{}) })
		s.reportReturned(p.Owner)
	})
}

// reportGone makes the others consider a process gone after a number of ticks.
func (s *simulation) reportGone(o Owner, ticks int) {
	s.atOthers(o, ticks, func(other *simulatedProxy) {
		other.gone[o] = true
		other.handle(OwnerLost{o})
	})
}

// reportReturned makes the others consider a process returned.
func (s *simulation) reportReturned(o Owner) {
	s.atOthers(o, returnDetectionTicks, func(other *simulatedProxy) {
		other.gone[o] = false
		other.handle(OwnerReturned{o})
	})
}

// atOthers runs a function, after a number of ticks, at all other proxies that are not cut off.
func (s *simulation) atOthers(o Owner, ticks int, do func(other *simulatedProxy)) {
	s.after(ticks, func() {
		for _, other := range s.proxies {
			if other.Owner != o && !other.cutOff {
				other.whenRunning(func() { do(other) })
			}
		}
	})
}

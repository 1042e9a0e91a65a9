package takeover

const (
	// faultTicks is how long a process is stopped or cut off: three seconds.
	faultTicks = 60
	// restartTicks is after how long another process follows one that was killed: half a second.
	restartTicks = 10
	// Ticks until the others take a process for gone, and hear it again.
	deathNoticedTicks   = 2
	silenceNoticedTicks = 13
	returnNoticedTicks  = 3
)

// causeProcessFault may have a process crash, stop or be cut off.
func (s *simulation) causeProcessFault() {
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
		s.stop(p)
	case 2:
		s.cutOff(p)
	}
}

// kill ends a process, which another follows.
func (s *simulation) kill(p *simulatedProxy) {
	old := p.Owner
	p.up = false
	s.noticeGone(old, deathNoticedTicks)
	s.after(restartTicks, func() { p.start(old.Incarnation + 10) })
}

func (s *simulation) stop(p *simulatedProxy) {
	p.stoppedUntil = s.now + faultTicks
	s.noticeGone(p.Owner, silenceNoticedTicks)
	s.after(faultTicks, func() {
		deferred := p.deferred
		p.deferred = nil
		p.handle(Rejoined{})
		s.noticeReturned(p.Owner)
		for _, do := range deferred {
			do()
		}
	})
}

func (s *simulation) cutOff(p *simulatedProxy) {
	p.cutOff = true
	s.noticeGone(p.Owner, silenceNoticedTicks)
	s.after(faultTicks, func() {
		p.cutOff = false
		p.whenRunning(func() { p.handle(Rejoined{}) })
		s.noticeReturned(p.Owner)
	})
}

// noticeGone has the others take a process for gone after a while.
func (s *simulation) noticeGone(o Owner, ticks int) {
	s.notice(o, ticks, func(other *simulatedProxy) {
		other.gone[o] = true
		other.handle(OwnerLost{o})
	})
}

// noticeReturned has the others hear a process again.
func (s *simulation) noticeReturned(o Owner) {
	s.notice(o, returnNoticedTicks, func(other *simulatedProxy) {
		other.gone[o] = false
		other.handle(OwnerReturned{o})
	})
}

// notice has all others that are not cut off do something about a process after a while.
func (s *simulation) notice(o Owner, ticks int, do func(other *simulatedProxy)) {
	s.after(ticks, func() {
		for _, other := range s.proxies {
			if other.Owner != o && !other.cutOff {
				other.whenRunning(func() { do(other) })
			}
		}
	})
}

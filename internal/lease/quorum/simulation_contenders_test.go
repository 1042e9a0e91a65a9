package quorum

import (
	"fmt"
	"time"

	"mulleinpier/internal/lease"
)

// contender is a process that acquires the task again and again.
type contender struct {
	name        string
	incarnation int
	session     *lease.Session
	clockRate   float64
	stopped     bool
	deferred    []func() // calls to make once the stopped contender resumes
}

const leaseDuration = 400 * ms

// startContender starts a new run of a contender, which acquires the task.
func (s *simulation) startContender(c *contender) {
	s.lastNonce++
	c.incarnation++
	incarnation := c.incarnation
	holder := fmt.Sprint(c.name, ".", incarnation)
	c.session = lease.NewSession(s.parameters, lease.Command{
		Kind: lease.Acquire, Task: "a", Holder: holder, Nonce: s.lastNonce, Duration: leaseDuration, Wait: true,
	})
	var wakeUp func()
	wakeUp = func() {
		if c.incarnation != incarnation {
			return
		}
		s.whenContenderRuns(c, func() {
			if c.incarnation == incarnation {
				s.handleAtContender(c, lease.TimerFired{})
			}
		})
		s.after(20*ms, wakeUp)
	}
	wakeUp()
}

// whenContenderRuns calls do now or, if the contender is stopped, once it resumes.
func (s *simulation) whenContenderRuns(c *contender, do func()) {
	if !c.stopped {
		do()
		return
	}
	if len(c.deferred) < maxDeferred {
		c.deferred = append(c.deferred, do)
	}
}

func (s *simulation) handleAtContender(c *contender, e lease.SessionEvent) {
	incarnation := c.incarnation
	for _, a := range c.session.Handle(s.clock(c.clockRate), e, nil) {
		switch a := a.(type) {
		case lease.SendRequest:
			s.request(c, incarnation, a)
		case lease.SendRelease:
			s.request(c, incarnation, lease.SendRequest{Command: a.Command})
		case lease.Ended:
			s.after(time.Duration(s.rng.IntN(100))*ms, func() {
				if c.incarnation == incarnation {
					s.startContender(c)
				}
			})
		}
	}
}

// request delivers a contender's request to a voter, and the response back. The request may be lost or duplicated, and
// both may be delayed.
func (s *simulation) request(c *contender, incarnation int, request lease.SendRequest) {
	for range 1 + s.rng.IntN(20)/19 {
		s.requests++
		if s.rng.IntN(20) == 0 {
			continue
		}
		v := s.pickVoter()
		for _, x := range s.voters { // a contender usually sends to a voter that leads
			if !x.diskLost && x.replica.IsLeader() && s.rng.IntN(4) > 0 {
				v = x
			}
		}
		respond := func(r Response) {
			s.after(s.drawRequestDelay(), func() {
				s.whenContenderRuns(c, func() {
					if c.incarnation == incarnation {
						response := lease.Response{Sequence: request.Sequence, Outcome: r.Outcome, Token: r.Token}
						s.handleAtContender(c, response)
					}
				})
			})
		}
		s.after(s.drawRequestDelay(), func() {
			s.whenRunning(v, func() {
				s.lastRequestID++
				s.responses[s.lastRequestID] = respond
				s.handleAtVoter(v, RequestReceived{s.lastRequestID, request.Command, request.Token})
			})
		})
	}
}

func (s *simulation) drawRequestDelay() time.Duration {
	if s.rng.IntN(30) == 0 {
		return time.Duration(s.rng.IntN(600)) * ms
	}
	return time.Duration(s.rng.IntN(8)) * ms
}

// checkHolders checks all contenders at the same moment: no two hold the task, and tokens only rise.
func (s *simulation) checkHolders() {
	valid := 0
	for _, c := range s.contenders {
		token, ok := c.session.Valid(s.clock(c.clockRate))
		if !ok {
			continue
		}
		valid++
		s.validChecks++
		if token < s.highestToken && s.violation == "" {
			s.violation = fmt.Sprintf("%v: token %d after %d", s.now, token, s.highestToken)
		}
		s.highestToken = max(s.highestToken, token)
	}
	if valid > 1 && s.violation == "" {
		s.violation = fmt.Sprintf("%v: %d holders", s.now, valid)
	}
}

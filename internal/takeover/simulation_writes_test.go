package takeover

import "time"

const (
	// responseTimeoutTicks bounds the wait for a holder's response.
	responseTimeoutTicks = 6
	// retryTicks is the time between two sends of a write to the node group.
	retryTicks = 10
	// maxCompletionSends bounds the sends of a completion to a holder, completionTicks apart.
	maxCompletionSends = 20
	completionTicks    = 8
)

// claim sends a claim request to a holder, which may be the proxy itself.
func (p *simulatedProxy) claim(holder *simulatedProxy, request ClaimRequest, answered func(ClaimResponse)) {
	s := p.simulation
	s.send(p, holder, func() {
		holder.lastRequestID++
		request.RequestID = holder.lastRequestID
		holder.responses[request.RequestID] = func(r ClaimResponse) {
			if s.defects.ageNotSent {
				r.Age = min(r.Age, 1)
			}
			s.send(holder, p, func() { answered(r) })
		}
		holder.handle(request)
	})
}

// holders returns the two best holders besides this proxy.
func (p *simulatedProxy) holders() (list []*simulatedProxy) {
	var candidates []Candidate
	for _, other := range p.simulation.proxies {
		if other != p {
			candidates = append(candidates, other.Candidate)
		}
	}
	for _, c := range RankHolders("k", candidates) {
		for _, other := range p.simulation.proxies {
			if other.Owner == c.Owner && len(list) < 2 {
				list = append(list, other)
			}
		}
	}
	return list
}

// ownedWrite is a write that a proxy owns or claims.
type ownedWrite struct {
	proxy   *simulatedProxy
	claim   *Claim
	holders []*simulatedProxy
	decided bool
	// act is called once, with the final verdict and the end of the permission.
	act func(Verdict, time.Duration)
}

// proceed acts on the verdict once it is final.
func (w *ownedWrite) proceed() {
	verdict, deadline := w.claim.Verdict()
	if verdict == Undecided || w.decided {
		return
	}
	w.decided = true
	w.act(verdict, deadline)
}

// ask sends a claim request to a holder. Without a response in time, the holder counts as unavailable.
func (w *ownedWrite) ask(holder *simulatedProxy, request ClaimRequest, then func(ClaimResponse)) {
	p := w.proxy
	answered := false
	p.claim(holder, request, func(r ClaimResponse) {
		answered = true
		w.claim.HandleResponse(holder.Name, r)
		then(r)
		w.proceed()
	})
	p.simulation.after(responseTimeoutTicks, func() {
		p.whenRunning(func() {
			if !answered {
				answered = true
				w.recordUnavailable(holder)
				w.proceed()
			}
		})
	})
}

func (w *ownedWrite) recordUnavailable(holder *simulatedProxy) {
	gone := w.proxy.gone[holder.Owner] || !holder.up && w.proxy.gone[Owner{holder.Name, holder.Incarnation}]
	if gone {
		w.claim.HolderGone(holder.Name)
	} else {
		w.claim.HolderTimedOut(holder.Name)
	}
}

// serve handles a client's write at a proxy. The client waits for a number of ticks.
func (p *simulatedProxy) serve(client string, waitTicks int) {
	s := p.simulation
	write := Write{ID: "k", Digest: 1, DedupWindow: window, Payload: []byte("x")}
	if s.defects.longWindow {
		write.DedupWindow = 10 * window
	}
	deadline := s.now + waitTicks
	answer := s.answerOnce(client)
	kind := ClientRetry
	if client == "first" {
		kind = FirstAttempt
	}
	w := &ownedWrite{proxy: p, holders: p.holders()}
	options := Options{Replicas: 2, RequireReplica: true}
	w.claim = NewClaim(s.parameters, write.DedupWindow, p.clock(), len(w.holders), options, kind)
	w.act = func(verdict Verdict, until time.Duration) {
		switch verdict {
		case Proceed:
			p.sendWrite(w.holders, w.claim.Epoch(), until, deadline, answer)
		case ReturnReceipt:
			answer("served")
			p.complete(w.holders, w.claim.Epoch(), Served)
		case OutcomeUnknown:
			answer("unknown")
			p.complete(w.holders, w.claim.Epoch(), Unknown)
		case KeyConflict:
			answer("key conflict")
		default:
			answer("busy")
			p.complete(w.holders, w.claim.Epoch(), NotExecuted) // this owner did not send the write
		}
	}
	request := func(rank int) ClaimRequest {
		return ClaimRequest{Write: write, Owner: p.Owner, Rank: rank, Retry: kind == ClientRetry}
	}
	w.ask(p, request(len(w.holders)), func(r ClaimResponse) {
		if r.Decision == Granted || r.Decision == WindowExpired {
			for rank, holder := range w.holders {
				w.ask(holder, request(rank), func(ClaimResponse) {})
			}
		}
	})
	s.after(waitTicks, func() {
		p.whenRunning(func() {
			w.claim.ClientTimedOut()
			w.proceed()
			answer("late")
		})
	})
}

// answerOnce returns a function that records the answer to a client. Only its first call counts.
func (s *simulation) answerOnce(client string) func(text string) {
	answered := false
	return func(text string) {
		if answered {
			return
		}
		answered = true
		s.answers = append(s.answers, client+" "+text)
		if text == "served" {
			s.receipts++
		}
	}
}

// sendWrite sends the write to the node group, with retries until it is answered or the permission ends, and reports
// its outcome.
func (p *simulatedProxy) sendWrite(
	holders []*simulatedProxy, epoch uint64, until time.Duration, deadline int, answer func(string),
) {
	s := p.simulation
	mayHaveRun, ended := false, false
	end := func(o Outcome) {
		if !ended {
			ended = true
			p.complete(holders, epoch, o)
		}
	}
	var attempt func()
	attempt = func() {
		if ended {
			return
		}
		permitted := p.clock() < until
		if !mayHaveRun { // policy bounds the owner's retries by the window from its own first send
			until = min(until, p.clock()+s.parameters.atLeast(window))
		}
		if s.faultsLeft > 0 && s.chooser.choose("pause between check and send", 2) == 1 { // less than the margin
			s.faultsLeft--
		}
		if !permitted && !s.defects.noCheckBeforeSend {
			if !mayHaveRun {
				end(NotExecuted)
				answer("busy")
			}
			return
		}
		mayHaveRun = true
		s.sendToNode(p, func() {
			answer("served")
			end(Served)
		})
		s.after(retryTicks, func() { p.whenRunning(attempt) })
	}
	attempt()
	s.after(max(deadline-s.now, 0)+80, func() { p.whenRunning(func() { end(Unknown) }) })
	s.after(deadline-s.now, func() { p.whenRunning(func() { answer("unknown") }) })
}

// complete reports the outcome of the write to the proxy's own registry, and to all holders until they receive it.
func (p *simulatedProxy) complete(holders []*simulatedProxy, epoch uint64, o Outcome) {
	s := p.simulation
	c := Completion{ID: "k", Digest: 1, Owner: p.Owner, Epoch: epoch, Outcome: o, Receipt: "r"}
	p.handle(c)
	for _, holder := range holders {
		received := false
		var notify func(left int)
		notify = func(left int) {
			if received || left == 0 {
				return
			}
			s.send(p, holder, func() {
				holder.handle(c)
				s.send(holder, p, func() { received = true })
			})
			s.after(completionTicks, func() { p.whenRunning(func() { notify(left - 1) }) })
		}
		notify(maxCompletionSends)
	}
}

// takeOver claims an orphaned write at the other holders, and resumes it if they permit that.
func (p *simulatedProxy) takeOver(a TakeOver) {
	s := p.simulation
	age := a.Age
	if s.defects.ageNotSent {
		age = 1
	}
	w := &ownedWrite{proxy: p, holders: p.holders()}
	w.claim = NewClaim(s.parameters, a.Write.DedupWindow, p.clock(), len(w.holders), Options{Replicas: 2}, TakenOver)
	w.act = func(verdict Verdict, until time.Duration) {
		switch verdict {
		case Proceed:
			p.sendWrite(w.holders, a.Epoch, until, s.now+20, func(string) {})
		case ReturnReceipt:
			p.complete(w.holders, a.Epoch, Served)
		default:
			p.complete(w.holders, a.Epoch, Unknown)
		}
	}
	w.claim.HandleResponse(p.Name, ClaimResponse{
		Decision: Granted, Epoch: a.Epoch, Age: age, PreviousOwner: a.PreviousOwner,
	})
	for rank, holder := range w.holders {
		w.ask(holder, ClaimRequest{
			Write: a.Write, Owner: p.Owner, Rank: rank, Epoch: a.Epoch, Age: age, Retry: true,
		}, func(ClaimResponse) {})
	}
}

package policy

import (
	"testing"
	"time"
)

// TestBaselineCountsFailuresThatPass checks that permanent failures of a fifth of all servers do not count in the
// failure rate of healthy servers. With a rate of a fifth, ejecting the faulty servers would take minutes.
func TestBaselineCountsFailuresThatPass(t *testing.T) {
	b := newFleetBalancer(t, 4)
	_, now := runRequests(b, time.Hour, 0, 600, resultWhere(Served, matchNone))
	isFaulty := func(server string) bool { return server[2] == '3' || server[2] == '7' }
	_, now = runRequests(b, now, 1000, 300, resultWhere(Errored, isFaulty))
	if rate := b.baselineFailureRate(0); rate > 0.05 {
		t.Errorf("%.2f of attempts at healthy servers count as failed, although none fails", rate)
	}
	b = newFleetBalancer(t, 4)
	n := 0
	runRequests(b, now, 2000, 600, func(string) Result {
		n++
		if n%5 == 0 {
			return Errored
		}
		return Served
	})
	if rate := b.baselineFailureRate(0); rate < 0.1 || rate > 0.3 {
		t.Errorf("%.2f of attempts at healthy servers count as failed, although a fifth fails", rate)
	}
}

// TestFailuresBeforeASuccessCountAsChance checks that consecutive failures before a success count as chance, up to
// maxChanceFailures, and that failures without a later success do not.
func TestFailuresBeforeASuccessCountAsChance(t *testing.T) {
	b := newFleetBalancer(t, 6)
	s, now := b.serving[0], time.Hour
	record := func(failed float64) {
		now += 10 * time.Millisecond
		b.now = now
		b.recordHealth(s, &attempt{server: s, sentAt: now}, 0, healthSample{failed: failed})
	}
	for range 50 {
		record(1)
		record(1)
		record(0)
	}
	if rate := b.baselineFailureRate(0); rate < 0.5 || rate > 0.7 {
		t.Errorf("where two of three fail and a success follows, %.2f count as chance", rate)
	}
	b = newFleetBalancer(t, 6)
	s = b.serving[0]
	for range 50 {
		record(1)
	}
	if rate := b.baselineFailureRate(0); rate != 0 {
		t.Errorf("%.2f counts as chance in a sequence of failures without a success", rate)
	}
	record(0)
	if failures := b.healthyFailureRates[0].Failures; failures != maxChanceFailures {
		t.Errorf("of fifty failures before a success %v count as chance, want %v", failures, maxChanceFailures)
	}
}

// TestManyFaultyServersAreEjected checks that faulty servers are ejected even if they are a third of all servers, for
// example all servers of one machine kind. The other servers answer all their requests, so the failures do not affect
// all servers.
func TestManyFaultyServersAreEjected(t *testing.T) {
	b := newFleetBalancer(t, 7)
	isFaulty := func(server string) bool {
		return server[2] == '3' || server[2] == '7' || server[2] == '9' || server == "s01" || server == "s11"
	}
	result := resultWhere(Errored, isFaulty)
	_, now := runRequests(b, time.Hour, 0, 1200, result)
	firstAttempts, _ := runRequests(b, now, 2000, 600, result)
	if got := sumWhere(firstAttempts, isFaulty); got > 100 { // the fair share of the faulty servers is 200
		t.Errorf("%d of 600 requests still go to twenty faulty servers of sixty", got)
	}
}

// TestFailuresEverywhereOfOneClass checks that failures of one class at all servers do not hide a server that is faulty
// for another class. A failure rate shared by all classes would attribute its failures to chance.
func TestFailuresEverywhereOfOneClass(t *testing.T) {
	b := newFleetBalancer(t, 8)
	settings := *b.settings
	other := Class{Name: "other", LatencyObjective: time.Second, Deadline: time.Second}
	settings.Classes = append(settings.Classes, other)
	if err := b.Reconfigure(settings); err != nil {
		t.Fatal(err)
	}
	now := time.Hour
	recordFailure := func(s *server, class int) {
		now += time.Millisecond
		b.now = now
		b.recordHealth(s, &attempt{server: s, sentAt: now}, class, healthSample{failed: 1})
	}
	for range 5 {
		recordFailure(b.serving[0], 1)
	}
	for range 5 {
		for _, s := range b.serving {
			recordFailure(s, 0)
		}
	}
	if everywhere, single := b.baselineFailureRate(0), b.baselineFailureRate(1); everywhere < 0.5 || single > 0.05 {
		t.Errorf("%.2f count as chance where all fail, %.2f where one server does", everywhere, single)
	}
}

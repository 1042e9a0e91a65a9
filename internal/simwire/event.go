package simwire

import (
	"math"
	"strconv"
	"strings"

	"mulleinpier/policy"
)

// The simulator's names, in the order of the constants of package policy.
var (
	endpointStateNames  = []string{"in_service", "terminating", "terminated"}
	endpointUpdateNames = []string{"incr", "total", "warm_copy", "lost"}
	resultNames         = []string{"S", "E", "F", "T", "C", "R", "X", "N", "M"}
)

// The bits of a request's flags.
const (
	flagRetry = 1 << 1
	flagWrite = 1 << 2
)

func (f *fields) endpoint() policy.Endpoint {
	endpoint := policy.Endpoint{
		Server:      f.text("Node"),
		Zone:        f.index("Area"),
		MachineKind: f.index("GenerationHw"),
		Cell:        f.index("Cohort"),
		State:       policy.EndpointState(f.enum("Mode", endpointStateNames)),
		Weight:      f.number("Rating"),
		StartedAt:   f.duration("CameUp"),
	}
	f.end()
	return endpoint
}

func (f *fields) arrival() policy.Event {
	a := policy.Arrival{
		ID:       f.requestID(),
		Class:    f.index("Class"),
		Tenant:   f.index("Customer"),
		Key:      f.text("Entity"),
		Deadline: f.duration("ValidUntil"),
	}
	f.number("Work") // ignored, as is BytesHint
	f.number("BytesHint")
	flags := f.unsigned("Attrs", 63)
	a.Write, a.IsRetry = flags&flagWrite != 0, flags&flagRetry != 0
	return a
}

func (f *fields) streamStarted() policy.Event {
	return policy.StreamStarted{
		ID:      f.requestID(),
		Attempt: f.index("Go"),
		Server:  f.text("Node"),
		Took:    f.duration("Took"),
	}
}

func (f *fields) outcome() policy.Event {
	return policy.Outcome{
		ID:          f.requestID(),
		Attempt:     f.index("Go"),
		Server:      f.text("Node"),
		Result:      policy.Result(f.enum("StateCode", resultNames)),
		Took:        f.duration("Took"),
		Final:       f.flag("Terminal"),
		CacheStatus: policy.CacheStatus(f.unsigned("Detail", 2)),
		LoadReport:  f.loadReport("Metrics"),
	}
}

func (f *fields) healthCheckResult() policy.Event {
	return policy.HealthCheckResult{
		Took:       f.duration("Took"),
		Result:     policy.Result(f.enum("StateCode", resultNames)),
		Server:     f.text("Node"),
		LoadReport: f.loadReport("Metrics"),
	}
}

// loadReport parses comma-separated pairs name:number and ignores unknown names. It returns nil if the value is absent
// or invalid.
func (f *fields) loadReport(field string) *policy.LoadReport {
	text := f.text(field)
	if text == "" {
		return nil
	}
	report := &policy.LoadReport{
		InFlight:    notReported,
		Queue:       notReported,
		Utilization: notReported,
		Rate:        notReported,
		ErrorRate:   notReported,
		X0:          notReported,
		X1:          notReported,
		Latency:     notReported,
	}
	for pair := range strings.SplitSeq(text, ",") {
		name, number, ok := strings.Cut(pair, ":")
		x, err := strconv.ParseFloat(number, 64)
		if !ok || err != nil || math.IsNaN(x) || math.Abs(x) > maxNumber {
			f.invalid(field, text)
			return nil
		}
		setLoadMetric(report, name, x)
	}
	return report
}

// notReported is the value of a metric that is not in a load report.
const notReported = -1

func setLoadMetric(report *policy.LoadReport, name string, value float64) {
	switch name {
	case "active":
		report.InFlight = value
	case "waiting":
		report.Queue = value
	case "cpu":
		report.Utilization = value
	case "avg_ms":
		report.Latency = milliseconds(value)
	case "rps":
		report.Rate = value
	case "err_rps":
		report.ErrorRate = value
	case "x0":
		report.X0 = value
	case "x1":
		report.X1 = value
	}
}
